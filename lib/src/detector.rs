//! Failure detector for a peer or server: distinguishes an unresponsive one from a slow
//! one by counting missed probes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Tracks the probes sent to one other process.
///
/// Probes are sent at a fixed interval whether or not earlier ones were answered, and
/// each has its own timeout. A single missed probe can be a lost message; several
/// missed in a row indicate a failure.
#[derive(Clone, Debug)]
pub struct Detector {
    timeout: Duration,
    outstanding: VecDeque<(u64, Instant)>,
    next_sequence: u64,
    misses: u32,
    last_sent_at: Option<Instant>,
}

impl Detector {
    /// Creates a detector that counts a probe as missed after `timeout`.
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

    /// Records that a probe is sent now and returns its sequence number.
    pub fn sent(&mut self, now: Instant) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.last_sent_at = Some(now);
        self.outstanding.push_back((sequence, now));
        sequence
    }

    /// Records the answer to a probe. Returns when the probe was sent, or `None` if it
    /// was already counted as missed or its outcome is already known.
    pub fn succeeded(&mut self, sequence: u64) -> Option<Instant> {
        let index = self.outstanding.iter().position(|(s, _)| *s == sequence)?;
        let (_, sent_at) = self.outstanding[index];
        // Earlier probes may still be unanswered, since messages are delivered in order
        // only within one connection. The newer answer makes theirs unnecessary.
        self.outstanding.drain(..=index);
        self.misses = 0;
        Some(sent_at)
    }

    /// Records the answer to a message other than a probe that was sent at `sent_at`. It
    /// counts like an answered probe.
    pub fn answered_by_other_traffic(&mut self, sent_at: Instant) {
        self.outstanding.retain(|(_, probe_sent_at)| *probe_sent_at > sent_at);
        self.misses = 0;
        self.last_sent_at = self.last_sent_at.max(Some(sent_at));
    }

    /// Counts a probe as missed before its timeout, for example because the connection
    /// was refused.
    pub fn failed(&mut self, sequence: u64) {
        let before = self.outstanding.len();
        self.outstanding.retain(|(s, _)| *s != sequence);
        if self.outstanding.len() < before {
            self.misses += 1;
        }
    }

    /// Counts the probes that have timed out as missed.
    pub fn tick(&mut self, now: Instant) {
        while let Some((_, sent_at)) = self.outstanding.front() {
            if now.saturating_duration_since(*sent_at) < self.timeout {
                break;
            }
            self.outstanding.pop_front();
            self.misses += 1;
        }
    }

    /// Discards unanswered probes and resets the number of missed ones.
    ///
    /// Called after this process itself was paused. All probes it had sent appear
    /// unanswered then, and without this call it would replace a primary that has
    /// answered them.
    pub fn clear_misses(&mut self) {
        self.outstanding.clear();
        self.misses = 0;
    }

    /// Whether no probe is unanswered and none was missed.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.outstanding.is_empty() && self.misses == 0
    }

    /// Number of probes missed in a row.
    #[must_use]
    pub fn misses(&self) -> u32 {
        self.misses
    }
}
