//! A shard: one group of replicated servers as this instance sees it. It holds the
//! observed state of the servers, the pooled connections to them, and the queue of
//! requests that wait for a connection.
//!
//! An instance may use the primary of a group only under the primary lease, a lease on the
//! primary's term that half of the voting instances, or the platform's store, grant to it.

mod assign;
mod load;
mod pool;
mod queue_counts;
mod wrong_replies;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::account_rates::AccountRates;
use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::connection_budget::Demand;
use chervilwharf_lib::engine_protos::Tunnel;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group_load::LoadReporter;
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
use crate::engine::shard::load::WaitExample;
use crate::engine::shard::pool::Pool;
use crate::engine::shard::wrong_replies::WrongReplyCounts;
use crate::engine::waiting::Waiter;

#[derive(Default)]
pub(super) struct Inner {
    id: GroupId,
    pub(super) group: Group,
    pools: HashMap<TargetId, Pool>,
    pub(super) queue: WaitQueue<Waiter>,
    /// Requests refused because their account has half of the waiting places.
    pub(super) places_refused: u64,
    /// Requests of clients that were refused, by priority and reason.
    refused: HashMap<(Priority, ErrorKind), u64>,
    pub(super) wait_estimator: WaitEstimator,
    load_reporter: LoadReporter<WaitExample>,
    budget: usize,
    /// See [`Shard::set_reads_wait_for_own`].
    reads_wait_for_own: bool,
    /// The budget that was last logged.
    logged_budget: usize,
    /// Smoothed duration of statements at the servers.
    pub(super) service_time: Duration,
    demand: Demand,
    /// How often each account requests a connection.
    pub(super) request_rates: AccountRates,
    /// Connections being opened, by server and account.
    openings: HashMap<(TargetId, Option<AccountId>), usize>,
    /// Replies that were not those of the statements in whose place they arrived.
    wrong_replies: WrongReplyCounts,
    /// Servers that this instance cannot reach directly, with the detour to each.
    detours: HashMap<TargetId, Detour>,
}

/// A detour: the path to a server through a tunnel of another instance, which can reach
/// it.
#[derive(Clone, Copy, Debug)]
struct Detour {
    /// Address of the other instance.
    via: SocketAddr,
    /// When the direct path was last tried.
    checked_at: Moment,
}

/// One group of servers at this instance, with its state under one lock.
pub struct Shard {
    id: GroupId,
    connector: Arc<dyn Connector>,
    peers: Arc<Peers>,
    inner: Mutex<Inner>,
    /// Wakes the task that checks the primary, when it may have failed or changed.
    primary_check: Arc<Notify>,
    /// Wakes the task that renews the primary lease, when a request needs the lease and it
    /// has expired.
    lease_renewal: Arc<Notify>,
    /// Wakes those who wait for a change of the primary lease.
    primary_lease_changed: Notify,
}

/// How long the handshake with a server may take once the network connection is open.
///
/// A handshake takes a slot of the server for up to 27 ms, and waits for a free slot like
/// any statement. With a limit of 300 ms, after a power loss of all instances, abandoned
/// and repeated handshakes kept the slots busy for a second: 161 of them in 0.2 s made
/// servers appear unreachable that were only busy with handshakes.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the direct path to a server is tried again while a detour is in use.
const DETOUR_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The newest statement has a weight of one over this in the smoothed statement duration.
const SERVICE_TIME_SMOOTHING: u32 = 16;

/// After a connection could not be opened, none is opened to the same server for this
/// long, so that waiting requests do not cause a flood of attempts.
const OPEN_PAUSE: Duration = Duration::from_millis(100);

/// Pause before the next connection is opened to a server that reported too many
/// connections. Other instances have to close some first, which takes about as long as
/// a transaction.
const TOO_MANY_CONNECTIONS_PAUSE: Duration = Duration::from_millis(300);

/// Whether a budget differs from the one that was last logged by more than the demand of the
/// holders varies all the time.
fn is_notable_change(logged: usize, budget: usize) -> bool {
    let difference = logged.abs_diff(budget);
    difference > 0 && (logged == 0 || budget == 0 || difference > logged / 4)
}

