//! Requests that wait for a connection to a group.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::load_shedding::QueueDecision;
use chervilwharf_lib::load_shedding::WaitForecast;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_choice::Owner;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::wait_estimator::SubQueue;
use chervilwharf_lib::wait_queue::Place;
use chervilwharf_lib::wait_queue::Rank;
use chervilwharf_lib::wait_queue::Tier;
use tokio::sync::oneshot;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::lease::Lease;
use crate::engine::request::Failure;
use crate::engine::shard::Inner;
use crate::engine::shard::Shard;

/// What a request wants of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequest<'a> {
    /// Which servers will do.
    pub need: Need,
    /// Whose connections will do.
    pub owner: Owner,
    /// Order of service.
    pub priority: Priority,
    /// When the request stops waiting.
    pub give_up_at: Moment,
    /// Until when the request is worth more than one that comes later: served
    /// after this it misses its objective.
    pub in_time_until: Moment,
    /// Values of its session, to choose a connection that has them.
    pub values: &'a SessionValues,
    /// What it is about to execute.
    pub prepared: Option<&'a Prepared>,
}

impl ConnectionRequest<'_> {
    pub(super) fn rank(&self, tier: Tier) -> Rank {
        Rank { tier, priority: self.priority, deadline: self.give_up_at }
    }

    fn line(&self, tier: Tier) -> SubQueue {
        SubQueue { class: self.need.class(), tier, priority: self.priority }
    }
}

/// Part of a request's time that a late wait leaves for the statement itself:
/// what one takes at a server with a queue.
const LATE_RESERVE: Duration = Duration::from_millis(100);

/// Until when a request waits that cannot meet its objective any more.
fn late_until(want: &ConnectionRequest<'_>) -> Moment {
    want.give_up_at.saturating_sub(LATE_RESERVE)
}

/// A place in the queue, given up when it is dropped: a client that leaves
/// while it waits must not stay in the way of others.
struct QueueGuard {
    shard: Arc<Shard>,
    place: Place,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.shard.lock().queue.remove(self.place);
    }
}

/// A request that waits for a connection.
pub(super) struct Waiter {
    pub(super) need: Need,
    pub(super) owner: Owner,
    pub(super) since: Moment,
    pub(super) grant: oneshot::Sender<Lease>,
}

impl Shard {
    /// Gets a connection, waiting for its turn if need be.
    ///
    /// # Errors
    ///
    /// When none could be had in time. Nothing was sent then.
    pub async fn acquire(self: &Arc<Self>, want: &ConnectionRequest<'_>) -> Result<Lease, Failure> {
        let began_at = now();
        if want.need == Need::Leader {
            self.want_leader();
        }
        let tier = {
            let mut inner = self.lock();
            if want.need == Need::Leader && inner.group.is_cut_off(began_at) {
                return Err(Failure::new(ErrorKind::CutOff));
            }
            if let Some((server, connection)) = inner.take_idle(began_at, want) {
                drop(inner);
                return Ok(Lease::new(self.clone(), server, connection));
            }
            inner.admit(began_at, want, want.in_time_until.saturating_sub(began_at))?
        };
        if tier == Tier::InTime {
            // Without a primary that answers there is nobody to be impatient
            // with: another one will lead soon. Where only the right to use it is
            // missing, that is back at once, or another instance has to serve.
            let (answers, lacks_primary_lease) = self.with_group(|group| {
                (group.leader_answers(began_at), group.lacks_primary_lease(began_at))
            });
            let patient = answers || lacks_primary_lease;
            let until = if patient { want.in_time_until } else { want.give_up_at };
            if let Some(lease) = self.wait(want, Tier::InTime, until).await {
                return Ok(lease);
            }
            let shortage = Failure::new(self.shortage(&want.need));
            if !answers || self.lock().admit(now(), want, Duration::ZERO).is_err() {
                return Err(shortage);
            }
        }
        let late = self.wait(want, Tier::Late, late_until(want)).await;
        late.ok_or_else(|| Failure::new(self.shortage(&want.need)))
    }

    /// The primary can neither be reached nor replaced from here: those who wait
    /// for it are told so.
    pub fn set_out_of_reach(&self, id: Option<&TargetId>) {
        let mut inner = self.lock();
        if !inner.group.set_out_of_reach(id) {
            return;
        }
        let waiting = inner.queue.iter().filter(|(_, waiter)| waiter.need == Need::Leader);
        let places: Vec<_> = waiting.map(|(place, _)| place).collect();
        // Without somebody who grants, the wait is over.
        let refused = places.into_iter().filter_map(|place| inner.queue.remove(place)).count();
        drop(inner);
        let event = Event::new(EventKind::PrimaryOutOfReach).with("group", self.id());
        event_log::emit(&event.with_some("server", id).with_count("refused", refused));
    }

