//! Divides the connections that a server accepts among the instances.

use std::time::Duration;

use crate::moment::Moment;

/// Connections of each server that are in no instance's budget. They are left for
/// probes, and for instances whose latest demand has not reached all others yet.
pub const RESERVED_CONNECTIONS: usize = 2;

/// Lowest demand that an instance is counted with. An instance that was idle can then
/// open connections before the others have received its new demand.
const MIN_DEMAND: f64 = 0.5;

/// Number of connections to one server that an instance may hold. `max_connections` is
/// the limit of the server.
///
/// Each instance gets one connection, and the rest is divided in proportion to demand.
/// The platform sends clients to instances of their own failure domain, so a single
/// instance can have as many clients as three others together. With equal shares, 3
/// of 18 connections each, an instance with 40 % of the clients refused 131 requests
/// in a day while the five others together refused 4.
///
/// Connections are not handed out first come, first served: the server counts the
/// connections of all clients together and refuses those above its limit, so the last
/// instance to connect would get none.
#[must_use]
pub fn budget(max_connections: usize, own_demand: f64, demand_of_others: &[f64]) -> usize {
    let instances = demand_of_others.len() + 1;
    let shared = max_connections.saturating_sub(RESERVED_CONNECTIONS);
    let divisible = shared.saturating_sub(instances);
    let own = own_demand.max(MIN_DEMAND);
    let others: f64 = demand_of_others.iter().map(|demand| demand.max(MIN_DEMAND)).sum();
    fraction_of(divisible, own / (own + others)).saturating_add(1)
}

/// Fraction of its budget that an instance may always keep open where connections
/// belong to accounts, however low its demand is.
const MIN_KEPT_FRACTION: f64 = 0.5;

/// Smallest number of connections that an instance may keep open if its budget allows, however
/// low its demand is: one for a transaction and one for single statements.
const MIN_KEPT_SHARED: usize = 2;

/// Number of connections to a server that an instance may hold where connections serve all
/// sessions. `budget` is the result of [`budget`] for the server.
///
/// One more than the recent peak of its demand. When all instances lose power, the servers keep
/// their connections for seconds and refuse those of the restarted instances above the limit,
/// so connections that were open without need delay the return.
#[must_use]
pub fn shared_connection_budget(budget: usize, own_demand: f64) -> usize {
    connections_for(own_demand).saturating_add(1).clamp(budget.min(MIN_KEPT_SHARED), budget)
}

/// Number of connections to a server that an instance may hold where each connection
/// belongs to one account. `budget` is the result of [`budget`] for the server.
///
/// Connections that all accounts share are open only while they are needed at the same
/// time. Connections of accounts stay open until another account needs one, so the
/// whole budget would be open all the time. When an instance loses power, the server
/// drops its connections only seconds later and meanwhile refuses those of the
/// restarted instance; so a part of the budget stays unused while demand is low. The
/// number rises with demand up to the whole budget: where requests wait, closing a
/// connection for another account costs a slot that they wait for.
#[must_use]
pub fn account_connection_budget(budget: usize, own_demand: f64) -> usize {
    let wanted = connections_for(own_demand).saturating_sub(1);
    wanted.max(fraction_of(budget, MIN_KEPT_FRACTION)).clamp(budget.min(1), budget)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, and small"
)]
fn connections_for(demand: f64) -> usize {
    demand.ceil().clamp(0.0, MAX_DEMAND) as usize
}

/// Upper bound of a demand, above any budget.
const MAX_DEMAND: f64 = 1e6;

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers are those of connections to one server"
)]
fn fraction_of(whole: usize, fraction: f64) -> usize {
    (whole as f64 * fraction).floor() as usize
}

/// Number of connections that an instance needs to the busiest server of a group, as a
/// peak that decays with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    peak: f64,
    observed_at: Moment,
}

/// Time in which the peak falls to one half. It is longer than the interval of
/// heartbeats, so that the other instances receive the peak, and short enough that an
/// instance gives connections back within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

impl Demand {
    /// Records that `wanted` connections are in use or waited for now.
    pub fn observe(&mut self, now: Moment, wanted: usize) {
        let decayed = self.at(now);
        let wanted = f64::from(u32::try_from(wanted).unwrap_or(u32::MAX));
        self.peak = decayed.max(wanted);
        self.observed_at = now;
    }

    /// The decayed peak at `now`.
    #[must_use]
    pub fn at(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.observed_at);
        self.peak * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
