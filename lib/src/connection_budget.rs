//! How the connections of a server are divided among the instances.

/// Connections of each server that no instance counts as its own: room for
/// probes, and for instances that have not heard of each other yet.
const RESERVE: usize = 2;

/// Connections to one server that each of `instances` may hold.
///
/// A share for each instance instead of first come, first served: a server
/// counts the connections of all callers together and refuses what exceeds
/// its limit, and an instance that came last would have none.
#[must_use]
pub fn budget_per_instance(max_connections: usize, instances: usize) -> usize {
    let shared = max_connections.saturating_sub(RESERVE);
    (shared / instances.max(1)).max(1)
}
