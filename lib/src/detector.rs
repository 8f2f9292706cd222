//! Tells a silent peer or server from one that is merely slow.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Follows the probes sent to one other process.
///
/// Probes are sent at a steady pace whether or not earlier ones were
/// answered, and each has its own timeout. One lost probe proves nothing;
/// several in a row do.
#[derive(Clone, Debug)]
pub struct Detector {
    timeout: Duration,
    outstanding: VecDeque<(u64, Instant)>,
    next_sequence: u64,
    misses: u32,
    last_sent_at: Option<Instant>,
}

impl Detector {
    /// A detector that counts a probe as missed after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            outstanding: VecDeque::new(),
            next_sequence: 1,
            misses: 0,
            last_sent_at: None,
        }
    }

    /// Whether the next probe is due.
    #[must_use]
    pub fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.last_sent_at.is_none_or(|last| now.saturating_duration_since(last) >= interval)
    }

    /// Records that a probe is sent now and returns its number.
    pub fn sent(&mut self, now: Instant) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.last_sent_at = Some(now);
        self.outstanding.push_back((sequence, now));
        sequence
    }

    /// A probe was answered. Returns when it had been sent, unless it was
    /// counted as missed already.
    pub fn succeeded(&mut self, sequence: u64) -> Option<Instant> {
        let index = self.outstanding.iter().position(|(s, _)| *s == sequence)?;
        let (_, sent_at) = self.outstanding[index];
        // Earlier probes can still be under way on a link that delivers in
        // order only per connection; the newer answer settles them too.
        self.outstanding.drain(..=index);
        self.misses = 0;
        Some(sent_at)
    }

    /// Other traffic sent at `sent_at` was answered, which proves as much as a
    /// probe would have.
    pub fn answered_by_other_traffic(&mut self, sent_at: Instant) {
        self.outstanding.retain(|(_, probe_sent_at)| *probe_sent_at > sent_at);
        self.misses = 0;
        self.last_sent_at = self.last_sent_at.max(Some(sent_at));
    }

    /// A probe failed for certain, for example because the connection was
    /// refused.
    pub fn failed(&mut self, sequence: u64) {
        let before = self.outstanding.len();
        self.outstanding.retain(|(s, _)| *s != sequence);
        if self.outstanding.len() < before {
            self.misses += 1;
        }
    }

    /// Counts the probes that have timed out.
    pub fn tick(&mut self, now: Instant) {
        while let Some((_, sent_at)) = self.outstanding.front() {
            if now.saturating_duration_since(*sent_at) < self.timeout {
                break;
            }
            self.outstanding.pop_front();
            self.misses += 1;
        }
    }

    /// Forgets what was missed.
    ///
    /// Called when this process itself was paused: every probe it had sent
    /// looks unanswered then, and without this it would replace a primary
    /// that had answered all along.
    pub fn clear_misses(&mut self) {
        self.outstanding.clear();
        self.misses = 0;
    }

    /// Whether nothing is on its way and nothing was missed.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.outstanding.is_empty() && self.misses == 0
    }

    /// Probes missed in a row.
    #[must_use]
    pub fn misses(&self) -> u32 {
        self.misses
    }
}
