//! One group of servers at this instance: what is known of them and the
//! connections to them.

mod assign;
mod pool;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::account_rates::AccountRates;
use chervilwharf_lib::connection_budget::Demand;
use chervilwharf_lib::engine_protos::Tunnel;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::FailureDomainId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::wait_estimator::WaitEstimator;
use chervilwharf_lib::wait_queue::WaitQueue;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::lease::Lease;
use crate::engine::lease::PooledConnection;
use crate::engine::peers;
use crate::engine::peers::PeerError;
use crate::engine::peers::Peers;
use crate::engine::server_connection::ConnectError;
use crate::engine::server_connection::Connector;
use crate::engine::server_connection::ServerConnection;
use crate::engine::shard::pool::Pool;
use crate::engine::waiting::Waiter;

#[derive(Default)]
pub(super) struct Inner {
    pub(super) group: Group,
    pools: HashMap<TargetId, Pool>,
    pub(super) queue: WaitQueue<Waiter>,
    pub(super) pace: WaitEstimator,
    budget: usize,
    /// Smoothed time between a grant and the end of the statement.
    pub(super) service_time: Duration,
    demand: Demand,
    /// How often each account wants a connection.
    pub(super) wanted: AccountRates,
    /// Connections being opened, by server and account.
    openings: HashMap<(TargetId, Option<AccountId>), usize>,
    /// Servers that this instance does not reach itself, with another
    /// instance that does.
    detours: HashMap<TargetId, Detour>,
}

/// The way to a server through another instance.
#[derive(Clone, Copy, Debug)]
struct Detour {
    via: SocketAddr,
    /// When the direct way was last found closed.
    checked_at: Moment,
}

/// One group of servers at this instance, under one lock.
pub struct Shard {
    id: GroupId,
    connector: Arc<dyn Connector>,
    peers: Arc<Peers>,
    inner: Mutex<Inner>,
    /// Woken when there is something to find out about the primary.
    doubt: Arc<Notify>,
    /// Woken when the right to use the primary is wanted and missing.
    lease_renewal: Arc<Notify>,
    /// Woken when the right to use the primary changed.
    primary_lease_changed: Notify,
}

/// Longest time for a server's greeting, once it can be reached.
///
/// A greeting takes a slot of the server for up to 27 ms and waits for one
/// like any statement. After all instances had lost power, openings that were
/// given up after 300 ms, and begun again, kept the slots busy for a second:
/// 161 of them in 0.2 s made servers look unreachable that were only greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two tries of the direct way to a server that is reached
/// through another instance.
const DETOUR_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Weight of the newest statement in the smoothed time, as one over this.
const SERVICE_TIME_SMOOTHING: u32 = 16;

/// After a failed opening no other is tried for this long, so that waiting
/// requests do not turn into a flood of openings.
const OPEN_PAUSE: Duration = Duration::from_millis(100);

/// After a server said that it has too many connections. Others have to
/// give some up first, which takes the time of a transaction.
const TOO_MANY_CONNECTIONS_PAUSE: Duration = Duration::from_millis(300);

impl Shard {
    /// A group of which nothing is known yet, at an instance in a failure
    /// domain.
    #[must_use]
    pub fn new(
        id: GroupId,
        home: FailureDomainId,
        connector: Arc<dyn Connector>,
        peers: Arc<Peers>,
        doubt: Arc<Notify>,
    ) -> Self {
        let inner = Inner { budget: 1, group: Group::with_home(home), ..Inner::default() };
        let (inner, primary_lease_changed) = (Mutex::new(inner), Notify::new());
        Self {
            id,
            connector,
            peers,
            inner,
            doubt,
            lease_renewal: Arc::default(),
            primary_lease_changed,
        }
    }

    /// With somebody to wake when the right to use the primary is missing.
    #[must_use]
    pub fn with_renewal(mut self, lease_renewal: Arc<Notify>) -> Self {
        self.lease_renewal = lease_renewal;
        self
    }

    /// There is something to find out about the primary.
    pub fn doubt(&self) {
        self.doubt.notify_one();
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("never poisoned")
    }

    /// Reads or updates what is known of the servers.
    pub fn with_group<R>(&self, f: impl FnOnce(&mut Group) -> R) -> R {
        f(&mut self.lock().group)
    }

