//! Assignment of connections: which waiting request gets which connection, and when a
//! connection is opened, or replaced by one for another account.

use std::collections::HashMap;
use std::time::Duration;

use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::reply_check::ReplyFault;
use chervilwharf_lib::server_choice::Choice;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_choice::PoolView;
use chervilwharf_lib::server_choice::choose;
use chervilwharf_lib::wait_queue::QueuePlace;
use chervilwharf_lib::wait_queue::Tier;

use crate::engine::clock::now;
use crate::engine::lease::PooledConnection;
use crate::engine::server_connection::IdleState;
use crate::engine::shard::Assignments;
use crate::engine::shard::Inner;
use crate::engine::shard::pool::Pool;
use crate::engine::waiting::ConnectionRequest;

/// How long a request whose account has no connection waits before an idle connection of
/// another account is closed for it, although requests of that account wait too. Until then
/// that connection serves several requests in a row. Without the delay, connections would
/// be replaced after every statement.
const REPLACE_DELAY: Duration = Duration::from_millis(40);

impl Inner {
    /// Takes out the idle connections that exceed the budget, for the caller to close.
    pub(super) fn idle_over_budget(&mut self) -> Vec<PooledConnection> {
        let mut closing = Vec::new();
        for pool in self.pools.values_mut() {
            while pool.view.open > self.budget {
                let Some(connection) = pool.idle.pop() else {
                    break;
                };
                pool.closed(connection.account.as_ref());
                closing.push(connection);
            }
        }
        closing
    }

    /// Takes out the idle connection that needs the fewest setup statements, unless a
    /// waiting request comes before this one.
    pub(in crate::engine) fn take_idle(
        &mut self,
        now: Moment,
        request: &ConnectionRequest<'_>,
    ) -> Option<(TargetId, PooledConnection)> {
        if let Some(account) = request.owner.account() {
            self.request_rates.observe(now, account);
        }
        loop {
            let Choice::Idle(server) =
                self.choose(now, &request.need, &request.owner, Duration::ZERO)
            else {
                return None;
            };
            let rank = request.rank(Tier::InTime);
            let contested = self.queue.ahead_of(rank, &request.flow).any(|(_, waiter)| {
                waiter.need.accepts(&self.group, now, &server) && waiter.owner == request.owner
            });
            if contested {
                return None;
            }
            let fit =
                |pooled: &PooledConnection| pooled.setup_cost(request.values, request.prepared);
            if let Some(connection) = self.take_from(&server, &request.owner, fit) {
                self.queue.charge(rank, &request.flow);
                return Some((server, connection));
            }
        }
    }

    /// Takes out the idle connection to a server with the smallest `cost`, among those
    /// that are still open and may serve `owner`.
    pub(super) fn take_from(
        &mut self,
        server: &TargetId,
        owner: &ConnectionOwner,
        cost: impl Fn(&PooledConnection) -> usize,
    ) -> Option<PooledConnection> {
        loop {
            let pool = self.pools.get_mut(server)?;
            let usable = |index: &usize| owner.accepts(pool.idle[*index].account.as_ref());
            let indices = (0..pool.idle.len()).rev().filter(usable);
            // Among equals the last one wins: it was used most recently.
            let best = indices.min_by_key(|index| cost(&pool.idle[*index]))?;
            let mut connection = pool.idle.swap_remove(best);
            connection.share_empty_reads(&mut pool.reads_may_be_empty);
            let state = connection.idle_state();
            if state != IdleState::Open {
                pool.closed(connection.account.as_ref());
                if state == IdleState::UnexpectedData {
                    self.record_wrong_reply(server, ReplyFault::DataWithoutRequest, None);
                }
                continue;
            }
            self.group.begin_running(server);
            self.observe_demand(now());
            return Some(connection);
        }
    }

    /// Records the current demand for connections to the busiest server. All waiting
    /// requests count, since each could be waiting for that server.
    pub(super) fn observe_demand(&mut self, now: Moment) {
        let lent = |pool: &Pool| pool.view.open.saturating_sub(pool.idle.len());
        let busiest = self.pools.values().map(lent).max().unwrap_or(0);
        self.demand.observe(now, busiest + self.queue.len());
    }

    /// Number of connections to these servers that were granted to waiting requests.
    pub(in crate::engine) fn granted_from_queue(&self, servers: &[TargetId]) -> usize {
        let pools = servers.iter().filter_map(|id| self.pools.get(id));
        pools.map(|pool| pool.granted_from_queue).sum()
    }

    /// Chooses a server for a request that has waited for `waited`.
    fn choose(
        &self,
        now: Moment,
        need: &Need,
        owner: &ConnectionOwner,
        waited: Duration,
    ) -> Choice {
        choose(&self.group, now, need, |id| self.view_of(id, owner, waited))
    }

    /// How many statements may run at a server at the same time.
    pub(in crate::engine) fn limit_of(&self, id: &TargetId) -> f64 {
        self.pools
            .get(id)
            .map_or_else(|| PoolView::default().limit.value(), |pool| pool.view.limit.value())
    }

