//! Admission control for one server: a fixed number of slots, each for one running
//! statement, and a bounded queue of the requests that wait for a slot.
//!
//! Slots are granted by priority. Within a priority the order is by deadline and arrival, and
//! among accounts with weights fair by these ([`crate::fair_order`]). A part of the slots can
//! be reserved for the most urgent priority.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::fair_order::FairOrder;
use crate::fair_order::Flow;
use crate::fair_order::FlowId;
use crate::fair_order::Position;

/// Priority of a service. A lower number is served first.
pub type Priority = u8;

/// Number that identifies a waiting request within its queue.
pub type Ticket = u64;

/// Result of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot.
    Granted,
    /// The request is in the queue. A later call returns this ticket when the request
    /// gets a slot or leaves the queue without one.
    Queued(Ticket),
    /// The request cannot finish before its deadline, or the queue is full.
    Refused {
        /// Time after which the request can be sent again.
        retry_after: Duration,
    },
}

/// Sort key of a waiting request. Without weights, the smallest key gets the next slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Priority,
    deadline: Instant,
    ticket: Ticket,
}

/// Slots that only the most urgent requests may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotReserve {
    /// Number of slots: a free slot is granted to other requests only if more are free.
    pub slots: usize,
    /// Requests with this or a lower number as priority may use them.
    pub most_urgent: Priority,
}

/// Slots of one server and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    slots: usize,
    allowed: usize,
    in_use: usize,
    reserve: SlotReserve,
    /// Waiting requests, with the flow of each in its fair order.
    waiting: BTreeMap<QueueKey, FlowId>,
    /// Order among the waiting requests of each priority.
    orders: BTreeMap<Priority, FairOrder<()>>,
    /// When the first request arrived, from which positions in the fair order are counted.
    first_request_at: Option<Instant>,
    capacity: usize,
    service_time: Duration,
    next_ticket: Ticket,
}

/// The newest sample has a weight of one over this in the mean service time.
const SERVICE_TIME_SMOOTHING: u32 = 16;

/// Requests that may wait per slot before new ones are refused.
const WAITING_PER_SLOT: usize = 64;

/// Mean service time that is assumed before the first statement has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(1);

