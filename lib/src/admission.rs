//! Admission control for one server: a fixed number of slots, each for one running
//! statement, and a bounded queue of the requests that wait for a slot.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

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

/// Sort key of a waiting request. The smallest key gets the next slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Priority,
    deadline: Instant,
    ticket: Ticket,
}

/// Slots of one server and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    slots: usize,
    allowed: usize,
    in_use: usize,
    waiting: BTreeSet<QueueKey>,
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
            waiting: BTreeSet::new(),
            capacity: slots * WAITING_PER_SLOT,
            service_time: INITIAL_SERVICE_TIME,
            next_ticket: 1,
        }
    }

    /// Requests a slot for a statement that has to end before `deadline`.
    ///
    /// A request that is not expected to start in time is refused at once instead of
    /// when its deadline has passed. Its caller can then use the remaining time at
    /// another server, and the queue keeps room for requests that can meet their
    /// deadline.
    pub fn request(&mut self, now: Instant, priority: Priority, deadline: Instant) -> Admission {
        if self.in_use < self.allowed && self.waiting.is_empty() {
            self.in_use += 1;
            return Admission::Granted;
        }
        let expected = self.expected_wait(priority, deadline);
        if now + expected >= deadline {
            return Admission::Refused { retry_after: self.backlog_time() };
        }
        if self.waiting.len() >= self.capacity && !self.has_lower_priority(priority) {
            return Admission::Refused { retry_after: self.backlog_time() };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.insert(QueueKey { priority, deadline, ticket });
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

    fn has_lower_priority(&self, priority: Priority) -> bool {
        self.waiting.last().is_some_and(|key| key.priority > priority)
    }

    /// Removes requests from the end of the queue until it is within its capacity.
    /// Returns each ticket with the time after which its request can be sent again, the
    /// lowest priority first.
    pub fn displaced(&mut self) -> Vec<(Ticket, Duration)> {
        let mut displaced = Vec::new();
        while self.waiting.len() > self.capacity {
            let retry_after = self.backlog_time();
            if let Some(key) = self.waiting.pop_last() {
                displaced.push((key.ticket, retry_after));
            }
        }
        displaced
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
        while self.in_use < self.allowed {
            let next = self.waiting.iter().find(|key| key.deadline > now).copied();
            let Some(key) = next else {
                break;
            };
            self.waiting.remove(&key);
            self.in_use += 1;
            granted.push(key.ticket);
        }
        granted
    }

    /// Removes the waiting requests that can no longer finish before their deadline.
    /// Returns each ticket with the time after which its request can be sent again.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        let retry_after = self.backlog_time();
        let service_time = self.service_time;
        let mut expired = Vec::new();
        self.waiting.retain(|key| {
            let cannot_finish = key.deadline <= now + service_time;
            if cannot_finish {
                expired.push((key.ticket, retry_after));
            }
            !cannot_finish
        });
        expired
    }

    /// Removes a request whose caller no longer waits. Returns whether it was in the
    /// queue.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|key| key.ticket != ticket);
        before != self.waiting.len()
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

    fn expected_wait(&self, priority: Priority, deadline: Instant) -> Duration {
        let key = QueueKey { priority, deadline, ticket: Ticket::MAX };
        let ahead = self.waiting.range(..key).count() + 1;
        self.time_for(ahead)
    }

    fn backlog_time(&self) -> Duration {
        self.time_for(self.waiting.len() + 1)
    }

    fn time_for(&self, requests: usize) -> Duration {
        let rounds = requests.div_ceil(self.allowed.max(1));
        self.service_time * u32::try_from(rounds).unwrap_or(u32::MAX)
    }
}
