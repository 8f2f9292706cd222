//! How the connections of a server are divided among the instances.

use std::time::Duration;

use crate::moment::Moment;

/// Connections of each server that no instance counts as its own: room for
/// probes, and for instances whose last numbers are not known everywhere yet.
pub const RESERVED_CONNECTIONS: usize = 2;

/// Least demand that an instance is counted with, so that one which was idle
/// can begin without waiting for the others to hear of it.
const LEAST_DEMAND: f64 = 0.5;

/// Connections to one server that an instance may hold.
///
/// Each of `instances` gets one, and the rest is divided by demand: the
/// platform sends clients to instances of their own failure domain, so one
/// instance alone may have the clients of three others. With equal shares, 3
/// of 18 connections each, an instance with 40 % of the clients refused 131
/// requests of a day where the five others together refused 4.
///
/// A share for each instance instead of first come, first served: a server
/// counts the connections of all callers together and refuses what exceeds
/// its limit, and an instance that came last would have none.
#[must_use]
pub fn budget(max_connections: usize, own_demand: f64, demand_of_others: &[f64]) -> usize {
    let instances = demand_of_others.len() + 1;
    let shared = max_connections.saturating_sub(RESERVED_CONNECTIONS);
    let divided = shared.saturating_sub(instances);
    let own = own_demand.max(LEAST_DEMAND);
    let others: f64 = demand_of_others.iter().map(|demand| demand.max(LEAST_DEMAND)).sum();
    1 + whole_share(divided, own / (own + others))
}

/// Part of its budget that an instance keeps open where connections belong to
/// accounts, whatever it needs at once.
const KEPT_PART: f64 = 0.5;

/// Connections to a server that an instance may hold where they belong to accounts,
/// of those that `budget` grants it.
///
/// Shared ones are open when they are needed at once; those of accounts are kept
/// until another account needs one, so that all would be open all the time. A server
/// drops those of instances that lost power seconds later, and until then would take
/// none of their next lives. Where requests wait, each connection that is closed for
/// another account costs a slot that they wait for: there all are kept.
#[must_use]
pub fn account_connection_budget(budget: usize, own_demand: f64) -> usize {
    let wanted = own_demand.ceil().clamp(0.0, MOST_WANTED);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and small"
    )]
    let wanted = (wanted as usize).saturating_sub(1);
    wanted.max(whole_share(budget, KEPT_PART)).clamp(budget.min(1), budget)
}

/// A demand beyond any budget.
const MOST_WANTED: f64 = 1e6;

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers are those of connections to one server"
)]
fn whole_share(divided: usize, share: f64) -> usize {
    (divided as f64 * share).floor() as usize
}

/// Connections that an instance wants to the busiest server of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    peak: f64,
    observed_at: Moment,
}

/// The peak of demand halves in this time. Longer than a heartbeat, so that
/// others see it; short enough to give connections back within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

impl Demand {
    /// So many connections are in use or waited for now.
    pub fn observe(&mut self, now: Moment, wanted: usize) {
        let decayed = self.at(now);
        let wanted = f64::from(u32::try_from(wanted).unwrap_or(u32::MAX));
        self.peak = decayed.max(wanted);
        self.observed_at = now;
    }

    /// The decayed peak.
    #[must_use]
    pub fn at(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.observed_at);
        self.peak * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
