//! Decides when the replicas of a group that count for acknowledged commits are written to the
//! store. See [`crate::replica_set`] for the rules.

use std::time::Duration;

use crate::group::ServerInfo;
use crate::moment::Moment;
use crate::replica_set::Member;
use crate::replica_set::ReplicaSet;

/// A running server is listed again within this time after its entry has expired. The platform
/// regards one that is missing for longer as gone.
const RELISTED_WITHIN: Duration = Duration::from_secs(2);

/// Time between two attempts to write the set, and between two rounds of requests to the servers.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What the driver of a set of replicas has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Write this set to the store.
    Write(ReplicaSet),
    /// Ask the primary and then the other servers what they have received. The members have
    /// ended.
    AskServers(Vec<Member>),
}

/// Drives the changes of the replicas of one group.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChange {
    /// Members that are not listed, and since when this instance has known it.
    absent: Vec<(Member, Moment)>,
    written_at: Option<Moment>,
    asked_at: Option<Moment>,
}

impl ReplicaChange {
    /// Returns the action that is due for the set `known` of a group with these listed servers.
    pub fn tick(
        &mut self,
        now: Moment,
        known: &ReplicaSet,
        listed: &[ServerInfo],
        sync_replicas: usize,
    ) -> Option<ReplicaAction> {
        self.note_absent(now, known, listed);
        if !known.is_used(sync_replicas) || listed.is_empty() {
            return None;
        }
        let action = self.due_action(now, known, listed, sync_replicas)?;
        // A new server is recorded at once: until then, an instance that does not know it does
        // not wait for it.
        let last = match action {
            ReplicaAction::Write(_) => &mut self.written_at,
            ReplicaAction::AskServers(_) => &mut self.asked_at,
        };
        if last.is_some_and(|at| at + RETRY_INTERVAL > now) {
            return None;
        }
        *last = Some(now);
        Some(action)
    }

    fn note_absent(&mut self, now: Moment, known: &ReplicaSet, listed: &[ServerInfo]) {
        let absent: Vec<_> = known.absent(listed).cloned().collect();
        self.absent.retain(|(member, _)| absent.contains(member));
        for member in absent {
            if !self.absent.iter().any(|(known, _)| *known == member) {
                self.absent.push((member, now));
            }
        }
    }

    fn due_action(
        &self,
        now: Moment,
        known: &ReplicaSet,
        listed: &[ServerInfo],
        sync_replicas: usize,
    ) -> Option<ReplicaAction> {
        let next = known.with_servers(listed).with_sync_replicas(sync_replicas);
        if next != *known {
            return Some(ReplicaAction::Write(next));
        }
        let ended = self.absent.iter().filter(|(_, since)| *since + RELISTED_WITHIN <= now);
        let ended: Vec<_> = ended.map(|(member, _)| member.clone()).collect();
        let is_due =
            !ended.is_empty() || known.has_replaced(listed) || known.replicated < sync_replicas;
        is_due.then_some(ReplicaAction::AskServers(ended))
    }
}