impl SlotQueue {
    /// Creates an empty queue for a server with `slots` slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            allowed: slots,
            in_use: 0,
            reserve: SlotReserve::default(),
            waiting: BTreeMap::new(),
            orders: BTreeMap::new(),
            first_request_at: None,
            capacity: slots * WAITING_PER_SLOT,
            service_time: INITIAL_SERVICE_TIME,
            next_ticket: 1,
        }
    }

    /// Sets which slots only the most urgent requests may use. At least one slot remains for
    /// the others.
    pub fn set_reserve(&mut self, reserve: SlotReserve) {
        let slots = reserve.slots.min(self.slots.saturating_sub(1));
        self.reserve = SlotReserve { slots, ..reserve };
    }

    /// Requests a slot for a statement of no particular account that has to end before
    /// `deadline`. See [`Self::request_for`].
    pub fn request(&mut self, now: Instant, priority: Priority, deadline: Instant) -> Admission {
        self.request_for(now, &Flow::default(), priority, deadline)
    }

    /// Requests a slot for a statement of `flow` that has to end before `deadline`.
    ///
    /// A request that is not expected to start in time is refused at once instead of
    /// when its deadline has passed. Its caller can then use the remaining time at
    /// another server, and the queue keeps room for requests that can meet their
    /// deadline.
    pub fn request_for(
        &mut self,
        now: Instant,
        flow: &Flow,
        priority: Priority,
        deadline: Instant,
    ) -> Admission {
        if self.in_use < self.slots_for(priority) && !self.has_competitors(priority) {
            self.in_use += 1;
            return Admission::Granted;
        }
        let first_request_at = *self.first_request_at.get_or_insert(now);
        let position_deadline = deadline.saturating_duration_since(first_request_at);
        let ahead = self.ahead_of(flow, priority, position_deadline);
        if now + self.time_for(ahead + 1, priority) >= deadline {
            return Admission::Refused { retry_after: self.backlog_time(priority) };
        }
        // In a fair order, an account with a long backlog would otherwise take all places, and
        // requests of the others that are served before it would be refused.
        let displaces = self.has_lower_priority(priority)
            || (flow.account().is_some() && ahead < self.waiting.len());
        if self.waiting.len() >= self.capacity && !displaces {
            return Admission::Refused { retry_after: self.backlog_time(priority) };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let position = Position { deadline: position_deadline, ticket };
        let order = self.orders.entry(priority).or_default();
        let flow = order.push(flow, position, ());
        self.waiting.insert(QueueKey { priority, deadline, ticket }, flow);
        Admission::Queued(ticket)
    }

    /// Takes a slot even if none is free, so that more slots than the server has can be
    /// in use.
    ///
    /// Statements of open transactions need this. The statements in the slots may wait
    /// for locks of such a transaction; if its next statement had to wait for a slot in
    /// turn, all of them would be blocked until their deadlines.
    pub fn acquire_unconditionally(&mut self) {
        self.in_use += 1;
    }

    /// Slots that requests of a priority may use.
    fn slots_for(&self, priority: Priority) -> usize {
        if priority <= self.reserve.most_urgent {
            return self.allowed;
        }
        self.allowed.saturating_sub(self.reserve.slots)
    }

    /// Whether requests wait that may get a free slot before a new one of this priority. Those
    /// that may not use the reserve do not keep the most urgent ones from it.
    fn has_competitors(&self, priority: Priority) -> bool {
        if self.reserve.slots == 0 || priority > self.reserve.most_urgent {
            return !self.waiting.is_empty();
        }
        self.orders.range(..=self.reserve.most_urgent).next().is_some()
    }

    fn has_lower_priority(&self, priority: Priority) -> bool {
        self.orders.last_key_value().is_some_and(|(lowest, _)| *lowest > priority)
    }

    /// Removes a waiting request. One that is `served` is charged to its flow.
    fn take(&mut self, key: QueueKey, served: bool) {
        let Some(flow) = self.waiting.remove(&key) else {
            return;
        };
        let position = self.position_of(key);
        let Some(order) = self.orders.get_mut(&key.priority) else {
            return;
        };
        if served {
            order.grant(flow, position);
        } else {
            order.remove(flow, position);
        }
        if order.len() == 0 {
            self.orders.remove(&key.priority);
        }
    }

    fn position_of(&self, key: QueueKey) -> Position {
        let first_request_at = self.first_request_at.unwrap_or(key.deadline);
        let deadline = key.deadline.saturating_duration_since(first_request_at);
        Position { deadline, ticket: key.ticket }
    }

    fn key_of(&self, priority: Priority, position: Position) -> Option<QueueKey> {
        let deadline = self.first_request_at? + position.deadline;
        Some(QueueKey { priority, deadline, ticket: position.ticket })
    }

    /// Removes requests from the end of the queue until it is within its capacity.
    /// Returns each ticket with the time after which its request can be sent again, the
    /// lowest priority first.
    pub fn displaced(&mut self) -> Vec<(Ticket, Duration)> {
        let mut displaced = Vec::new();
        while self.waiting.len() > self.capacity {
            let Some(key) = self.last_in_order() else {
                break;
            };
            displaced.push((key.ticket, self.backlog_time(key.priority)));
            self.take(key, false);
        }
        displaced
    }

    fn last_in_order(&self) -> Option<QueueKey> {
        let (priority, order) = self.orders.last_key_value()?;
        let last = order.in_order(None).last()?;
        self.key_of(*priority, last.position)
    }

    /// Releases a slot whose statement took `took`. Returns the tickets of the waiting
    /// requests that hold a slot now.
    pub fn release(&mut self, now: Instant, took: Duration) -> Vec<Ticket> {
        self.in_use = self.in_use.saturating_sub(1);
        let kept = self.service_time * (SERVICE_TIME_SMOOTHING - 1);
        self.service_time = (kept + took) / SERVICE_TIME_SMOOTHING;
        self.grant_waiting(now)
    }

    /// Grants free slots to waiting requests whose deadline has not passed. Returns
    /// their tickets.
    pub fn grant_waiting(&mut self, now: Instant) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while let Some(key) = self.next_in_order(now) {
            self.take(key, true);
            self.in_use += 1;
            granted.push(key.ticket);
        }
        granted
    }

    /// The waiting request that gets a slot next, if one is free for it.
    fn next_in_order(&self, now: Instant) -> Option<QueueKey> {
        let with_free_slot =
            self.orders.iter().filter(|(priority, _)| self.in_use < self.slots_for(**priority));
        let mut keys = with_free_slot.flat_map(|(priority, order)| {
            let served = order.in_order(None);
            served.filter_map(|served| self.key_of(*priority, served.position))
        });
        keys.find(|key| key.deadline > now)
    }

    /// Removes the waiting requests that can no longer finish before their deadline.
    /// Returns each ticket with the time after which its request can be sent again.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        let latest = now + self.service_time;
        let expired: Vec<_> =
            self.waiting.keys().filter(|key| key.deadline <= latest).copied().collect();
        // The time is that of the queue before any of them leaves it.
        let with_time = expired.iter().map(|key| (key.ticket, self.backlog_time(key.priority)));
        let with_time = with_time.collect();
        for key in expired {
            self.take(key, false);
        }
        with_time
    }

    /// Removes a request whose caller no longer waits. Returns whether it was in the
    /// queue.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let Some(key) = self.waiting.keys().find(|key| key.ticket == ticket).copied() else {
            return false;
        };
        self.take(key, false);
        true
    }

    /// Restricts the server to one slot. Called after a failover, when the caches of
    /// the new primary are cold and all clients reconnect at once. Each call of
    /// [`Self::allow_more`] adds a slot.
    pub fn begin_slow_start(&mut self) {
        self.allowed = 1.min(self.slots);
    }

    /// Allows one more slot, up to the slots of the server. Returns the tickets of the
    /// waiting requests that hold a slot now.
    pub fn allow_more(&mut self, now: Instant) -> Vec<Ticket> {
        if self.allowed < self.slots {
            self.allowed += 1;
        }
        self.grant_waiting(now)
    }

    /// Number of requests that hold a slot or wait for one.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_use + self.waiting.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of slots of the server.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Number of slots in use. Statements of open transactions can bring it above the
    /// slots of the server.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Number of waiting requests that are served before a new one. `deadline` counts from the
    /// first request.
    fn ahead_of(&self, flow: &Flow, priority: Priority, deadline: Duration) -> usize {
        let before = self.orders.range(..priority).map(|(_, order)| order.len()).sum::<usize>();
        let own = self.orders.get(&priority).map_or(0, |order| {
            let order = order.in_order(Some((flow, deadline)));
            order.take_while(|served| served.item.is_some()).count()
        });
        before + own
    }

    fn backlog_time(&self, priority: Priority) -> Duration {
        self.time_for(self.waiting.len() + 1, priority)
    }

    fn time_for(&self, requests: usize, priority: Priority) -> Duration {
        let rounds = requests.div_ceil(self.slots_for(priority).max(1));
        self.service_time * u32::try_from(rounds).unwrap_or(u32::MAX)
    }
}
