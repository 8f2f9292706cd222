//! Choice of the holders and voters of a group.
//!
//! The holders of a group are the instances that hold connections to its servers;
//! all other instances send statements for the group through a holder. Every instance
//! computes them from the list of records alone.
//!
//! The voters are the instances that vote on the group. Which instances should vote
//! follows from the list of records too; which ones do is agreed on through the
//! platform's store (see [`crate::voter_set`]).

use crate::connection_budget::RESERVED_CONNECTIONS;
use crate::fleet::InstanceRecord;
use crate::group_ranking::GroupRanking;
use crate::id::GroupId;
use crate::id::InstanceId;

/// Smallest number of connections to a server with which an instance can serve a
/// group: two for transactions and one for single statements.
const MIN_CONNECTIONS_PER_HOLDER: usize = 3;

/// Number of connections to a server that each holder should have if there are not
/// enough for all instances. A few holders with many connections use them better
/// than many holders with few.
const TARGET_CONNECTIONS_PER_HOLDER: usize = 4;

/// Largest number of holders of a group. More would only divide the waiting
/// requests into more queues, which are not served in a common order. Eight
/// tolerate the loss of several.
pub const MAX_HOLDERS: usize = 8;

/// Smallest number of holders of a group. With two, one can fail.
const MIN_HOLDERS: usize = 2;

/// Number of holders of a group in a fleet with many groups for its size. Three
/// tolerate the loss of two. The holders of a group exchange its state with each
/// other twice a second, so with more holders each instance would need a link to
/// nearly every other one.
const MIN_HOLDERS_WITH_MANY_GROUPS: usize = 3;

/// How many instances hold connections to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderCount {
    /// All instances.
    All,
    /// At most this many, the first ones in the order of choice.
    First(usize),
}

/// Returns how many of `instances` instances hold connections to one of `groups` groups.
/// `max_connections` is the number of connections that each server of the group accepts.
///
/// All instances are holders if they are few and the servers accept enough connections.
#[must_use]
pub fn holder_count(max_connections: usize, groups: usize, instances: usize) -> HolderCount {
    let shared = max_connections.saturating_sub(RESERVED_CONNECTIONS);
    if instances <= MAX_HOLDERS && instances * MIN_CONNECTIONS_PER_HOLDER <= shared {
        return HolderCount::All;
    }
    let by_connections = (shared / TARGET_CONNECTIONS_PER_HOLDER).clamp(MIN_HOLDERS, MAX_HOLDERS);
    let by_groups = (instances / groups.max(1)).max(MIN_HOLDERS_WITH_MANY_GROUPS);
    HolderCount::First(by_connections.min(by_groups).min(instances))
}

/// Returns the holders of one of `groups` groups, out of `eligible`, the live
/// instances that are not leaving. `max_connections` is the number of connections
/// that each server of the group accepts.
///
/// If not all instances are holders, they are chosen by weighted rendezvous hashing: all
/// instances choose the same holders from the same list, an instance is chosen with
/// a probability according to its capacity, and if a holder fails, only its place
/// is taken by another instance. Holders are chosen from the failure domains in
/// turn: clients use a holder in their own domain, and a holder that was alone in
/// its domain received 40 % of the requests of a group.
#[must_use]
pub fn holders(
    group: &GroupId,
    max_connections: usize,
    groups: usize,
    eligible: &[InstanceRecord],
) -> Vec<InstanceRecord> {
    match holder_count(max_connections, groups, eligible.len()) {
        HolderCount::All => eligible.to_vec(),
        HolderCount::First(count) => {
            GroupRanking::new(group, count, eligible).first().cloned().collect()
        }
    }
}

/// Largest number of instances that vote on a group.
///
/// Eight tolerate the loss of three.
const MAX_VOTERS: usize = 8;

/// Returns the instances that should vote on a group, out of all that have a record.
///
/// The choice does not depend on which instances respond, so that a partition changes no
/// voters. In a large fleet with few groups, the voters are the holders as long as
/// all instances respond, and these exchange the state of the group with heartbeats
/// anyway.
#[must_use]
pub fn preferred_voters(group: &GroupId, recorded: &[InstanceRecord]) -> Vec<InstanceId> {
    let ranking = GroupRanking::new(group, MAX_VOTERS, recorded);
    ranking.first().map(|record| record.id.clone()).collect()
}
