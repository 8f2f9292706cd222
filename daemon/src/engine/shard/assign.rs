//! Which connection goes to which request, and when one more is opened.

use std::collections::HashMap;

use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::pool_share::Choice;
use chervilwharf_lib::pool_share::Need;
use chervilwharf_lib::pool_share::PoolShare;
use chervilwharf_lib::pool_share::choose;
use chervilwharf_lib::wait_queue::Tier;

use crate::engine::clock::now;
use crate::engine::lease::PooledConnection;
use crate::engine::shard::Grant;
use crate::engine::shard::Inner;
use crate::engine::shard::Pool;
use crate::engine::waiting::Want;

impl Inner {
    /// Takes the idle connections that are over the budget, to close them.
    pub(super) fn idle_over_budget(&mut self) -> Vec<PooledConnection> {
        let mut closing = Vec::new();
        for pool in self.pools.values_mut() {
            while pool.share.open > self.budget {
                let Some(connection) = pool.idle.pop() else {
                    break;
                };
                pool.share.open -= 1;
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
        want: &Want<'_>,
    ) -> Option<(TargetId, PooledConnection)> {
        loop {
            let Choice::Idle(server) = self.choose(now, &want.need) else {
                return None;
            };
            let contested = self
                .queue
                .ahead_of(want.rank(Tier::InTime))
                .any(|(_, waiter)| waiter.need.accepts(&self.group, now, &server));
            if contested {
                return None;
            }
            let fit = |pooled: &PooledConnection| pooled.distance(want.values, want.prepared);
            if let Some(connection) = self.take_from(&server, fit) {
                return Some((server, connection));
            }
        }
    }

    /// Takes the idle connection with the smallest `cost` that is still open.
    pub(super) fn take_from(
        &mut self,
        server: &TargetId,
        cost: impl Fn(&PooledConnection) -> usize,
    ) -> Option<PooledConnection> {
        let pool = self.pools.get_mut(server)?;
        while !pool.idle.is_empty() {
            let indices = 0..pool.idle.len();
            // The last one of the best: it was used most recently.
            let best = indices.rev().min_by_key(|index| cost(&pool.idle[*index]))?;
            let mut connection = pool.idle.swap_remove(best);
            if connection.connection.is_closed() {
                pool.share.open = pool.share.open.saturating_sub(1);
                continue;
            }
            self.group.begin_running(server);
            self.observe_demand(now());
            return Some(connection);
        }
        None
    }

    /// Those who wait could all be waiting for the busiest server.
    pub(super) fn observe_demand(&mut self, now: Moment) {
        let lent = |pool: &Pool| pool.share.open.saturating_sub(pool.idle.len());
        let busiest = self.pools.values().map(lent).max().unwrap_or(0);
        self.demand.observe(now, busiest + self.queue.len());
    }

    pub(super) fn choose(&self, now: Moment, need: &Need) -> Choice {
        choose(&self.group, now, need, |id| self.share_of(id))
    }

    pub(in crate::engine) fn share_of(&self, id: &TargetId) -> PoolShare {
        let pool = self.pools.get(id);
        let mut share = pool.map(|pool| pool.share.clone()).unwrap_or_default();
        share.idle = pool.map_or(0, |pool| pool.idle.len());
        share.budget = self.budget;
        share
    }

    pub(super) fn assign(&mut self, now: Moment) -> (Vec<Grant>, Vec<ServerInfo>) {
        let mut grants = Vec::new();
        let mut openings = Vec::new();
        // Openings under way will serve the first of those who wait for them.
        let mut under_way: HashMap<TargetId, usize> =
            self.pools.iter().map(|(id, pool)| (id.clone(), pool.share.opening)).collect();
        self.observe_demand(now);
        let places: Vec<_> = self.queue.iter().map(|(place, _)| place).collect();
        for place in places {
            let Some(need) = self.queue.iter().find(|(at, _)| *at == place).map(|(_, w)| &w.need)
            else {
                continue;
            };
            let need = need.clone();
            match self.choose(now, &need) {
                Choice::Idle(server) => {
                    let Some(connection) = self.take_from(&server, |_| 0) else {
                        continue;
                    };
                    if let Some(waiter) = self.queue.remove(place) {
                        grants.push((waiter.grant, server, connection));
                    }
                }
                Choice::Open(server) => {
                    let expected = under_way.entry(server.clone()).or_default();
                    if *expected > 0 {
                        *expected -= 1;
                        continue;
                    }
                    let Some(view) = self.group.server(&server) else {
                        continue;
                    };
                    openings.push(view.info.clone());
                    self.pools.entry(server).or_default().share.opening += 1;
                }
                Choice::Wait => {}
            }
        }
        (grants, openings)
    }
}
