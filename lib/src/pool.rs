//! Book-keeping of the scarce connections to one server.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// What to do for someone who needs a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// Use this idle connection.
    Reuse(u64),
    /// Open a new one. The opening is counted already.
    Open,
    /// All are in use, or openings are limited now: ask again after a return
    /// or after this time.
    Wait(Duration),
}

/// Counts connections to one server: open, idle and being opened.
#[derive(Clone, Debug)]
pub struct ServerPool {
    cap: usize,
    open: usize,
    opening: usize,
    idle: VecDeque<(u64, Instant)>,
    last_opening_at: Option<Instant>,
    opening_interval: Duration,
    next_id: u64,
}

/// Openings that may run at the same time. A new connection costs the server
/// 10 to 30 ms; a burst of them after a failover would stall it.
const MAX_OPENING: usize = 4;

/// How long one should wait before asking again when no better time is known.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Idle connections beyond the warm ones are closed after this time.
const IDLE_LIFETIME: Duration = Duration::from_secs(60);

impl ServerPool {
    /// A pool of at most `cap` connections.
    #[must_use]
    pub fn new(cap: usize, opening_interval: Duration) -> Self {
        Self {
            cap,
            open: 0,
            opening: 0,
            idle: VecDeque::new(),
            last_opening_at: None,
            opening_interval,
            next_id: 1,
        }
    }

    /// Changes the cap, for a new configuration.
    pub fn set_cap(&mut self, cap: usize) {
        self.cap = cap;
    }

    /// Decides how to get a connection.
    pub fn checkout(&mut self, now: Instant) -> Checkout {
        // The most recently used first: it is the least likely to have gone
        // silent, and the others age out.
        if let Some((id, _)) = self.idle.pop_back() {
            return Checkout::Reuse(id);
        }
        if self.open + self.opening >= self.cap || self.opening >= MAX_OPENING {
            return Checkout::Wait(RETRY_INTERVAL);
        }
        if let Some(last) = self.last_opening_at {
            let since = now.saturating_duration_since(last);
            if since < self.opening_interval {
                return Checkout::Wait(self.opening_interval.saturating_sub(since));
            }
        }
        self.opening += 1;
        self.last_opening_at = Some(now);
        Checkout::Open
    }

    /// An opening succeeded; the connection is in use from now on.
    pub fn opened(&mut self) -> u64 {
        self.opening = self.opening.saturating_sub(1);
        self.open += 1;
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// An opening failed.
    pub fn open_failed(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// A connection came back whole and can be used again.
    pub fn give_back(&mut self, id: u64, now: Instant) {
        self.idle.push_back((id, now));
    }

    /// A connection was closed.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Takes the idle connections that should be closed, keeping `warm`.
    pub fn expire(&mut self, now: Instant, warm: usize) -> Vec<u64> {
        let mut expired = Vec::new();
        while self.idle.len() > warm {
            let Some((id, since)) = self.idle.front().copied() else {
                break;
            };
            if now.saturating_duration_since(since) < IDLE_LIFETIME {
                break;
            }
            self.idle.pop_front();
            expired.push(id);
        }
        expired
    }

    /// Takes all idle connections, to close them.
    pub fn drain_idle(&mut self) -> Vec<u64> {
        self.idle.drain(..).map(|(id, _)| id).collect()
    }

    /// Whether a warm connection is missing and may be opened now.
    pub fn wants_warm(&mut self, now: Instant, warm: usize) -> bool {
        if self.idle.len() + self.opening >= warm || self.open + self.opening >= self.cap {
            return false;
        }
        let interval_passed = self
            .last_opening_at
            .is_none_or(|last| now.saturating_duration_since(last) >= self.opening_interval);
        if !interval_passed || self.opening >= MAX_OPENING {
            return false;
        }
        self.opening += 1;
        self.last_opening_at = Some(now);
        true
    }

    /// Connections open now, in use or idle.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Connections open and not in use.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }
}
