//! Which connection goes to which request, and when one more is opened.

use std::collections::HashMap;
use std::time::Duration;

use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::Choice;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_choice::Owner;
use chervilwharf_lib::server_choice::PoolView;
use chervilwharf_lib::server_choice::choose;
use chervilwharf_lib::wait_queue::Place;
use chervilwharf_lib::wait_queue::Tier;

use crate::engine::clock::now;
use crate::engine::lease::PooledConnection;
use crate::engine::shard::Assignments;
use crate::engine::shard::Inner;
use crate::engine::shard::pool::Pool;
use crate::engine::waiting::ConnectionRequest;

/// How long a request whose account has no connection waits while those of others
/// serve who waits for them, several one after the other. Closed for each account
/// in turn, connections would serve one statement each.
const REPLACE_DELAY: Duration = Duration::from_millis(40);

impl Inner {
    /// Takes the idle connections that are over the budget, to close them.
    pub(super) fn idle_over_budget(&mut self) -> Vec<PooledConnection> {
        let mut closing = Vec::new();
        for pool in self.pools.values_mut() {
            while pool.share.open > self.budget {
                let Some(connection) = pool.idle.pop() else {
                    break;
                };
                pool.closed(connection.account.as_ref());
                closing.push(connection);
            }
        }
        closing
    }

    /// Takes the idle connection that fits best, if nobody waits who should
    /// have it first.
    pub(in crate::engine) fn take_idle(
        &mut self,
        now: Moment,
        want: &ConnectionRequest<'_>,
    ) -> Option<(TargetId, PooledConnection)> {
        if let Some(account) = want.owner.account() {
            self.wanted.observe(now, account);
        }
        loop {
            let Choice::Idle(server) = self.choose(now, &want.need, &want.owner, Duration::ZERO)
            else {
                return None;
            };
            let contested = self.queue.ahead_of(want.rank(Tier::InTime)).any(|(_, waiter)| {
                waiter.need.accepts(&self.group, now, &server) && waiter.owner == want.owner
            });
            if contested {
                return None;
            }
            let fit = |pooled: &PooledConnection| pooled.distance(want.values, want.prepared);
            if let Some(connection) = self.take_from(&server, &want.owner, fit) {
                return Some((server, connection));
            }
        }
    }

    /// Takes the idle connection with the smallest `cost` that will do and is still
    /// open.
    pub(super) fn take_from(
        &mut self,
        server: &TargetId,
        owner: &Owner,
        cost: impl Fn(&PooledConnection) -> usize,
    ) -> Option<PooledConnection> {
        let pool = self.pools.get_mut(server)?;
        loop {
            let usable = |index: &usize| owner.accepts(pool.idle[*index].account.as_ref());
            let indices = (0..pool.idle.len()).rev().filter(usable);
            // The last one of the best: it was used most recently.
            let best = indices.min_by_key(|index| cost(&pool.idle[*index]))?;
            let mut connection = pool.idle.swap_remove(best);
            if connection.connection.is_closed() {
                pool.closed(connection.account.as_ref());
                continue;
            }
            self.group.begin_running(server);
            self.observe_demand(now());
            return Some(connection);
        }
    }

    /// Those who wait could all be waiting for the busiest server.
    pub(super) fn observe_demand(&mut self, now: Moment) {
        let lent = |pool: &Pool| pool.share.open.saturating_sub(pool.idle.len());
        let busiest = self.pools.values().map(lent).max().unwrap_or(0);
        self.demand.observe(now, busiest + self.queue.len());
    }

    /// Chooses a server for a request that has waited this long.
    fn choose(&self, now: Moment, need: &Need, owner: &Owner, waited: Duration) -> Choice {
        choose(&self.group, now, need, |id| self.share_of(id, owner, waited))
    }

    /// How many statements may be at a server at once.
    pub(in crate::engine) fn limit_of(&self, id: &TargetId) -> f64 {
        self.pools
            .get(id)
            .map_or_else(|| PoolView::default().limit.value(), |pool| pool.share.limit.value())
    }

    fn share_of(&self, id: &TargetId, owner: &Owner, waited: Duration) -> PoolView {
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
            Owner::AnyAccount => pool.share.open,
            Owner::Account(account) => pool.by_account.get(account).copied().unwrap_or(0),
        };
        // Accounts need new connections all the time, and each takes a slot like a
        // statement: uncounted, all holders together opened more than a busy server
        // has slots, and served nothing.
        let taking_slots = owner.account().map_or(0, |_| pool.share.opening);
        let budget = self.budget;
        PoolView { idle, replaceable, own, taking_slots, budget, ..pool.share.clone() }
    }

    /// Index of the idle connection to a server that is least likely to be wanted
    /// again, to close it for a request that has waited this long.
    fn victim(&self, server: &TargetId, waited: Duration) -> Option<usize> {
        let at = now();
        let idle = &self.pools.get(server)?.idle;
        let same = |account: &Option<AccountId>| {
            let others = idle.iter().filter(|other| other.account == *account);
            f64::from(u32::try_from(others.count()).unwrap_or(u32::MAX))
        };
        let worth = |pooled: &PooledConnection| {
            let rate = pooled.account.as_ref().map_or(0.0, |id| self.wanted.of(at, id));
            rate / same(&pooled.account)
        };
        let may_close = |pooled: &PooledConnection| {
            waited >= REPLACE_DELAY || !self.is_waited_for(at, server, pooled)
        };
        let usable = idle.iter().enumerate().filter(|(_, pooled)| may_close(pooled));
        let least = usable.min_by(|(_, a), (_, b)| worth(a).total_cmp(&worth(b)));
        least.map(|(index, _)| index)
    }

    /// Whether a request waits that an idle connection would serve.
    fn is_waited_for(&self, now: Moment, server: &TargetId, pooled: &PooledConnection) -> bool {
        self.queue.iter().any(|(_, waiter)| {
            waiter.owner.accepts(pooled.account.as_ref())
                && waiter.need.accepts(&self.group, now, server)
        })
    }

    pub(super) fn assign(&mut self, now: Moment) -> Assignments {
        let mut assignments = Assignments::default();
        // Openings under way will serve the first of those who wait for them.
        let mut under_way = self.openings.clone();
        self.observe_demand(now);
        let places: Vec<_> = self.queue.iter().map(|(place, _)| place).collect();
        for place in places {
            self.assign_one(now, place, &mut under_way, &mut assignments);
        }
        assignments
    }

    fn assign_one(
        &mut self,
        now: Moment,
        place: Place,
        under_way: &mut HashMap<(TargetId, Option<AccountId>), usize>,
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
                if let Some(waiter) = self.queue.remove(place) {
                    assignments.grants.push((waiter.grant, server, connection));
                }
            }
            Choice::Open(server) => {
                let account = owner.account().cloned();
                let expected = under_way.entry((server.clone(), account)).or_default();
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

    /// An opening has ended, either way.
    pub(super) fn end_opening(&mut self, server: &TargetId, account: Option<&AccountId>) {
        let key = (server.clone(), account.cloned());
        if let Some(count) = self.openings.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.openings.remove(&key);
            }
        }
    }

    fn begin_opening(&mut self, server: &TargetId, owner: &Owner, assignments: &mut Assignments) {
        let Some(view) = self.group.server(server) else {
            return;
        };
        let account = owner.account().cloned();
        assignments.openings.push((view.info.clone(), account.clone()));
        self.pools.entry(server.clone()).or_default().opening(account.as_ref());
        *self.openings.entry((server.clone(), account)).or_default() += 1;
    }
}
