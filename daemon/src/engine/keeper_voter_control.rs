//! Maintains the voters of the shards of client accounts, which grant leases to keepers.
//!
//! The voters of each shard have a record in the platform's store. Instances learn of them
//! from the store, from requests for votes, and from the answers to these. [`KeeperVoters`]
//! has the rules, and [`KeeperVoterChange`] decides what is done when.
//!
//! [`KeeperVoters`]: chervilwharf_lib::keeper_voters::KeeperVoters
//! [`KeeperVoterChange`]: chervilwharf_lib::keeper_voter_change::KeeperVoterChange

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::engine_protos::KeeperVoteReply;
use chervilwharf_lib::engine_protos::VotersChange;
use chervilwharf_lib::engine_protos::VotersChangeReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::keeper_lease::ShardNumber;
use chervilwharf_lib::keeper_voter_change::KeeperVoterAction;
use chervilwharf_lib::keeper_voter_change::KnownStore;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_set::VoterSet;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Entry;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::directory::WriteError;
use crate::engine::directory::keeper_voters_name;
use crate::engine::event_log;
use crate::engine::instance_control::complete_instances;
use crate::engine::shared::Engine;
use crate::engine::voter_control::decode_voters;
use crate::engine::voter_control::encode_voters;
use crate::engine::voter_control::later_voters;

/// Time between two checks whether something is to be done for the voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an instance runs before it writes the first voters of a shard. Instances that
/// start together are listed by then.
const FIRST_VOTERS_AFTER: Duration = Duration::from_millis(500);

/// Marks the voters of a shard as being changed by this instance until it is dropped.
struct ChangingGuard {
    engine: Arc<Engine>,
    shard: ShardNumber,
}

impl Drop for ChangingGuard {
    fn drop(&mut self) {
        self.engine.quota().lock().shard(self.shard).is_changing_voters = false;
    }
}

/// Does what is due for the voters of all shards; never returns.
pub async fn maintain_keeper_voters(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let has_accounts = engine.catalog().accounts.is_some();
        if !has_accounts || !engine.is_fleet_listed() || !engine.is_fleet_known() {
            continue;
        }
        for shard in 0..ACCOUNT_SHARDS {
            if let Some(action) = engine.due_voter_action(shard) {
                let guard = ChangingGuard { engine: engine.clone(), shard };
                tokio::spawn(perform(guard, directory.clone(), action));
            }
        }
    }
}

async fn perform(guard: ChangingGuard, directory: Arc<dyn Directory>, action: KeeperVoterAction) {
    let ChangingGuard { engine, shard } = &guard;
    match action {
        KeeperVoterAction::Read => {
            // It is read again.
            let _result = read_voters(engine, &*directory, *shard).await;
        }
        KeeperVoterAction::Write(next) => {
            let next = if next.is_joint() || engine.knows_keeper_voters(*shard) {
                next
            } else {
                complete_instances(engine, &*directory, now()).await;
                VoterSet { current: engine.preferred_keeper_voters(*shard), ..next }
            };
            write_voters(engine, &*directory, *shard, next).await;
        }
        KeeperVoterAction::Send => engine.send_keeper_voters(*shard).await,
    }
}

async fn read_voters(
    engine: &Engine,
    directory: &dyn Directory,
    shard: ShardNumber,
) -> Result<(), DirectoryError> {
    let asked_at = now();
    let entry = directory.get(RecordKind::Duties, &keeper_voters_name(shard)).await?;
    // Without a record, the era of the answer is not known.
    if let Some(Entry { revision, record: Record::KeeperVoters(_, voters), .. }) = entry {
        engine.note_store_era(revision.era, RecordKind::Duties);
        engine.keeper_voters_read(shard, asked_at, revision.era, Some((revision, voters)));
    }
    Ok(())
}

