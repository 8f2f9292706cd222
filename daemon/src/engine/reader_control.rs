//! Has the record of a group's duty admit readers while too few voters can be reached, and stops
//! that afterwards. [`ReaderAdmission`] decides when.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::reader_admission::LeaseState;
use chervilwharf_lib::reader_admission::ReaderAdmission;

use crate::engine::clock::now;
use crate::engine::duty_control;
use crate::engine::event_log;
use crate::engine::leader_control::ReplacingGuard;
use crate::engine::replacement::Replacer;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// The admissions of readers that this instance drives.
#[derive(Default)]
pub struct ReaderControl {
    admissions: Mutex<HashMap<GroupId, ReaderAdmission>>,
}

impl ReaderControl {
    fn tick(
        &self,
        group: &GroupId,
        admits_readers: bool,
        state: LeaseState,
        rank: Option<usize>,
    ) -> Option<bool> {
        let mut admissions = self.admissions.lock().expect("never poisoned");
        let admission = admissions.entry(group.clone()).or_default();
        admission.tick(now(), admits_readers, state, rank)
    }
}

/// Performs what is due to admit readers of a group's record, or to stop that. `rank` is the place
/// of this instance in the succession to the duty.
pub fn maintain_readers(replacer: &Replacer, shard: &Arc<Shard>, rank: Option<usize>) {
    let engine = &replacer.engine;
    if engine.has_servers_outage() {
        return;
    }
    // Groups are checked several times a second, and the record seldom changes.
    let known = engine.with_duties(|duties| {
        let record = duties.record(shard.id()).filter(|record| record.voters.is_known())?;
        Some((record.ended_term(), record.admits_readers))
    });
    let Some((ended_term, admits_readers)) = known else {
        return;
    };
    let state = lease_state(shard, now(), ended_term);
    let change = engine.reader_control().tick(shard.id(), admits_readers, state, rank);
    let Some(admits_readers) = change else {
        return;
    };
    let Some((revision, record)) = engine.with_duties(|duties| duties.entry(shard.id())) else {
        return;
    };
    // A replacement writes the same record.
    let Some(guard) = ReplacingGuard::new(engine, shard.id()) else {
        return;
    };
    let (replacer, group) = (replacer.clone(), shard.id().clone());
    tokio::spawn(async move {
        let (engine, directory) = (&replacer.engine, &*replacer.directory);
        let event = Event::new(EventKind::ReadersAdmitted).with("group", &group);
        let event = event
            .with("admitted", admits_readers)
            .with_ms("missing_for_ms", state.missing_for.unwrap_or_default());
        let next = DutyRecord { admits_readers, ..record };
        let written = duty_control::change_record(engine, directory, revision, next).await;
        event_log::emit(&event.with_some("failed", written.err()));
        // A read of the record may grant the lease now.
        engine.lease_renewal().notify_one();
        drop(guard);
    });
}

fn lease_state(shard: &Shard, at: Moment, ended_term: Term) -> LeaseState {
    shard.with_group(|group| {
        let Some(term) = group.confirmed_leader().map(|leader| leader.term) else {
            return LeaseState::default();
        };
        let primary_lease = group.primary_lease();
        LeaseState {
            missing_for: primary_lease.missing_for(at, term),
            is_readable: ended_term < term && !primary_lease.takes_store_grants(),
            is_voted: primary_lease.holds_from_voters(at, term),
        }
    })
}

impl Engine {
    /// Whether the known record of a group's duty admits readers.
    #[must_use]
    pub fn admits_readers(&self, group: &GroupId) -> bool {
        self.with_duties(|duties| duties.record(group).is_some_and(|record| record.admits_readers))
    }
}
