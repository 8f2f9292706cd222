//! Rates at which accounts request connections. They decide whose idle connection is
//! closed when another account needs one.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::AccountId;
use crate::moment::Moment;

/// Time constant of the exponential decay of a rate.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Highest number of accounts with a rate. The account with the lowest rate is evicted
/// first.
const MAX_ACCOUNTS: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    observed_at: Moment,
}

impl Rate {
    fn at(self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.observed_at);
        self.per_s * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Rate at which each account requests connections to a group, exponentially smoothed.
#[derive(Clone, Debug, Default)]
pub struct AccountRates {
    rates: HashMap<AccountId, Rate>,
}

impl AccountRates {
    /// Records that an account requests a connection.
    pub fn observe(&mut self, now: Moment, account: &AccountId) {
        if self.rates.len() >= MAX_ACCOUNTS && !self.rates.contains_key(account) {
            self.evict_least(now);
        }
        let rate = self.rates.entry(account.clone()).or_default();
        rate.per_s = rate.at(now) + 1.0 / DECAY_TIME.as_secs_f64();
        rate.observed_at = now;
    }

    /// Rate at which an account requests connections, per second.
    #[must_use]
    pub fn of(&self, now: Moment, account: &AccountId) -> f64 {
        self.rates.get(account).map_or(0.0, |rate| rate.at(now))
    }

    fn evict_least(&mut self, now: Moment) {
        let least = self.rates.iter().min_by(|(_, a), (_, b)| a.at(now).total_cmp(&b.at(now)));
        if let Some(least) = least.map(|(account, _)| account.clone()) {
            self.rates.remove(&least);
        }
    }
}
