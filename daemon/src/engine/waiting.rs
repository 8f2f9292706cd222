//! The queue of requests that wait for a connection to a group.
//!
//! The queue has two tiers. A request waits in the first tier, in time, while it can still
//! meet its objective, the response time that its route sets as a goal. A request that cannot
//! waits in the second tier, late, behind all requests in time, and is served if that is
//! possible before its deadline. A request whose expected wait is too long for both is refused
//! at once.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fair_order::AccountBacklog;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::fair_order::PLACES_TEXT;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::load_shedding::QueueDecision;
use chervilwharf_lib::load_shedding::WaitForecast;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::wait_estimator::SubQueue;
use chervilwharf_lib::wait_queue::QueuePlace;
use chervilwharf_lib::wait_queue::Rank;
use chervilwharf_lib::wait_queue::Tier;
use tokio::sync::oneshot;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::lease::Lease;
use crate::engine::request::Failure;
use crate::engine::shard::Inner;
use crate::engine::shard::Shard;

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequest<'a> {
    /// Which servers can serve it.
    pub need: Need,
    /// The account whose connections can serve it.
    pub owner: ConnectionOwner,
    /// The account that it counts for in the order of service.
    pub flow: Flow,
    /// Its priority in the queue.
    pub priority: Priority,
    /// When the request stops waiting, at the latest.
    pub give_up_at: Moment,
    /// Until when the request waits in time. Served later, it misses its objective.
    pub in_time_until: Moment,
    /// Values of its session, to choose a connection on which they are set up.
    pub values: &'a SessionValues,
    /// The prepared statement that it is about to execute, if any.
    pub prepared: Option<&'a Prepared>,
}

impl ConnectionRequest<'_> {
    pub(super) fn rank(&self, tier: Tier) -> Rank {
        Rank { tier, priority: self.priority, deadline: self.give_up_at }
    }

    fn sub_queue(&self, tier: Tier) -> SubQueue {
        SubQueue { class: self.need.class(), tier, priority: self.priority }
    }
}

/// Part of a request's time that a late wait reserves for the statement itself: about what
/// a statement takes at a server that is under load.
const LATE_RESERVE: Duration = Duration::from_millis(100);

/// Until when a request waits that can no longer meet its objective.
fn late_until(request: &ConnectionRequest<'_>) -> Moment {
    request.give_up_at.saturating_sub(LATE_RESERVE)
}

/// Removes a request from the queue when dropped. A request whose client disconnects while it
/// waits would otherwise delay others.
struct QueueGuard {
    shard: Arc<Shard>,
    place: QueuePlace,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.shard.lock().queue.remove(self.place);
    }
}

/// A request that waits for a connection.
pub(super) struct Waiter {
    pub(super) need: Need,
    pub(super) owner: ConnectionOwner,
    pub(super) since: Moment,
    pub(super) grant: oneshot::Sender<Lease>,
}

