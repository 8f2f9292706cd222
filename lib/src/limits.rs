//! Limits of one client account at one instance.

use std::time::Duration;
use std::time::Instant;

/// A token bucket for requests and a count of connections.
#[derive(Clone, Debug)]
pub struct AccountLimits {
    connections: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl AccountLimits {
    /// A new account with a full bucket.
    #[must_use]
    pub fn new(now: Instant, requests_per_s: u32) -> Self {
        Self { connections: 0, tokens: f64::from(requests_per_s), refilled_at: now }
    }

    /// Counts a new connection, or refuses it.
    pub fn try_connect(&mut self, max_connections: u32) -> bool {
        if self.connections >= max_connections {
            return false;
        }
        self.connections += 1;
        true
    }

    /// A connection ended.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Takes one request from the bucket.
    ///
    /// # Errors
    ///
    /// Returns how long to wait until the bucket holds a request again.
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