async fn write_voters(
    engine: &Engine,
    directory: &dyn Directory,
    shard: ShardNumber,
    next: VoterSet,
) {
    let event = Event::new(EventKind::VotersWritten).with("shard", shard);
    let event = event.with("version", next.version).with_count("former", next.former.len());
    let expected = engine.quota().lock().shard(shard).voters_revision;
    let asked_at = now();
    let record = Record::KeeperVoters(shard, next.clone());
    let written = directory.write(&keeper_voters_name(shard), &record, expected).await;
    let read = match &written {
        Ok(revision) => Some((*revision, next)),
        Err(WriteError::Conflict(Some(Entry {
            revision,
            record: Record::KeeperVoters(_, present),
            ..
        }))) => Some((*revision, present.clone())),
        Err(WriteError::Conflict(_)) => {
            engine.quota().lock().shard(shard).voters_revision = None;
            None
        }
        Err(WriteError::NotDone(_) | WriteError::Unanswered(_)) => None,
    };
    if let Some((revision, voters)) = read {
        engine.note_store_era(revision.era, RecordKind::Duties);
        engine.keeper_voters_read(shard, asked_at, revision.era, Some((revision, voters)));
    }
    let failed = written.err().map(|error| match error {
        WriteError::Conflict(_) => WriteError::Conflict(None),
        error => error,
    });
    event_log::emit(&event.with_some("failed", failed));
}

impl Engine {
    /// Returns what is due for the voters of a shard, and marks them as being changed.
    fn due_voter_action(&self, number: ShardNumber) -> Option<KeeperVoterAction> {
        let at = now();
        let store = KnownStore {
            era: self.store_era().latest(),
            era_since: self.store_era().known_since(),
            is_available: !self.has_servers_outage(),
        };
        let drives = self.drives_voter_changes(at, number);
        let inner = &mut *self.quota().lock();
        let shard = &mut inner.shards[number as usize];
        if shard.is_changing_voters {
            return None;
        }
        let known = &shard.known_voters;
        // Instances that do not vote learn of the voters from the store's changes.
        let me = &self.me().id;
        if !known.set().contains(me) && !shard.preferred_voters.contains(me) {
            return None;
        }
        let preferred =
            PreferredVoters { recorded: &shard.preferred_voters, staying: &shard.staying_voters };
        let presence = |id: &InstanceId| self.presence(id);
        let action = shard.voter_change.tick(at, known, store, drives, preferred, presence)?;
        shard.is_changing_voters = true;
        Some(action)
    }

    /// Whether this instance drives changes of the voters of a shard: it is the keeper, or the
    /// first of those that may become it.
    fn drives_voter_changes(&self, at: Moment, number: ShardNumber) -> bool {
        if self.is_stopping() {
            return false;
        }
        let me = &self.me().id;
        let inner = &mut *self.quota().lock();
        let shard = &inner.shards[number as usize];
        if shard.lease.is_held(at) {
            return true;
        }
        let voters = shard.known_voters.set();
        if !voters.is_known() && !self.has_run_for(FIRST_VOTERS_AFTER) {
            return false;
        }
        // If no voter has a record any more, those that should vote replace them.
        let has_voters = voters.is_known() && !shard.voters.is_empty();
        let may_drive = if has_voters { &voters.current } else { &shard.preferred_voters };
        let rank = shard.voters.iter().position(|voter| voter.id == *me).unwrap_or(0);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        may_drive.contains(me) && inner.votes.should_try(at, number, rank)
    }

    fn knows_keeper_voters(&self, number: ShardNumber) -> bool {
        self.quota().lock().shard(number).known_voters.set().is_known()
    }

    /// The voters on the keepers of all shards.
    pub(super) fn keeper_voter_sets(&self) -> Vec<VoterSet> {
        let mut inner = self.quota().lock();
        (0..ACCOUNT_SHARDS).map(|number| inner.shard(number).known_voters.set().clone()).collect()
    }

    /// The instances that should vote on a shard, ordered by id.
    fn preferred_keeper_voters(&self, number: ShardNumber) -> Vec<InstanceId> {
        self.update_keeper_voters();
        self.quota().lock().shard(number).preferred_voters.clone()
    }

    /// Whether this instance may become the keeper of a shard.
    pub(super) fn is_keeper_candidate(&self, number: ShardNumber) -> bool {
        self.quota().lock().shard(number).known_voters.is_candidate()
    }

    /// Records that the store had this record of a shard's voters, or none, by a read of the
    /// present state that was requested at `asked_at` and answered in `era`.
    pub(super) fn keeper_voters_read(
        &self,
        number: ShardNumber,
        asked_at: Moment,
        era: Era,
        record: Option<(Revision, VoterSet)>,
    ) {
        let (revision, voters) = record.unzip();
        let voters = voters.unwrap_or_default();
        {
            let mut inner = self.quota().lock();
            inner.shard(number).voters_revision = revision;
        }
        self.adopt_keeper_voters(number, &voters);
        let mut inner = self.quota().lock();
        inner.shard(number).known_voters.read_from_store(now(), asked_at, era, &voters);
    }