impl Shard {
    /// Gets a connection, and waits in the queue if none is free.
    ///
    /// # Errors
    ///
    /// When none is available in time, or the request is refused at once because its wait
    /// would be too long. Nothing was sent then.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Lease, Failure> {
        let acquired = self.acquire_or_wait(request).await;
        if let (Err(failure), ConnectionOwner::Account(_)) = (&acquired, &request.owner) {
            self.record_refusal(request.priority, failure.kind);
        }
        acquired
    }

    async fn acquire_or_wait(
        self: &Arc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Lease, Failure> {
        let began_at = now();
        if request.need == Need::Leader {
            self.note_leader_needed();
        }
        let tier = {
            let mut inner = self.lock();
            if request.need == Need::Leader && inner.group.is_cut_off(began_at) {
                return Err(Failure::new(ErrorKind::CutOff));
            }
            if let Some((server, connection)) = inner.take_idle(began_at, request) {
                drop(inner);
                return Ok(Lease::new(self.clone(), server, connection));
            }
            inner.observe_waiting(began_at, request);
            inner.admit(began_at, request, request.in_time_until.saturating_sub(began_at))?
        };
        if tier == Tier::InTime {
            // While the primary does not answer, the request waits until its deadline,
            // since another server will be promoted soon. If only the primary lease is
            // missing, it is either renewed quickly, or another instance has to serve
            // the request.
            let (answers, lacks_primary_lease) = self.with_group(|group| {
                (group.leader_answers(began_at), group.lacks_primary_lease(began_at))
            });
            let in_time_only = answers || lacks_primary_lease;
            let until = if in_time_only { request.in_time_until } else { request.give_up_at };
            if let Some(lease) = self.wait(request, Tier::InTime, until).await {
                return Ok(lease);
            }
            let shortage = Failure::new(self.shortage(&request.need));
            if !answers {
                return Err(shortage);
            }
            if let Err(failure) = self.lock().admit(now(), request, Duration::ZERO) {
                return Err(if &*failure.text == PLACES_TEXT { failure } else { shortage });
            }
        }
        let late = self.wait(request, Tier::Late, late_until(request)).await;
        late.ok_or_else(|| Failure::new(self.shortage(&request.need)))
    }

    /// Records that the primary `id` can neither be reached nor replaced from here, and
    /// refuses the requests that wait for it. `None` clears that record.
    pub fn set_out_of_reach(&self, id: Option<&TargetId>) {
        let mut inner = self.lock();
        if !inner.group.set_out_of_reach(id) {
            return;
        }
        let waiting = inner.queue.iter().filter(|(_, waiter)| waiter.need == Need::Leader);
        let places: Vec<_> = waiting.map(|(place, _)| place).collect();
        // Dropping the sender of the grant ends the wait.
        let refused = places.into_iter().filter_map(|place| inner.queue.remove(place)).count();
        drop(inner);
        let event = Event::new(EventKind::PrimaryOutOfReach).with("group", self.id());
        event_log::emit(&event.with_some("server", id).with_count("refused", refused));
    }

    /// Waits for a connection in the queue.
    async fn wait(
        self: &Arc<Self>,
        request: &ConnectionRequest<'_>,
        tier: Tier,
        until: Moment,
    ) -> Option<Lease> {
        let began_at = now();
        let (grant, mut granted) = oneshot::channel();
        let (place, ahead, measures, servers, granted_before) = {
            let mut inner = self.lock();
            let measures = !inner.awaits_primary(began_at, &request.need);
            let servers = inner.servers_for(began_at, &request.need);
            let ahead = inner.competitors(began_at, request, &servers, tier);
            let (need, owner) = (request.need.clone(), request.owner.clone());
            let waiter = Waiter { need, owner, since: began_at, grant };
            let place = inner.queue.push(request.rank(tier), &request.flow, waiter);
            let granted_before = inner.granted_from_queue(&servers);
            let place = QueueGuard { shard: self.clone(), place };
            (place, ahead, measures, servers, granted_before)
        };
        self.assign_connections();
        let wait = until.saturating_sub(began_at);
        let in_time = tokio::time::timeout(wait, &mut granted).await;
        drop(place);
        // The connection may have been granted just before the timeout.
        let lease = in_time.ok().and_then(Result::ok).or_else(|| granted.try_recv().ok());
        let ended_at = now();
        let waited = ended_at.saturating_sub(began_at);
        let mut inner = self.lock();
        let granted = inner.granted_from_queue(&servers).saturating_sub(granted_before);
        let passed = granted.saturating_sub(usize::from(lease.is_some()));
        let ahead = match request.flow.account() {
            // A request whose late wait ended without a connection was not served at all, so
            // its whole wait counts for a single place.
            _ if lease.is_none() && tier == Tier::Late => 0,
            // Requests of other accounts can overtake this one, also while it waits for a
            // connection of its account. They were served in this time as well.
            Some(_) => ahead.max(passed),
            None => ahead,
        };
        if measures && !inner.awaits_primary(ended_at, &request.need) {
            inner.wait_estimator.observe(ended_at, request.sub_queue(tier), ahead, waited);
        }
        drop(inner);
        lease
    }

    /// Why a request got no connection.
    fn shortage(&self, need: &Need) -> ErrorKind {
        let inner = self.lock();
        match need {
            Need::Leader if inner.group.leader().is_none() => ErrorKind::NoPrimary,
            Need::Leader if inner.group.is_cut_off(now()) => ErrorKind::CutOff,
            _ => ErrorKind::Overloaded,
        }
    }
}

