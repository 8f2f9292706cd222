//! Retry budget: limits retries to a fraction of the requests, so that they do not
//! overload a failing target.

/// Token bucket that each first attempt fills by a fraction of a retry.
///
/// Without a limit, each layer that retries multiplies the load while the target is
/// failing, and queues can stay full after the fault has ended. Tokens are counted in
/// thousandths of a retry.
#[derive(Clone, Debug)]
#[allow(clippy::struct_field_names, reason = "the suffix is the unit")]
pub struct RetryBudget {
    tokens_milli: u64,
    ceiling_milli: u64,
    earned_per_request_milli: u64,
}

const ONE_RETRY_MILLI: u64 = 1000;

impl RetryBudget {
    /// Creates a full budget that allows `share_percent` retries per hundred requests
    /// and holds at most `burst` retries.
    #[must_use]
    pub fn new(share_percent: u64, burst: u64) -> Self {
        let ceiling_milli = burst * ONE_RETRY_MILLI;
        Self {
            tokens_milli: ceiling_milli,
            ceiling_milli,
            earned_per_request_milli: share_percent * 10,
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        let earned = self.tokens_milli + self.earned_per_request_milli;
        self.tokens_milli = earned.min(self.ceiling_milli);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens_milli < ONE_RETRY_MILLI {
            return false;
        }
        self.tokens_milli -= ONE_RETRY_MILLI;
        true
    }
}