    /// Applies a record of a shard's voters that may be seconds old.
    pub(super) fn apply_keeper_voters(
        &self,
        number: ShardNumber,
        revision: Revision,
        voters: &VoterSet,
    ) {
        {
            let mut inner = self.quota().lock();
            let known = &mut inner.shard(number).voters_revision;
            *known = Some(revision).max(*known);
        }
        self.adopt_keeper_voters(number, voters);
    }

    /// Replaces the voters of a shard by later ones.
    fn adopt_keeper_voters(&self, number: ShardNumber, voters: &VoterSet) {
        let is_member = {
            let mut inner = self.quota().lock();
            if !inner.shard(number).known_voters.adopt(now(), voters) {
                return;
            }
            inner.are_voters_outdated = true;
            voters.contains(&self.me().id)
        };
        if is_member {
            let event = Event::new(EventKind::VotersAdopted).with("shard", number);
            let event = event.with("version", voters.version);
            let event = event.with_count("voters", voters.current.len());
            event_log::emit(&event.with_count("former", voters.former.len()));
        }
    }

    /// Sends the known voters of a shard to all of them, and records their answers.
    async fn send_keeper_voters(&self, number: ShardNumber) {
        let voters = self.quota().lock().shard(number).known_voters.set().clone();
        let sending =
            voters.members().map(|voter| self.send_keeper_voters_to(number, &voters, voter));
        join_all(sending).await;
    }

    async fn send_keeper_voters_to(&self, number: ShardNumber, voters: &VoterSet, to: &InstanceId) {
        let request = VotersChange {
            group: String::new(),
            voters: Some(encode_voters(voters)),
            account_shard: Some(number),
        };
        let asked_at = now();
        let reply = if *to == self.me().id {
            self.acknowledge_keeper_voters(number, &request)
        } else {
            let Some(record) = self.with_fleet(|fleet| fleet.record(to).cloned()) else {
                return;
            };
            match self.peers().ask(record.peer_address, Body::VotersChange(request)).await {
                Ok(Body::VotersChangeReply(reply)) => reply,
                // It is asked again.
                Ok(_) | Err(_) => return,
            }
        };
        if let Some(later) = reply.later_voters {
            self.adopt_keeper_voters(number, &decode_voters(later));
        }
        if reply.acknowledged {
            let mut inner = self.quota().lock();
            let shard = inner.shard(number);
            shard.voter_change.acknowledged(now(), voters, to);
            shard.known_voters.reported(to, asked_at, voters.version);
        }
    }

    /// Handles the voters of a shard that another instance sent, and acknowledges them if the
    /// votes of this instance under earlier ones have expired.
    #[must_use]
    pub fn acknowledge_keeper_voters(
        &self,
        number: ShardNumber,
        change: &VotersChange,
    ) -> VotersChangeReply {
        if number >= ACCOUNT_SHARDS {
            return VotersChangeReply::default();
        }
        let voters = change.voters.clone().map(decode_voters).unwrap_or_default();
        self.adopt_keeper_voters(number, &voters);
        let mut inner = self.quota().lock();
        let known = &mut inner.shard(number).known_voters;
        VotersChangeReply {
            acknowledged: known.acknowledge(now(), &voters),
            retired_term: 0,
            later_voters: later_voters(known.set(), voters.version),
        }
    }

    /// Compares the voters of a shard with those of an instance that answered a request for
    /// its vote: adopts later ones, or sends it those of this instance.
    pub(super) fn compare_keeper_voters(
        self: &Arc<Self>,
        number: ShardNumber,
        asked_at: Moment,
        voter: &InstanceRecord,
        reply: &KeeperVoteReply,
    ) {
        if let Some(later) = reply.later_voters.clone() {
            self.adopt_keeper_voters(number, &decode_voters(later));
            return;
        }
        let voters = {
            let mut inner = self.quota().lock();
            let known = &mut inner.shard(number).known_voters;
            known.reported(&voter.id, asked_at, reply.voters_version);
            known.set().clone()
        };
        let lacks_voters = !reply.granted && reply.voters_version < voters.version;
        if lacks_voters && voters.contains(&voter.id) {
            let (engine, to) = (self.clone(), voter.id.clone());
            tokio::spawn(async move { engine.send_keeper_voters_to(number, &voters, &to).await });
        }
    }
}