impl Inner {
    /// Decides whether a request waits, and in which tier, or is refused.
    /// `max_wait` is how long it can wait and still meet its objective.
    fn admit(
        &mut self,
        now: Moment,
        request: &ConnectionRequest<'_>,
        max_wait: Duration,
    ) -> Result<Tier, Failure> {
        if request.need == Need::Leader && self.group.is_cut_off(now) {
            return Err(Failure::new(ErrorKind::CutOff));
        }
        let Some(forecast) = self.forecast(now, request, max_wait) else {
            return Ok(Tier::InTime);
        };
        match forecast.decide() {
            QueueDecision::Wait(tier) => {
                let limit = match tier {
                    Tier::InTime => forecast.max_wait,
                    Tier::Late => forecast.time_left,
                };
                match self.refused_places(now, request, tier, limit) {
                    Some(after) => {
                        self.places_refused += 1;
                        let text = PLACES_TEXT.into();
                        let failure = Failure { text, ..Failure::new(ErrorKind::Overloaded) };
                        Err(failure.with_retry_after(after))
                    }
                    None => Ok(tier),
                }
            }
            QueueDecision::Refuse(after) => {
                Err(Failure::new(ErrorKind::Overloaded).with_retry_after(after))
            }
        }
    }

    /// The expected waits of a request; `None` if it waits for a primary that does not
    /// answer.
    pub(super) fn forecast(
        &self,
        now: Moment,
        request: &ConnectionRequest<'_>,
        max_wait: Duration,
    ) -> Option<WaitForecast> {
        if self.awaits_primary(now, &request.need) {
            return None;
        }
        let servers = self.servers_for(now, &request.need);
        let ahead = self.competitors(now, request, &servers, Tier::InTime);
        let late_waiting = self.competitors(now, request, &servers, Tier::Late);
        let measured =
            |tier, ahead| self.wait_estimator.expected_wait(now, request.sub_queue(tier), ahead);
        let in_time = measured(Tier::InTime, ahead);
        Some(WaitForecast {
            in_time: in_time.or_else(|| self.computed_wait(&servers, ahead)),
            late: measured(Tier::Late, late_waiting),
            late_waiting,
            max_wait,
            time_left: late_until(request).saturating_sub(now),
        })
    }

    /// If the account of a request already has half of the waiting places in a tier, the
    /// time after which its waiting requests have been served.
    fn refused_places(
        &self,
        now: Moment,
        request: &ConnectionRequest<'_>,
        tier: Tier,
        max_wait: Duration,
    ) -> Option<Duration> {
        let account = request.flow.account()?;
        let sub_queue = request.sub_queue(tier);
        let wait_per_place = self.wait_estimator.wait_per_place(now, sub_queue)?;
        let servers = self.servers_for(now, &request.need);
        let ahead = self.competitors(now, request, &servers, tier);
        let competes = |waiter: &&Waiter| self.competes(now, waiter, &servers);
        let own = self.queue.of_account(tier, request.priority, account).filter(competes);
        let backlog = AccountBacklog {
            own: own.count(),
            others_wait: self.queue.others_wait(tier, request.priority, account),
            expected_wait: wait_per_place * u32::try_from(ahead).unwrap_or(u32::MAX),
            wait_per_place,
            max_wait,
        };
        backlog.refuse_after()
    }

    /// Whether a request waits for a primary that does not answer. That wait does not
    /// depend on the length of the queue, so it is neither measured nor estimated.
    /// Otherwise requests would be refused that the next primary can serve in time.
    fn awaits_primary(&self, now: Moment, need: &Need) -> bool {
        *need == Need::Leader && !self.group.leader_answers(now)
    }

    /// The number of requests in a tier that come before this one and can be served by
    /// one of `servers`.
    fn competitors(
        &self,
        now: Moment,
        request: &ConnectionRequest<'_>,
        servers: &[TargetId],
        tier: Tier,
    ) -> usize {
        let competes = |(rank, waiter): &(Rank, &Waiter)| {
            rank.tier == tier && self.competes(now, waiter, servers)
        };
        self.queue.ahead_of(request.rank(tier), &request.flow).filter(competes).count()
    }

    /// Whether one of `servers` can serve a waiting request.
    fn competes(&self, now: Moment, waiter: &Waiter, servers: &[TargetId]) -> bool {
        servers.iter().any(|id| waiter.need.accepts(&self.group, now, id))
    }

    /// Servers that can serve a request.
    fn servers_for(&self, now: Moment, need: &Need) -> Vec<TargetId> {
        let accepted =
            self.group.servers().filter(|view| need.accepts(&self.group, now, &view.info.id));
        accepted.map(|view| view.info.id.clone()).collect()
    }

    /// Estimated wait for one of these servers, from the usual duration of statements and the
    /// number that the servers run at the same time; `None` if no server can serve the
    /// request now, though one may soon.
    fn computed_wait(&self, servers: &[TargetId], ahead: usize) -> Option<Duration> {
        let capacity: f64 = servers.iter().map(|id| self.limit_of(id)).sum();
        let places = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        (capacity > 0.0).then(|| self.service_time.mul_f64(places / capacity))
    }
}