impl Shard {
    /// Creates a shard without servers, at an instance in the failure domain `home`.
    /// `primary_check` wakes the task that checks primaries.
    #[must_use]
    pub fn new(
        id: GroupId,
        home: FailureDomainId,
        connector: Arc<dyn Connector>,
        peers: Arc<Peers>,
        primary_check: Arc<Notify>,
    ) -> Self {
        let group = Group::with_home(home);
        let inner =
            Inner { id: id.clone(), budget: 1, logged_budget: 1, group, ..Inner::default() };
        let (inner, primary_lease_changed) = (Mutex::new(inner), Notify::new());
        Self {
            id,
            connector,
            peers,
            inner,
            primary_check,
            lease_renewal: Arc::default(),
            primary_lease_changed,
        }
    }

    /// Sets how many connections to each server this instance may hold at first.
    #[must_use]
    pub fn with_budget(self, budget: usize) -> Self {
        let mut inner = self.lock();
        (inner.budget, inner.logged_budget) = (budget, budget);
        drop(inner);
        self
    }

    /// Sets what wakes the task that renews primary leases.
    #[must_use]
    pub fn with_renewal(mut self, lease_renewal: Arc<Notify>) -> Self {
        self.lease_renewal = lease_renewal;
        self
    }

    /// Wakes the task that checks the primary, since it may have failed or changed.
    pub fn request_primary_check(&self) {
        self.primary_check.notify_one();
    }