    /// A server refused what only the primary does.
    pub fn lost_lead(&self, server: &TargetId) {
        let was = self.with_group(|group| group.observe_not_leading(server, 0));
        if was {
            let event = Event::new(EventKind::LeaderLost).with("group", &self.id);
            event_log::emit(&event.with("server", server));
            self.doubt();
        }
    }

    /// The primary is wanted: sees to it that the right to use it is renewed.
    pub fn want_leader(&self) {
        if !self.with_group(|group| group.want_leader(now())) {
            self.lease_renewal.notify_one();
        }
    }

    /// The right to use the primary may have changed.
    pub fn primary_lease_changed(self: &Arc<Self>) {
        self.primary_lease_changed.notify_waiters();
        self.pump();
    }

    /// The term in which a server may be used as the primary now.
    #[must_use]
    pub fn term_of(&self, server: &str) -> Option<Term> {
        self.with_group(|group| group.usable_term(now(), server))
    }

    /// Whether a commit that a server acknowledged was made while it was the
    /// primary of `term`: the right to use that term is still there, or comes
    /// back before `until`.
    ///
    /// An old primary goes on after another was promoted, and what it commits
    /// then is lost.
    pub async fn confirm_term(&self, term: Term, until: Moment) -> bool {
        loop {
            let changed = self.primary_lease_changed.notified();
            let (holds, retired) = self.with_group(|group| {
                (group.primary_lease().holds(now(), term), group.primary_lease().retired() >= term)
            });
            if holds || retired || now() >= until {
                return holds;
            }
            self.lease_renewal.notify_one();
            let wait = until.saturating_sub(now());
            // Over either way: looked at again.
            let _waited = tokio::time::timeout(wait, changed).await;
        }
    }

    /// A server takes long to answer.
    pub fn suspect(&self, server: &TargetId) {
        if self.with_group(|group| group.suspect(now(), server)) {
            self.doubt();
        }
    }

    /// Sets how many connections to each server this instance may hold.
    pub fn set_budget(self: &Arc<Self>, budget: usize) {
        let (before, closing) = {
            let mut inner = self.lock();
            (std::mem::replace(&mut inner.budget, budget), inner.idle_over_budget())
        };
        drop(closing);
        if before != budget {
            let event = Event::new(EventKind::BudgetChanged).with("group", &self.id);
            event_log::emit(&event.with_count("from", before).with_count("to", budget));
            self.pump();
        }
    }

    /// Connections that this instance wants to the busiest server.
    #[must_use]
    pub fn demand(&self, now: Moment) -> f64 {
        self.lock().demand.at(now)
    }

    /// Connections to each server, by state.
    #[must_use]
    pub fn connection_counts(&self) -> Vec<ConnectionCounts> {
        let inner = self.lock();
        let count = |(id, pool): (&TargetId, &Pool)| ConnectionCounts {
            server: id.clone(),
            idle: pool.idle.len(),
            lent: pool.share.open.saturating_sub(pool.idle.len()),
            opening: pool.share.opening,
        };
        inner.pools.iter().map(count).collect()
    }

    /// Whether a request or transaction has a connection.
    #[must_use]
    pub fn has_lent(&self) -> bool {
        let inner = self.lock();
        inner.pools.values().any(|pool| pool.share.open > pool.idle.len())
    }

    /// Requests that wait for a connection.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Takes the platform's list of servers over.
    pub fn set_servers(self: &Arc<Self>, servers: Vec<ServerInfo>) {
        let mut inner = self.lock();
        inner.group.set_servers(now(), servers);
        let Inner { group, pools, .. } = &mut *inner;
        let mut closing = Vec::new();
        pools.retain(|id, pool| {
            let usable = group.takes_work(id);
            if !usable {
                for connection in std::mem::take(&mut pool.idle) {
                    pool.closed(connection.account.as_ref());
                    closing.push(connection);
                }
            }
            usable || pool.share.open + pool.share.opening > 0
        });
        drop(inner);
        drop(closing);
        self.doubt();
        self.pump();
    }