    /// Waits for a connection in the queue.
    async fn wait(
        self: &Arc<Self>,
        want: &ConnectionRequest<'_>,
        tier: Tier,
        until: Moment,
    ) -> Option<Lease> {
        let began_at = now();
        let (grant, mut granted) = oneshot::channel();
        let (place, ahead, measures) = {
            let mut inner = self.lock();
            let measures = !inner.awaits_primary(began_at, &want.need);
            let servers = inner.servers_for(began_at, &want.need);
            let ahead = inner.competitors(began_at, want, &servers, tier);
            let (need, owner) = (want.need.clone(), want.owner.clone());
            let waiter = Waiter { need, owner, since: began_at, grant };
            let place = inner.queue.push(want.rank(tier), waiter);
            (QueueGuard { shard: self.clone(), place }, ahead, measures)
        };
        self.pump();
        let wait = until.saturating_sub(began_at);
        let in_time = tokio::time::timeout(wait, &mut granted).await;
        drop(place);
        // It may have been granted at the last moment.
        let lease = in_time.ok().and_then(Result::ok).or_else(|| granted.try_recv().ok());
        let ended_at = now();
        // Who is left over at the end of a late wait was not served at all.
        let ahead = if lease.is_none() && tier == Tier::Late { 0 } else { ahead };
        let waited = ended_at.saturating_sub(began_at);
        let mut inner = self.lock();
        if measures && !inner.awaits_primary(ended_at, &want.need) {
            inner.pace.observe(ended_at, want.line(tier), ahead, waited);
        }
        drop(inner);
        lease
    }

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
    /// Decides whether a request waits, and in which line, or is refused.
    /// `max_wait` is how long it can wait and still meet its objective.
    fn admit(
        &self,
        now: Moment,
        want: &ConnectionRequest<'_>,
        max_wait: Duration,
    ) -> Result<Tier, Failure> {
        if want.need == Need::Leader && self.group.is_cut_off(now) {
            return Err(Failure::new(ErrorKind::CutOff));
        }
        if self.awaits_primary(now, &want.need) {
            return Ok(Tier::InTime);
        }
        let servers = self.servers_for(now, &want.need);
        let ahead = self.competitors(now, want, &servers, Tier::InTime);
        let late_waiting = self.competitors(now, want, &servers, Tier::Late);
        let measured = |tier, ahead| self.pace.expected_wait(now, want.line(tier), ahead);
        let in_time = measured(Tier::InTime, ahead);
        let prospect = WaitForecast {
            in_time: in_time.or_else(|| self.computed_wait(&servers, ahead)),
            late: measured(Tier::Late, late_waiting),
            late_waiting,
            max_wait,
            time_left: late_until(want).saturating_sub(now),
        };
        match prospect.decide() {
            QueueDecision::Wait(tier) => Ok(tier),
            QueueDecision::Refuse(after) => {
                Err(Failure::new(ErrorKind::Overloaded).with_retry_after(after))
            }
        }
    }

    /// Whether a request waits for a primary that does not answer. How long
    /// that takes is no matter of the queue: it is neither measured nor
    /// expected, or requests would be refused that the next primary serves.
    fn awaits_primary(&self, now: Moment, need: &Need) -> bool {
        *need == Need::Leader && !self.group.leader_answers(now)
    }

    /// Requests that go before this one in a tier, and want one of its servers.
    fn competitors(
        &self,
        now: Moment,
        want: &ConnectionRequest<'_>,
        servers: &[TargetId],
        tier: Tier,
    ) -> usize {
        let competes = |(rank, waiter): &(Rank, &Waiter)| {
            rank.tier == tier && servers.iter().any(|id| waiter.need.accepts(&self.group, now, id))
        };
        self.queue.ahead_of(want.rank(tier)).filter(competes).count()
    }

    /// Servers whose connections would serve a request.
    fn servers_for(&self, now: Moment, need: &Need) -> Vec<TargetId> {
        let accepted =
            self.group.servers().filter(|view| need.accepts(&self.group, now, &view.info.id));
        accepted.map(|view| view.info.id.clone()).collect()
    }

    /// How long a request for these servers would wait by what runs now; `None`
    /// if nobody can serve it now, but somebody may soon.
    fn computed_wait(&self, servers: &[TargetId], ahead: usize) -> Option<Duration> {
        let capacity: f64 = servers.iter().map(|id| self.limit_of(id)).sum();
        let places = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        (capacity > 0.0).then(|| self.service_time.mul_f64(places / capacity))
    }
}