    /// The connections to a server as they count for a request of `owner` that has waited
    /// for `waited`.
    fn view_of(&self, id: &TargetId, owner: &ConnectionOwner, waited: Duration) -> PoolView {
        let Some(pool) = self.pools.get(id) else {
            return PoolView { budget: self.budget, ..PoolView::default() };
        };
        let usable = pool.idle.iter().filter(|idle| owner.accepts(idle.account.as_ref()));
        let idle = usable.count();
        let replaceable = match self.victim(id, waited) {
            Some(_) => pool.idle.len() - idle,
            None => 0,
        };
        let own = match owner {
            ConnectionOwner::AnyAccount => pool.view.open,
            ConnectionOwner::Account(account) => pool.by_account.get(account).copied().unwrap_or(0),
        };
        // Accounts cause a steady flow of new connections, each of which takes a slot of
        // the server like a statement. When these were not counted, all holders together
        // opened more connections than a busy server has slots, and served nothing.
        let taking_slots = owner.account().map_or(0, |_| pool.view.opening);
        let waits_for_own =
            self.reads_wait_for_own && owner.account().is_some() && waited < REPLACE_DELAY;
        let (budget, view) = (self.budget, pool.view.clone());
        PoolView { idle, replaceable, own, waits_for_own, taking_slots, budget, ..view }
    }

    /// Index of the idle connection to a server that is least likely to be needed again
    /// and may be closed for a request that has waited for `waited`.
    fn victim(&self, server: &TargetId, waited: Duration) -> Option<usize> {
        let at = now();
        let idle = &self.pools.get(server)?.idle;
        let same = |account: &Option<AccountId>| {
            let others = idle.iter().filter(|other| other.account == *account);
            f64::from(u32::try_from(others.count()).unwrap_or(u32::MAX))
        };
        let rate_per_connection = |pooled: &PooledConnection| {
            let rate = pooled.account.as_ref().map_or(0.0, |id| self.request_rates.of(at, id));
            rate / same(&pooled.account)
        };
        let may_close = |pooled: &PooledConnection| {
            waited >= REPLACE_DELAY || !self.is_waited_for(at, server, pooled)
        };
        let usable = idle.iter().enumerate().filter(|(_, pooled)| may_close(pooled));
        let least = usable
            .min_by(|(_, a), (_, b)| rate_per_connection(a).total_cmp(&rate_per_connection(b)));
        least.map(|(index, _)| index)
    }

    /// Whether any waiting request could use an idle connection.
    fn is_waited_for(&self, now: Moment, server: &TargetId, pooled: &PooledConnection) -> bool {
        self.queue.items().any(|waiter| {
            waiter.owner.accepts(pooled.account.as_ref())
                && waiter.need.accepts(&self.group, now, server)
        })
    }

    /// Assigns connections to all waiting requests, in the order of the queue.
    pub(super) fn assign(&mut self, now: Moment) -> Assignments {
        let mut assignments = Assignments::default();
        // Connections that are being opened serve the first requests that wait for them.
        let mut being_opened = self.openings.clone();
        self.observe_demand(now);
        let places: Vec<_> = self.queue.iter().map(|(place, _)| place).collect();
        for place in places {
            self.assign_one(now, place, &mut being_opened, &mut assignments);
        }
        assignments
    }

    fn assign_one(
        &mut self,
        now: Moment,
        place: QueuePlace,
        being_opened: &mut HashMap<(TargetId, Option<AccountId>), usize>,
        assignments: &mut Assignments,
    ) {
        let Some(waiter) = self.queue.get(place) else {
            return;
        };
        let (need, owner) = (waiter.need.clone(), waiter.owner.clone());
        let waited = now.saturating_sub(waiter.since);
        match self.choose(now, &need, &owner, waited) {
            Choice::Idle(server) => {
                let Some(connection) = self.take_from(&server, &owner, |_| 0) else {
                    return;
                };
                if let Some(waiter) = self.queue.grant(place) {
                    if let Some(pool) = self.pools.get_mut(&server) {
                        pool.granted_from_queue += 1;
                    }
                    assignments.grants.push((waiter.grant, server, connection));
                }
            }
            Choice::Open(server) => {
                let account = owner.account().cloned();
                let expected = being_opened.entry((server.clone(), account)).or_default();
                if *expected > 0 {
                    *expected -= 1;
                    return;
                }
                self.begin_opening(&server, &owner, assignments);
            }
            Choice::Replace(server) => {
                let Some(victim) = self.victim(&server, waited) else {
                    return;
                };
                let Some(pool) = self.pools.get_mut(&server) else {
                    return;
                };
                let connection = pool.idle.swap_remove(victim);
                pool.closed(connection.account.as_ref());
                assignments.closing.push(connection);
                self.begin_opening(&server, &owner, assignments);
            }
            Choice::Wait => {}
        }
    }

    /// Records that a connection is no longer being opened, whether it succeeded or
    /// failed.
    pub(super) fn end_opening(&mut self, server: &TargetId, account: Option<&AccountId>) {
        let key = (server.clone(), account.cloned());
        if let Some(count) = self.openings.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.openings.remove(&key);
            }
        }
    }

    fn begin_opening(
        &mut self,
        server: &TargetId,
        owner: &ConnectionOwner,
        assignments: &mut Assignments,
    ) {
        let Some(view) = self.group.server(server) else {
            return;
        };
        let account = owner.account().cloned();
        assignments.openings.push((view.info.clone(), account.clone()));
        self.pools.entry(server.clone()).or_default().opening(account.as_ref());
        *self.openings.entry((server.clone(), account)).or_default() += 1;
    }
}
