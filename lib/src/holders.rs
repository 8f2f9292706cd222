//! Which instances hold the connections to the servers of a group.

use std::collections::HashMap;

use crate::connection_budget::RESERVED_CONNECTIONS;
use crate::fleet::InstanceRecord;
use crate::id::FailureDomainId;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::placement::stable_hash;

/// Fewest connections to a server with which an instance can serve on its own:
/// two for transactions and one for single statements.
const LEAST_CONNECTIONS: usize = 3;

/// Connections to a server that each holder should have when not all instances
/// can have some. A few with many share them better than many with few.
const HOLDER_CONNECTIONS: usize = 4;

/// Most holders of a group. More would only divide the waiting requests into
/// queues that cannot be served in order; eight bear the loss of several.
const MOST_HOLDERS: usize = 8;

/// Fewest holders, so that one can be lost.
const FEWEST_HOLDERS: usize = 2;

/// Holders of a group where there are more groups than instances: three bear
/// the loss of two. Each pair of holders tells each other of the group twice a
/// second, so that more would cost each instance a link to nearly every other.
const HOLDERS_OF_MANY: usize = 3;

/// The instances that hold the connections to one of `groups` groups: all of
/// them where they are few and the servers take enough connections, else some
/// that the others go through.
///
/// Weighted rendezvous hashing: all instances compute the same few from the
/// same list, each with a chance by its capacity, and when one goes only its
/// place is taken by another. The failure domains take turns: clients go
/// through a holder of their own domain, and one that was alone in its domain
/// had 40 % of the requests of a group.
#[must_use]
pub fn holders(
    group: &GroupId,
    max_connections: usize,
    groups: usize,
    staying: &[InstanceRecord],
) -> Vec<InstanceRecord> {
    let shared = max_connections.saturating_sub(RESERVED_CONNECTIONS);
    if staying.len() <= MOST_HOLDERS && staying.len() * LEAST_CONNECTIONS <= shared {
        return staying.to_vec();
    }
    let by_connections = (shared / HOLDER_CONNECTIONS).clamp(FEWEST_HOLDERS, MOST_HOLDERS);
    let by_groups = (staying.len() / groups.max(1)).max(HOLDERS_OF_MANY);
    let chosen = ordered(group, staying).into_iter().take(by_connections.min(by_groups));
    chosen.cloned().collect()
}

/// Instances in the order in which they hold a group.
fn ordered<'a>(group: &GroupId, staying: &'a [InstanceRecord]) -> Vec<&'a InstanceRecord> {
    let mut scored: Vec<_> = staying.iter().map(|record| (score(group, record), record)).collect();
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
    // Stable: within a turn the best score goes first.
    ordered.sort_by_key(|(turn, _)| *turn);
    ordered.into_iter().map(|(_, record)| record).collect()
}

/// A score whose order picks instances in proportion to their capacity.
#[allow(clippy::cast_precision_loss, reason = "53 bits of a hash are enough for an order")]
fn score(group: &GroupId, record: &InstanceRecord) -> f64 {
    let hash = stable_hash(&["holder", group, &record.id]) >> 11;
    let uniform = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
    f64::from(record.capacity_millicores.max(1)) / -uniform.ln()
}

/// Most instances that vote on a group.
///
/// Eight bear the loss of three. It is the same for all larger fleets, and even:
/// when an instance joins or goes, one voter at most is replaced by another, and
/// five of the eight before and five of the eight after have one in common. With
/// seven or nine they need not.
const MOST_VOTERS: usize = 8;

/// The instances that vote on a group, out of all that have a record.
///
/// Whether they are alive has no part in it: two sides of a partition take
/// different instances for dead, and would each find a majority of their own. In
/// a large fleet with few groups they are those that hold the connections while
/// all are alive, and tell each other of the group with heartbeats anyway.
#[must_use]
pub fn voters(group: &GroupId, recorded: &[InstanceRecord]) -> Vec<InstanceId> {
    let chosen = ordered(group, recorded).into_iter().take(MOST_VOTERS);
    chosen.map(|record| record.id.clone()).collect()
}
