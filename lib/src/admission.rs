//! The bounded queue before a server's slots.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// Priority of a service: lower is served first.
pub type Priority = u8;

/// Names a request that waits.
pub type Ticket = u64;

/// What happens to a request that wants a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot now.
    Granted,
    /// It waits; its turn is announced by its ticket.
    Queued(Ticket),
    /// It could not make its deadline, or the queue is full.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Order in which waiting requests get a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Priority,
    deadline: Instant,
    ticket: Ticket,
}

/// Slots of one server and the requests that wait for one.
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

/// Weight of the newest sample in the mean service time, as one over this.
const SERVICE_TIME_SMOOTHING: u32 = 16;

/// Requests that may wait for each slot before new ones are refused.
const WAITING_PER_SLOT: usize = 64;

/// Assumed until the first statement has been timed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(1);

impl SlotQueue {
    /// A queue before `slots` slots.
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

    /// Asks for a slot.
    ///
    /// A request that cannot be started in time is refused now, not when its
    /// deadline has passed: the caller can use the time elsewhere, and the
    /// queue keeps room for those that can still make it.
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

    /// Takes a slot whether or not one is free.
    ///
    /// For a statement of an open transaction: those in the slots may wait
    /// for its locks, and if it had to wait for a slot in turn, all of them
    /// would stand still until their deadlines.
    pub fn acquire_unconditionally(&mut self) {
        self.in_use += 1;
    }

    fn has_lower_priority(&self, priority: Priority) -> bool {
        self.waiting.last().is_some_and(|key| key.priority > priority)
    }

    /// Tickets pushed out because the queue is over its capacity, the least
    /// important first.
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

    /// Gives a slot back after `took` and returns those who have one now.
    pub fn release(&mut self, now: Instant, took: Duration) -> Vec<Ticket> {
        self.in_use = self.in_use.saturating_sub(1);
        let kept = self.service_time * (SERVICE_TIME_SMOOTHING - 1);
        self.service_time = (kept + took) / SERVICE_TIME_SMOOTHING;
        self.grant_waiting(now)
    }

    /// Hands free slots to waiting requests whose deadline has not passed.
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

    /// Takes the waiting requests that cannot make their deadline any more.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        let retry_after = self.backlog_time();
        let service_time = self.service_time;
        let mut expired = Vec::new();
        self.waiting.retain(|key| {
            let hopeless = key.deadline <= now + service_time;
            if hopeless {
                expired.push((key.ticket, retry_after));
            }
            !hopeless
        });
        expired
    }

    /// A waiting request gave up by itself. Returns whether it was waiting.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|key| key.ticket != ticket);
        before != self.waiting.len()
    }

    /// Starts slowly, with one slot, after a failover: caches of the new
    /// primary are cold and all callers come back at once.
    pub fn start_slowly(&mut self) {
        self.allowed = 1.min(self.slots);
    }

    /// One more slot, until all are allowed.
    pub fn allow_more(&mut self, now: Instant) -> Vec<Ticket> {
        if self.allowed < self.slots {
            self.allowed += 1;
        }
        self.grant_waiting(now)
    }

    /// Requests with a slot or waiting for one.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_use + self.waiting.len()
    }

    /// Requests waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Slots of the server.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Slots in use.
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
        let waves = requests.div_ceil(self.allowed.max(1));
        self.service_time * u32::try_from(waves).unwrap_or(u32::MAX)
    }
}
