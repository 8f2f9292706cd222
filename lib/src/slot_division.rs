//! Division of the slots of a server among the holders of its group.
//!
//! A server serves statements in order of arrival. So that urgent requests wait in the
//! queues of the holders, where they are served first, all holders together send about
//! twice as many statements as the server has slots.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::GroupId;
use crate::id::InstanceId;
use crate::moment::Moment;

/// Demands that another holder reported longer ago than this do not count, since the
/// holder may be gone. It is four times the interval of heartbeats.
pub const DEMAND_VALIDITY: Duration = Duration::from_secs(2);

/// Statements that all holders together send to a server, for each of its slots: one that
/// runs, and one that can start as soon as it ends.
const STATEMENTS_PER_SLOT: f64 = 2.0;

/// Lowest demand that the own instance is counted with, so that it may begin to send at
/// once after a pause.
const MIN_OWN_DEMAND: f64 = 0.5;

/// How many statements a holder may have at a server with `slots` slots. `own` is its
/// demand, `others` that of all other holders together.
#[must_use]
pub fn statement_limit(slots: usize, own: f64, others: f64) -> f64 {
    let slots = f64::from(u32::try_from(slots).unwrap_or(u32::MAX));
    let own = own.max(MIN_OWN_DEMAND);
    let fraction = own / (own + others.max(0.0));
    (STATEMENTS_PER_SLOT * slots * fraction).max(1.0)
}

/// The latest demands of other holders, with the time at which they arrived.
#[derive(Clone, Debug, Default)]
pub struct HolderDemands {
    demands: HashMap<InstanceId, (Moment, HashMap<GroupId, f64>)>,
}

impl HolderDemands {
    /// Records the demands of an instance, which replace its former ones.
    pub fn observe(&mut self, now: Moment, id: &InstanceId, demands: HashMap<GroupId, f64>) {
        self.demands.insert(id.clone(), (now, demands));
    }

    /// The valid demands of these instances for a group together.
    #[must_use]
    pub fn sum(&self, now: Moment, group: &GroupId, ids: &[InstanceId]) -> f64 {
        let valid = ids.iter().filter_map(|id| self.demands.get(id));
        let valid = valid.filter(|(at, _)| *at + DEMAND_VALIDITY > now);
        valid.filter_map(|(_, demands)| demands.get(group)).sum()
    }

    /// Drops the demands of instances that do not exist any more.
    pub fn keep_only(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.demands.retain(|id, _| exists(id));
    }
}