    /// A connection comes back idle and whole.
    pub(crate) fn take_back(self: &Arc<Self>, server: &TargetId, connection: PooledConnection) {
        let mut inner = self.lock();
        let usable = inner.group.takes_work(server);
        let budget = inner.budget;
        let pool = inner.pools.entry(server.clone()).or_default();
        if usable && pool.share.open <= budget {
            pool.idle.push(connection);
        } else {
            pool.closed(connection.account.as_ref());
        }
        drop(inner);
        self.pump();
    }

    /// A statement is sent to a server, on a connection lent before.
    pub(crate) fn begin_running(&self, server: &TargetId) {
        self.lock().group.begin_running(server);
    }

    /// A server is done with a statement, or was given up.
    pub(crate) fn end_running(&self, server: &TargetId) {
        self.lock().group.end_running(server);
    }

    /// A statement took this long at a server. From `slow_threshold` on that is a
    /// sign of a queue there.
    pub fn observe_time(&self, server: &TargetId, took: Duration, slow_threshold: Duration) {
        let mut inner = self.lock();
        let running = inner.group.server(server).map_or(0, |view| view.running);
        let kept = inner.service_time * (SERVICE_TIME_SMOOTHING - 1);
        inner.service_time = (kept + took) / SERVICE_TIME_SMOOTHING;
        if let Some(pool) = inner.pools.get_mut(server) {
            pool.share.limit.answered(now(), running, took, slow_threshold);
        }
    }

    /// A server has too much to do.
    pub fn observe_busy(&self, server: &TargetId) {
        if let Some(pool) = self.lock().pools.get_mut(server) {
            pool.share.limit.refused(now());
        }
    }

    /// A lent connection was closed.
    pub(crate) fn closed(self: &Arc<Self>, server: &TargetId, account: Option<&AccountId>) {
        let mut inner = self.lock();
        if let Some(pool) = inner.pools.get_mut(server) {
            pool.closed(account);
        }
        drop(inner);
        self.pump();
    }

    /// A connection to a server gave no answer to what was sent at a moment. Connections
    /// can go silent together, without a reset: idle ones that have not answered since
    /// are closed, so that they do not take one statement after the other.
    pub fn close_stale(self: &Arc<Self>, server: &TargetId, sent_at: Moment) {
        let closing = {
            let mut inner = self.lock();
            inner.pools.get_mut(server).map(|pool| pool.take_stale(sent_at))
        };
        drop(closing);
        self.pump();
    }

    /// Hands idle connections to those who wait, in their order, and opens
    /// connections for those who can have one.
    pub fn pump(self: &Arc<Self>) {
        let Assignments { grants, openings, closing } = self.lock().assign(now());
        drop(closing);
        for (grant, server, connection) in grants {
            let lease = Lease::new(self.clone(), server, connection);
            // The request may just have given up.
            if let Err(lease) = grant.send(lease) {
                lease.give_back();
            }
        }
        for (server, account) in openings {
            let shard = self.clone();
            tokio::spawn(async move { shard.open(server, account).await });
        }
    }

    async fn open(self: Arc<Self>, server: ServerInfo, account: Option<AccountId>) {
        let began_at = now();
        let via = self.lock().detours.get(&server.id).map(|detour| detour.via);
        let result = self.connect(&server, account.as_ref(), via).await;
        if result.is_err() && via.is_some() {
            // The helper may be gone, or have lost the server itself.
            self.lock().detours.remove(&server.id);
        }
        self.opened(&server.id, account, began_at, result);
        self.pump();
    }

    /// Opens a connection to a server for an account, directly or through another
    /// instance.
    ///
    /// # Errors
    ///
    /// When none can be opened in time, or the server refuses.
    pub async fn connect(
        &self,
        server: &ServerInfo,
        account: Option<&AccountId>,
        via: Option<SocketAddr>,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        let unreachable = |error: PeerError| ConnectError::Unreachable(error.to_string());
        let stream = match via {
            None => peers::connect(server.address).await.map_err(unreachable)?,
            Some(via) => {
                let (group, server) = (self.id.to_string(), server.id.to_string());
                let tunnel = Tunnel { group, server };
                self.peers.tunnel(via, tunnel).await.map_err(unreachable)?
            }
        };
        let greeting = self.connector.start(stream, &self.id, account, server);
        match tokio::time::timeout(GREETING_TIMEOUT, greeting).await {
            Ok(result) => result,
            Err(_) => Err(ConnectError::Unreachable("no greeting in time".to_owned())),
        }
    }

