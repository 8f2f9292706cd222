//! A budget for retries, so that a failing target is not flooded by them.

/// Retries are allowed up to a share of the first attempts.
///
/// Without a limit each layer that retries multiplies the load just when the
/// target is weakest; one would notice a queue that stays full after the
/// fault is gone.
#[derive(Clone, Debug)]
#[allow(clippy::struct_field_names, reason = "the suffix is the unit")]
pub struct RetryBudget {
    tokens_milli: u64,
    ceiling_milli: u64,
    earned_per_request_milli: u64,
}

const ONE_RETRY_MILLI: u64 = 1000;

impl RetryBudget {
    /// A budget that allows `share_percent` retries per hundred requests and
    /// saves up to `burst` of them.
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

    /// Takes the right to one retry, if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens_milli < ONE_RETRY_MILLI {
            return false;
        }
        self.tokens_milli -= ONE_RETRY_MILLI;
        true
    }
}