    /// The group's id.
    #[must_use]
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("never poisoned")
    }

    /// Reads or updates the observed state of the servers.
    pub fn with_group<R>(&self, f: impl FnOnce(&mut Group) -> R) -> R {
        f(&mut self.lock().group)
    }

    /// The servers that the platform lists.
    #[must_use]
    pub fn listed_servers(&self) -> Vec<ServerInfo> {
        self.with_group(|group| group.servers().map(|view| view.info.clone()).collect())
    }

    /// Records that a server refused an operation that only the primary serves.
    pub fn observe_not_leading(&self, server: &TargetId) {
        let was = self.with_group(|group| group.observe_not_leading(server, 0));
        if was {
            let event = Event::new(EventKind::LeaderLost).with("group", &self.id);
            event_log::emit(&event.with("server", server));
            self.request_primary_check();
        }
    }

    /// Records that a request needs the primary, and requests a renewal of the primary
    /// lease if that is due.
    pub fn note_leader_needed(&self) {
        if !self.with_group(|group| group.note_leader_needed(now())) {
            self.lease_renewal.notify_one();
        }
    }

    /// Wakes those who wait for a change of the primary lease, and assigns connections.
    pub fn primary_lease_changed(self: &Arc<Self>) {
        self.primary_lease_changed.notify_waiters();
        self.assign_connections();
    }

    /// The term in which a server may be used as the primary now: the term of a valid
    /// primary lease. `None` if there is none for this server.
    #[must_use]
    pub fn term_of(&self, server: &str) -> Option<Term> {
        self.with_group(|group| group.usable_term(now(), server))
    }

    /// Whether a commit that a server acknowledged was made while it was the primary of
    /// `term`. This is so if the lease on that term is valid, or is renewed before
    /// `until`.
    ///
    /// A former primary may continue to acknowledge commits after another server was
    /// promoted. Those commits are lost.
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
            // The lease is checked again after a change as well as after the timeout.
            let _waited = tokio::time::timeout(wait, changed).await;
        }
    }

    /// Records that a server takes unusually long to answer, so that it may have failed.
    pub fn suspect(&self, server: &TargetId) {
        if self.with_group(|group| group.suspect(now(), server)) {
            self.request_primary_check();
        }
    }

    /// Sets how many connections to each server this instance may hold, and closes idle
    /// ones above that.
    pub fn set_budget(self: &Arc<Self>, budget: usize) {
        let (before, logged, closing) = {
            let mut inner = self.lock();
            let before = std::mem::replace(&mut inner.budget, budget);
            let logged = inner.logged_budget;
            if is_notable_change(logged, budget) {
                inner.logged_budget = budget;
            }
            (before, logged, inner.idle_over_budget())
        };
        drop(closing);
        if is_notable_change(logged, budget) {
            let event = Event::new(EventKind::BudgetChanged).with("group", &self.id);
            event_log::emit(&event.with_count("from", logged).with_count("to", budget));
        }
        if before != budget {
            self.assign_connections();
        }
    }

    /// Sets whether a read whose account has a connection to a replica waits for that one for a
    /// while, before a connection to the primary is opened for it.
    pub fn set_reads_wait_for_own(&self, waits: bool) {
        self.lock().reads_wait_for_own = waits;
    }

    /// How many connections to the busiest server this instance needs: the recent peak,
    /// which decays over time.
    #[must_use]
    pub fn demand(&self, now: Moment) -> f64 {
        self.lock().demand.at(now)
    }

    /// The number of connections to each server, by state.
    #[must_use]
    pub fn connection_counts(&self) -> Vec<ConnectionCounts> {
        let inner = self.lock();
        let count = |(id, pool): (&TargetId, &Pool)| ConnectionCounts {
            server: id.clone(),
            idle: pool.idle.len(),
            lent: pool.view.open.saturating_sub(pool.idle.len()),
            opening: pool.view.opening,
        };
        inner.pools.iter().map(count).collect()
    }

    /// Whether a request or transaction holds a connection.
    #[must_use]
    pub fn has_lent(&self) -> bool {
        let inner = self.lock();
        inner.pools.values().any(|pool| pool.view.open > pool.idle.len())
    }

    /// The number of requests that wait for a connection.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// The fair order among the accounts whose requests wait.
    #[must_use]
    pub fn fair_order_counts(&self) -> FairOrderCounts {
        let inner = self.lock();
        FairOrderCounts {
            flows: inner.queue.flows(),
            relieved: inner.queue.relieved(),
            places_refused: inner.places_refused,
        }
    }

    /// Sets the servers of the group, from the platform's list. Idle connections to servers
    /// that take no more work are closed.
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
            usable || pool.view.open + pool.view.opening > 0
        });
        drop(inner);
        drop(closing);
        self.request_primary_check();
        self.assign_connections();
    }

    /// Returns a lent connection, with no transaction open and no reply outstanding, to the
    /// pool.
    pub(crate) fn return_to_pool(
        self: &Arc<Self>,
        server: &TargetId,
        mut connection: PooledConnection,
    ) {
        let mut inner = self.lock();
        let usable = inner.group.takes_work(server);
        let budget = inner.budget;
        let pool = inner.pools.entry(server.clone()).or_default();
        connection.share_empty_reads(&mut pool.reads_may_be_empty);
        if usable && pool.view.open <= budget {
            pool.idle.push(connection);
        } else {
            pool.closed(connection.account.as_ref());
        }
        drop(inner);
        self.assign_connections();
    }

    /// Counts a statement that is sent to a server on a connection that is already lent.
    pub(crate) fn begin_running(&self, server: &TargetId) {
        self.lock().group.begin_running(server);
    }

    /// Stops counting a statement at a server: the server completed it, or the exchange was
    /// abandoned.
    pub(crate) fn end_running(&self, server: &TargetId) {
        self.lock().group.end_running(server);
    }

    /// Records how long a statement took at a server. From `slow_threshold` on, the duration
    /// indicates that statements queue at the server.
    pub fn observe_time(&self, server: &TargetId, took: Duration, slow_threshold: Duration) {
        let mut inner = self.lock();
        let running = inner.group.server(server).map_or(0, |view| view.running);
        let kept = inner.service_time * (SERVICE_TIME_SMOOTHING - 1);
        inner.service_time = (kept + took) / SERVICE_TIME_SMOOTHING;
        if let Some(pool) = inner.pools.get_mut(server) {
            pool.view.limit.answered(now(), running, took, slow_threshold);
        }
    }

    /// Records that a server refused a statement because it is overloaded.
    pub fn observe_busy(&self, server: &TargetId) {
        if let Some(pool) = self.lock().pools.get_mut(server) {
            pool.view.limit.refused(now());
        }
    }

    /// Records that a lent connection was closed.
    pub(crate) fn closed(self: &Arc<Self>, server: &TargetId, account: Option<&AccountId>) {
        let mut inner = self.lock();
        if let Some(pool) = inner.pools.get_mut(server) {
            pool.closed(account);
        }
        drop(inner);
        self.assign_connections();
    }

    /// Closes stale idle connections to a server: those without an answer since `sent_at`,
    /// when something was sent on another connection that was never answered. Connections
    /// can stop working together, without a reset; otherwise each of them would lose a
    /// statement in turn.
    pub fn close_stale(self: &Arc<Self>, server: &TargetId, sent_at: Moment) {
        let closing = {
            let mut inner = self.lock();
            inner.pools.get_mut(server).map(|pool| pool.take_stale(sent_at))
        };
        drop(closing);
        self.assign_connections();
    }

    /// Assigns idle connections to waiting requests in the order of the queue, and opens
    /// new connections where the budget allows.
    pub fn assign_connections(self: &Arc<Self>) {
        let Assignments { grants, openings, closing } = self.lock().assign(now());
        drop(closing);
        for (grant, server, connection) in grants {
            let lease = Lease::new(self.clone(), server, connection);
            // The request may have stopped waiting in the meantime.
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
            // The other instance may be gone, or may no longer reach the server either.
            self.lock().detours.remove(&server.id);
        }
        self.opened(&server.id, account, began_at, result);
        self.assign_connections();
    }

    /// Opens a connection to a server for an account, directly or through another
    /// instance.
    ///
    /// # Errors
    ///
    /// When the server cannot be reached in time, or refuses the connection.
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

    /// Uses a detour to a server, through the instance at `via`, for new connections.
    pub fn set_detour(self: &Arc<Self>, server: &TargetId, via: SocketAddr) {
        let detour = Detour { via, checked_at: now() };
        let before = self.lock().detours.insert(server.clone(), detour);
        if before.is_none() {
            let event = Event::new(EventKind::DetourOpened).with("group", &self.id);
            event_log::emit(&event.with("server", server).with("via", via));
        }
        self.lock().pools.entry(server.clone()).or_default().view.blocked_until = Moment::ZERO;
        self.assign_connections();
    }

    /// Whether a detour to a server is in use.
    #[must_use]
    pub fn has_detour(&self, server: &str) -> bool {
        self.lock().detours.contains_key(server)
    }

    /// Servers with a detour whose direct path is due to be tried again. Marks them as tried
    /// now.
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

    /// Ends the detour to a server, which can be reached directly again.
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
        let usable = inner.group.takes_work(server);
        let pool = inner.pools.entry(server.clone()).or_default();
        pool.view.opening = pool.view.opening.saturating_sub(1);
        let opened = usable && result.is_ok();
        if !opened {
            pool.remove_from_account(account.as_ref());
        }
        match result {
            Ok(connection) if usable => {
                pool.view.open += 1;
                pool.idle.push(PooledConnection::new(account, connection, began_at));
                inner.group.observe_answer(now, server, None);
            }
            Ok(_) => {}
            Err(ConnectError::Refused(refusal))
                if refusal.kind == RefusalKind::TooManyConnections =>
            {
                pool.view.blocked_until = now + TOO_MANY_CONNECTIONS_PAUSE;
                self.log_open_failure(server, "too many connections");
            }
            Err(error) => {
                pool.view.blocked_until = now + OPEN_PAUSE;
                // A server that answered on another connection in the meantime is
                // overloaded, not down.
                if !inner.group.has_answered_since(server, began_at) {
                    inner.group.observe_failure(now, server);
                }
                drop(inner);
                self.log_open_failure(server, &error.to_string());
                let shard = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(OPEN_PAUSE).await;
                    shard.assign_connections();
                });
            }
        }
    }
}

