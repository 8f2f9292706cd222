//! Accounting of the connections to one server: which are idle, and when one more may
//! be opened.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How a caller gets a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// The idle connection with this number is now in use by the caller.
    Reuse(u64),
    /// The caller opens a new connection, which is already counted as being opened.
    Open,
    /// All connections are in use, or no more may be opened now. The caller tries again
    /// when a connection is returned or after this time.
    Wait(Duration),
}

/// Counts the connections to one server that are open, idle or being opened.
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

/// Connections that may be opened at the same time. Each costs the server 10 to 30 ms;
/// a burst of them after a failover would stall it.
const MAX_OPENING: usize = 4;

/// Time until the next try when it is unknown when a connection gets free.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Idle connections above the number to keep warm are closed after this time.
const IDLE_LIFETIME: Duration = Duration::from_secs(60);

impl ServerPool {
    /// Creates an empty pool of at most `cap` connections, which are opened at least
    /// `opening_interval` apart.
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

    /// Changes the highest number of connections, for a new configuration.
    pub fn set_cap(&mut self, cap: usize) {
        self.cap = cap;
    }

    /// Decides how a caller gets a connection.
    pub fn checkout(&mut self, now: Instant) -> Checkout {
        // The most recently used connection is the least likely to have failed, and the
        // others reach the end of their idle time.
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

    /// Records that a connection has been opened. Returns its number; it is in use.
    pub fn opened(&mut self) -> u64 {
        self.opening = self.opening.saturating_sub(1);
        self.open += 1;
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Records that a connection could not be opened.
    pub fn open_failed(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// Returns a connection that can be used again.
    pub fn give_back(&mut self, id: u64, now: Instant) {
        self.idle.push_back((id, now));
    }

    /// Records that an open connection was closed.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Removes and returns the connections that have been idle for too long, but keeps
    /// `warm` of them.
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

    /// Removes and returns all idle connections, which the caller closes.
    pub fn drain_idle(&mut self) -> Vec<u64> {
        self.idle.drain(..).map(|(id, _)| id).collect()
    }

    /// Whether fewer than `warm` connections are idle and one may be opened now. If so,
    /// it is counted as being opened.
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

    /// Number of open connections, in use or idle.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Number of open connections that are not in use.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }
}
