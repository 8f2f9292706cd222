//! Choice of the holders and voters of a group.
//!
//! The holders of a group are the instances that hold connections to its servers;
//! all other instances send statements for the group through a holder. The voters
//! are the instances that vote on the group. Every instance computes both from the
//! list of records alone.

use std::collections::HashMap;

use crate::connection_budget::RESERVED_CONNECTIONS;
use crate::fleet::InstanceRecord;
use crate::id::FailureDomainId;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::placement::stable_hash;

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
const MAX_HOLDERS: usize = 8;

/// Smallest number of holders of a group. With two, one can fail.
const MIN_HOLDERS: usize = 2;

/// Number of holders of a group in a fleet with many groups for its size. Three
/// tolerate the loss of two. The holders of a group exchange its state with each
/// other twice a second, so with more holders each instance would need a link to
/// nearly every other one.
const MIN_HOLDERS_WITH_MANY_GROUPS: usize = 3;

/// Returns the holders of one of `groups` groups, out of `eligible`, the live
/// instances that are not leaving. `max_connections` is the number of connections
/// that each server of the group accepts.
///
/// All instances are holders if they are few and the servers accept enough
/// connections. Otherwise some are chosen by weighted rendezvous hashing: all
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
    let shared = max_connections.saturating_sub(RESERVED_CONNECTIONS);
    if eligible.len() <= MAX_HOLDERS && eligible.len() * MIN_CONNECTIONS_PER_HOLDER <= shared {
        return eligible.to_vec();
    }
    let by_connections = (shared / TARGET_CONNECTIONS_PER_HOLDER).clamp(MIN_HOLDERS, MAX_HOLDERS);
    let by_groups = (eligible.len() / groups.max(1)).max(MIN_HOLDERS_WITH_MANY_GROUPS);
    let chosen = ordered(group, eligible).into_iter().take(by_connections.min(by_groups));
    chosen.cloned().collect()
}

/// Returns the instances in the order in which they are chosen as holders.
fn ordered<'a>(group: &GroupId, eligible: &'a [InstanceRecord]) -> Vec<&'a InstanceRecord> {
    let mut scored: Vec<_> = eligible.iter().map(|record| (score(group, record), record)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let mut turns: HashMap<&FailureDomainId, usize> = HashMap::new();
    let mut ordered: Vec<_> = scored
        .into_iter()
        .map(|(_, record)| {
            let turn = turns.entry(&record.failure_domain).or_default();
            *turn += 1;
            (*turn, record)
        })
        .collect();
    // The sort is stable, so within a turn the instances stay ordered by score.
    ordered.sort_by_key(|(turn, _)| *turn);
    ordered.into_iter().map(|(_, record)| record).collect()
}

/// Score for weighted rendezvous hashing: the probability that an instance has the
/// highest score is proportional to its capacity.
#[allow(clippy::cast_precision_loss, reason = "53 bits of a hash are enough for an order")]
fn score(group: &GroupId, record: &InstanceRecord) -> f64 {
    let hash = stable_hash(&["holder", group, &record.id]) >> 11;
    let uniform = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
    f64::from(record.capacity_millicores.max(1)) / -uniform.ln()
}

/// Largest number of instances that vote on a group.
///
/// Eight tolerate the loss of three. The number is the same for all larger fleets,
/// and even: when an instance joins or leaves, at most one voter is replaced, and
/// any five of the eight voters before and five of the eight after have one in
/// common. With an odd number such as seven or nine this does not hold.
const MAX_VOTERS: usize = 8;

/// Returns the instances that vote on a group, out of all that have a record.
///
/// The choice does not depend on which instances respond: two sides of a partition
/// would find different instances unresponsive, and each could form a majority of
/// its own. In a large fleet with few groups, the voters are the holders as long as
/// all instances respond, and these exchange the state of the group with heartbeats
/// anyway.
#[must_use]
pub fn voters(group: &GroupId, recorded: &[InstanceRecord]) -> Vec<InstanceId> {
    let chosen = ordered(group, recorded).into_iter().take(MAX_VOTERS);
    chosen.map(|record| record.id.clone()).collect()
}
