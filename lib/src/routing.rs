//! Which server of a group answers a read.

use crate::id::FailureDomainId;
use crate::id::TargetId;
use crate::position::Position;

/// What the owner knows of a server when it routes.
#[derive(Clone, Debug)]
pub struct ReadTarget {
    /// The server.
    pub id: TargetId,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Position it had applied when last heard from.
    pub applied: Position,
    /// Whether it answers and may get new work.
    pub usable: bool,
    /// Statements it is working on or that wait for it.
    pub in_flight: usize,
    /// Statements it runs at once.
    pub slots: usize,
}

/// Where a read goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A replica known to have applied the floor.
    Replica(TargetId),
    /// The primary.
    Primary,
}

/// Chooses among replicas that have applied `floor`: fewest in flight first,
/// then the owner's own failure domain.
///
/// What is known of a replica can only be too old, never too new, so the
/// server itself checks the floor again before it runs the statement.
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
            let waves = replica.in_flight / replica.slots.max(1);
            let far = replica.failure_domain != *near;
            (waves, far, replica.in_flight, replica.id.clone())
        })
        .map_or(Route::Primary, |replica| Route::Replica(replica.id.clone()))
}
