//! Which instances hold the connections to the servers of a group.

use crate::connection_budget::RESERVE;
use crate::fleet::InstanceRecord;
use crate::id::GroupId;
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

/// The instances that hold the connections to a group: all of them where the
/// servers take enough connections, else a few that the others go through.
///
/// Weighted rendezvous hashing: all instances compute the same few from the
/// same list, each with a chance by its capacity, and when one goes only its
/// place is taken by another.
#[must_use]
pub fn holders(
    group: &GroupId,
    max_connections: usize,
    staying: &[InstanceRecord],
) -> Vec<InstanceRecord> {
    let shared = max_connections.saturating_sub(RESERVE);
    if staying.len() * LEAST_CONNECTIONS <= shared {
        return staying.to_vec();
    }
    let count = (shared / HOLDER_CONNECTIONS).clamp(FEWEST_HOLDERS, MOST_HOLDERS);
    let mut scored: Vec<_> = staying.iter().map(|record| (score(group, record), record)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    scored.into_iter().take(count).map(|(_, record)| record.clone()).collect()
}

/// A score whose order picks instances in proportion to their capacity.
#[allow(clippy::cast_precision_loss, reason = "53 bits of a hash are enough for an order")]
fn score(group: &GroupId, record: &InstanceRecord) -> f64 {
    let hash = stable_hash(&["holder", group, &record.id]) >> 11;
    let uniform = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
    f64::from(record.capacity_millicores.max(1)) / -uniform.ln()
}