    /// Another instance reaches a server that this one does not.
    pub fn set_detour(self: &Arc<Self>, server: &TargetId, via: SocketAddr) {
        let detour = Detour { via, checked_at: now() };
        let before = self.lock().detours.insert(server.clone(), detour);
        if before.is_none() {
            let event = Event::new(EventKind::DetourOpened).with("group", &self.id);
            event_log::emit(&event.with("server", server).with("via", via));
        }
        self.lock().pools.entry(server.clone()).or_default().share.blocked_until = Moment::ZERO;
        self.pump();
    }

    /// Whether a server is reached only through another instance.
    #[must_use]
    pub fn has_detour(&self, server: &str) -> bool {
        self.lock().detours.contains_key(server)
    }

    /// Detours whose direct way should be tried again. They count as tried.
    pub fn detours_to_check(&self) -> Vec<TargetId> {
        let now = now();
        let mut inner = self.lock();
        let due =
            inner.detours.iter_mut().filter(|(_, d)| d.checked_at + DETOUR_CHECK_INTERVAL <= now);
        due.map(|(id, detour)| {
            detour.checked_at = now;
            id.clone()
        })
        .collect()
    }

    /// The direct way to a server is open again.
    pub fn end_detour(&self, server: &TargetId) {
        if self.lock().detours.remove(server).is_some() {
            let event = Event::new(EventKind::DetourClosed).with("group", &self.id);
            event_log::emit(&event.with("server", server));
        }
    }

    fn log_open_failure(&self, server: &TargetId, reason: &str) {
        let event = Event::new(EventKind::ConnectionFailed).with("group", &self.id);
        event_log::emit(&event.with("server", server).with("reason", reason));
    }

    fn opened(
        self: &Arc<Self>,
        server: &TargetId,
        account: Option<AccountId>,
        began_at: Moment,
        result: Result<Box<dyn ServerConnection>, ConnectError>,
    ) {
        let now = now();
        let mut inner = self.lock();
        inner.end_opening(server, account.as_ref());
        let known = inner.group.takes_work(server);
        let pool = inner.pools.entry(server.clone()).or_default();
        pool.share.opening = pool.share.opening.saturating_sub(1);
        let opened = known && result.is_ok();
        if !opened {
            pool.forget(account.as_ref());
        }
        match result {
            Ok(connection) if known => {
                pool.share.open += 1;
                pool.idle.push(PooledConnection::new(account, connection));
                inner.group.observe_answer(now, server, None);
            }
            Ok(_) => {}
            Err(ConnectError::Refused(refusal))
                if refusal.kind == RefusalKind::TooManyConnections =>
            {
                pool.share.blocked_until = now + TOO_MANY_CONNECTIONS_PAUSE;
                self.log_open_failure(server, "too many connections");
            }
            Err(error) => {
                pool.share.blocked_until = now + OPEN_PAUSE;
                // A server that answered on another connection meanwhile has
                // a queue; it is not dead.
                if !inner.group.has_answered_since(server, began_at) {
                    inner.group.observe_failure(now, server);
                }
                drop(inner);
                self.log_open_failure(server, &error.to_string());
                let shard = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(OPEN_PAUSE).await;
                    shard.pump();
                });
            }
        }
    }
}

/// Connections to one server.
#[derive(Clone, Debug)]
pub struct ConnectionCounts {
    /// The server.
    pub server: TargetId,
    idle: usize,
    lent: usize,
    opening: usize,
}

impl ConnectionCounts {
    /// The counts with the names of their states.
    #[must_use]
    pub fn by_state(&self) -> [(&'static str, usize); 3] {
        [("idle", self.idle), ("lent", self.lent), ("opening", self.opening)]
    }
}

type Grant = (oneshot::Sender<Lease>, TargetId, PooledConnection);

/// What follows from a look at those who wait.
#[derive(Default)]
pub(super) struct Assignments {
    grants: Vec<Grant>,
    /// Connections to open, and for whom.
    openings: Vec<(ServerInfo, Option<AccountId>)>,
    /// Connections that make room for these.
    closing: Vec<PooledConnection>,
}
