//! Maintains the replicas of the groups that may have received acknowledged commits.
//!
//! The record of a group's duty in the platform's store has them. The instance that is first in
//! the succession to the duty adds servers that are listed, and removes those that have left once
//! their logs are not needed any more. [`chervilwharf_lib::replica_set`] has the rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::replica_change::ReplicaAction;
use chervilwharf_lib::replica_change::ReplicaChange;
use chervilwharf_lib::replica_set::CommitQuorum;
use chervilwharf_lib::replica_set::Member;
use chervilwharf_lib::replica_set::ReceivedPositions;
use chervilwharf_lib::replica_set::ReplicaSet;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::directory::Revision;
use crate::engine::duty_control;
use crate::engine::event_log;
use crate::engine::leader_control::ReplacingGuard;
use crate::engine::probe;
use crate::engine::probe::Probed;
use crate::engine::replacement::Replacer;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// The changes of replicas that this instance drives.
#[derive(Default)]
pub struct ReplicaControl {
    changes: Mutex<HashMap<GroupId, ReplicaChange>>,
}

impl ReplicaControl {
    fn with_change<R>(&self, group: &GroupId, f: impl FnOnce(&mut ReplicaChange) -> R) -> R {
        let mut changes = self.changes.lock().expect("never poisoned");
        f(changes.entry(group.clone()).or_default())
    }
}

/// Performs what is due to keep the record of a group's replicas up to date. `rank` is the place
/// of this instance in the succession to the duty.
pub fn maintain_replicas(replacer: &Replacer, shard: &Arc<Shard>, rank: Option<usize>) {
    let engine = &replacer.engine;
    if rank != Some(0) || engine.has_servers_outage() {
        return;
    }
    let sync_replicas = engine.sync_replicas(shard.id());
    // Most groups have no set, and are checked several times a second.
    let entry = engine.with_duties(|duties| {
        let is_used = duties.record(shard.id())?.replicas.is_used(sync_replicas);
        is_used.then(|| duties.entry(shard.id())).flatten()
    });
    let Some((revision, record)) = entry else {
        return;
    };
    let listed = shard.listed_servers();
    let action = engine.replica_control().with_change(shard.id(), |change| {
        change.tick(now(), &record.replicas, &listed, sync_replicas)
    });
    let Some(action) = action else {
        return;
    };
    let (replacer, shard) = (replacer.clone(), shard.clone());
    tokio::spawn(async move {
        let (engine, directory) = (&replacer.engine, &*replacer.directory);
        let next = match action {
            ReplicaAction::Write(next) => Some(next),
            ReplicaAction::AskServers(ended) => {
                settled(engine, &shard, &record.replicas, &ended).await
            }
        };
        let Some(next) = next.filter(|next| *next != record.replicas) else {
            return;
        };
        // A replacement writes the same record.
        if let Some(_guard) = ReplacingGuard::new(engine, shard.id()) {
            let next = DutyRecord { replicas: next, ..record };
            write_replicas(engine, directory, revision, next).await;
        }
    });
}

async fn write_replicas(
    engine: &Engine,
    directory: &dyn Directory,
    expected: Revision,
    next: DutyRecord,
) {
    let ids = next.replicas.members.iter().map(|member| member.id.to_string());
    let event = Event::new(EventKind::ReplicasWritten).with("group", &next.group);
    let event = event.with("replicas", ids.collect::<Vec<_>>().join(", "));
    let event = event.with_count("replicated", next.replicas.replicated);
    let written = duty_control::change_record(engine, directory, expected, next).await;
    event_log::emit(&event.with_some("failed", written.err()));
}

/// The set without the members `ended`, if the servers that stay have received all that these can
/// have received. `None` if the primary does not answer.
async fn settled(
    engine: &Engine,
    shard: &Arc<Shard>,
    known: &ReplicaSet,
    ended: &[Member],
) -> Option<ReplicaSet> {
    let leader = shard.with_group(|group| group.confirmed_leader().cloned())?;
    let Probed::Status(status) = probe::probe(shard, &leader.id).await else {
        return None;
    };
    // With the lease on its term it was the only primary when it answered, so that it has every
    // commit that was acknowledged before.
    if !status.leads || shard.term_of(&leader.id) != Some(status.term) {
        return None;
    }
    let listed = shard.listed_servers();
    let others = listed.iter().map(|server| &server.id).filter(|id| **id != leader.id);
    let answers = join_all(others.map(|id| received(shard, id))).await;
    let received = ReceivedPositions {
        primary: status.received,
        others: answers.into_iter().flatten().collect(),
    };
    Some(known.settled(&listed, ended, &received, engine.sync_replicas(shard.id())))
}

async fn received(shard: &Arc<Shard>, id: &TargetId) -> Option<(TargetId, Position)> {
    match probe::probe(shard, id).await {
        Probed::Status(status) => Some((id.clone(), status.received)),
        Probed::Busy | Probed::Failed => None,
    }
}

impl Engine {
    /// How many replicas have to answer before one takes the place of the primary `from`; `None`
    /// without synchronous replicas.
    #[must_use]
    pub fn commit_quorum(&self, shard: &Shard, from: Option<&TargetId>) -> Option<CommitQuorum> {
        let sync_replicas = self.sync_replicas(shard.id());
        (sync_replicas > 0).then(|| {
            let known = self.replicas(shard.id());
            known.quorum(&shard.listed_servers(), from, sync_replicas)
        })
    }

    /// The number of replicas of a group that are not listed and may be the only ones that have
    /// some acknowledged commits.
    #[must_use]
    pub fn absent_replicas(&self, shard: &Shard) -> usize {
        let known = self.replicas(shard.id());
        if known.is_known() { known.absent(&shard.listed_servers()).count() } else { 0 }
    }

    /// The servers of a group that may have received acknowledged commits, as far as this
    /// instance knows.
    #[must_use]
    pub fn replicas(&self, group: &GroupId) -> ReplicaSet {
        let known =
            self.with_duties(|duties| duties.record(group).map(|record| record.replicas.clone()));
        known.unwrap_or_default()
    }
}