/// The number of connections to one server, by state.
#[derive(Clone, Debug)]
pub struct ConnectionCounts {
    /// The server.
    pub server: TargetId,
    idle: usize,
    lent: usize,
    opening: usize,
}

impl ConnectionCounts {
    /// The counts with the names of their states, as metric labels.
    #[must_use]
    pub fn by_state(&self) -> [(&'static str, usize); 3] {
        [("idle", self.idle), ("lent", self.lent), ("opening", self.opening)]
    }
}

/// State and counters of the fair order among the accounts of a group.
#[derive(Clone, Copy, Debug)]
pub struct FairOrderCounts {
    /// Accounts whose share of the service is remembered.
    pub flows: usize,
    /// Connections that the lowest priority got before more urgent requests.
    pub relieved: u64,
    /// Requests refused because their account has half of the waiting places.
    pub places_refused: u64,
}

type Grant = (oneshot::Sender<Lease>, TargetId, PooledConnection);

/// The result of one assignment of connections to waiting requests.
#[derive(Default)]
pub(super) struct Assignments {
    grants: Vec<Grant>,
    /// Connections to open, with the account of each.
    openings: Vec<(ServerInfo, Option<AccountId>)>,
    /// Connections to close, to make room for those.
    closing: Vec<PooledConnection>,
}
