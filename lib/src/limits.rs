//! Limits on the connections and the request rate of one client account at one instance.

use std::time::Duration;
use std::time::Instant;

/// Number of open connections and token bucket for requests of one client account. The
/// bucket holds at most the requests of one second.
#[derive(Clone, Debug)]
pub struct AccountLimits {
    connections: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl AccountLimits {
    /// Creates the state of an account without connections and with a full bucket.
    #[must_use]
    pub fn new(now: Instant, requests_per_s: u32) -> Self {
        Self { connections: 0, tokens: f64::from(requests_per_s), refilled_at: now }
    }

    /// Counts a new connection. Returns `false` if the account has `max_connections`
    /// already; the connection is not counted then.
    pub fn try_connect(&mut self, max_connections: u32) -> bool {
        if self.connections >= max_connections {
            return false;
        }
        self.connections += 1;
        true
    }

    /// Records that a counted connection has ended.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Takes a token for one request.
    ///
    /// # Errors
    ///
    /// If no token is left, returns the time until the next one is available.
    pub fn try_request(&mut self, now: Instant, requests_per_s: u32) -> Result<(), Duration> {
        let rate = f64::from(requests_per_s.max(1));
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / rate))
    }
}
