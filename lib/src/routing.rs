//! Choice of the server that answers a read, by the instance that owns the database.

use crate::id::FailureDomainId;
use crate::id::TargetId;
use crate::position::Position;

/// A server as the owner sees it when it routes a read.
#[derive(Clone, Debug)]
pub struct ReadTarget {
    /// The id of the server.
    pub id: TargetId,
    /// The failure domain that the server runs in.
    pub failure_domain: FailureDomainId,
    /// Last position that the server reported as applied.
    pub applied: Position,
    /// Whether the server answers and may get new work.
    pub usable: bool,
    /// Number of statements that run at the server or wait for it.
    pub in_flight: usize,
    /// How many statements the server runs at the same time.
    pub slots: usize,
}

/// The server that a read is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A replica that has applied the floor.
    Replica(TargetId),
    /// The primary.
    Primary,
}

/// Chooses among the usable replicas that have applied `floor` and are not `excluded`.
///
/// The replica with the fewest statements in flight per slot comes first, in whole
/// rounds of its slots, then replicas in the failure domain `near`. Without a floor or
/// a suitable replica the primary is chosen. The known position of a replica can be
/// outdated, but it is never beyond the actual one. The server checks the floor again
/// before it runs the statement.
#[must_use]
pub fn choose(
    replicas: &[ReadTarget],
    floor: Option<Position>,
    near: &FailureDomainId,
    excluded: &[TargetId],
) -> Route {
    let Some(floor) = floor else {
        return Route::Primary;
    };
    replicas
        .iter()
        .filter(|replica| replica.usable && replica.applied >= floor)
        .filter(|replica| !excluded.contains(&replica.id))
        .min_by_key(|replica| {
            let rounds = replica.in_flight / replica.slots.max(1);
            let far = replica.failure_domain != *near;
            (rounds, far, replica.in_flight, replica.id.clone())
        })
        .map_or(Route::Primary, |replica| Route::Replica(replica.id.clone()))
}
