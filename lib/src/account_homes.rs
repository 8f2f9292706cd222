//! Decision whether an account has a single home or one in each failure domain.
//!
//! The home of an account is the holder of a group to which its statements are sent (see
//! [`crate::holder_choice`]). With a single home, most statements of an account cross into
//! another failure domain. With a home in each domain, they don't, but the account needs
//! connections at each of them. That is worthwhile for a *large* account, whose connections
//! in the domain are in steady use.
//!
//! Only reads that replicas can serve use the additional homes. The connections to the primary
//! are the scarcest: writes can use no others, and where accounts outnumber them, each further
//! home of an account evicts the connection of another account that is needed again soon.
//!
//! Each instance decides on its own. If two instances decide differently, the account needs a
//! few more connections, and no rule is violated.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::account::Accounts;
use crate::catalog::Catalog;
use crate::connection_budget::budget;
use crate::id::AccountId;
use crate::id::GroupId;
use crate::moment::Moment;

/// Number of connections to a server in one failure domain that an account has to be
/// entitled to, by its fraction of all demand, before it gets a home in that domain.
///
/// In a replay of 76 accounts whose sizes fall as rank^-0.8, this is the lowest threshold at
/// which no more connections are opened than with single homes: 5 % more are opened with 1.0
/// (`docs/design/near-homes.md`).
pub const SPREAD_AT: f64 = 1.75;

/// An account with homes in several domains has a single home again when it is entitled to
/// fewer connections than this. Half of [`SPREAD_AT`], so that demand which varies around
/// that threshold doesn't move homes back and forth: each move opens connections.
pub const JOIN_AT: f64 = SPREAD_AT / 2.0;

/// Time constant of the exponential decay of the observed demand.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Statements that have to be observed within about [`DECAY_TIME`] before accounts are compared
/// by what is observed.
const MIN_OBSERVED: f64 = 100.0;

/// Standard deviations by which the observed count of an account has to exceed the threshold
/// before the account becomes large. An entry observes some 150 statements within
/// [`DECAY_TIME`]; without the margin, chance alone makes an account large at some entry, which
/// opened 9 % more connections in a replay.
const NOISE_MARGIN: f64 = 2.0;

/// Highest number of accounts whose demand is recorded. Accounts beyond it count only
/// towards the total and are small.
const MAX_ACCOUNTS: usize = 1_024;

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    count: f64,
    observed_at: Moment,
}

impl DecayingCount {
    fn at(self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.observed_at);
        self.count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    fn add_one(&mut self, now: Moment) {
        *self = Self { count: self.at(now) + 1.0, observed_at: now };
    }
}

/// The accounts' fractions of all demand, and which accounts are large.
#[derive(Clone, Debug, Default)]
pub struct AccountHomes {
    /// Version of the configuration that `limited` was computed from.
    version: u64,
    /// Fraction of all limits that each account has; `None` unless all accounts have limits.
    limited: Option<HashMap<AccountId, f64>>,
    observed: HashMap<AccountId, DecayingCount>,
    observed_total: DecayingCount,
    large: HashSet<(GroupId, AccountId)>,
}

impl AccountHomes {
    /// Adopts the limits of a configuration.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        if catalog.version == self.version {
            return;
        }
        self.version = catalog.version;
        self.limited = catalog.accounts.as_ref().and_then(fractions_of_limits);
        let exists = |account: &AccountId| {
            catalog.accounts.as_ref().is_some_and(|accounts| accounts.contains(account))
        };
        self.observed.retain(|account, _| exists(account));
        self.large.retain(|(group, account)| catalog.groups.contains_key(group) && exists(account));
    }

    /// At most `limit` of the large accounts, with the group of each, in order of their names.
    #[must_use]
    pub fn large(&self, limit: usize) -> Vec<(GroupId, AccountId)> {
        let mut large: Vec<_> = self.large.iter().cloned().collect();
        large.sort();
        large.truncate(limit);
        large
    }

    /// Records that this instance received a statement of an account.
    pub fn observe(&mut self, now: Moment, account: &AccountId) {
        self.observed_total.add_one(now);
        if self.observed.len() >= MAX_ACCOUNTS && !self.observed.contains_key(account) {
            self.observed.retain(|_, count| count.at(now) >= 1.0);
            if self.observed.len() >= MAX_ACCOUNTS {
                return;
            }
        }
        self.observed.entry(account.clone()).or_default().add_one(now);
    }

    /// Fraction of all demand that an account has at least, less what chance may add to an
    /// observed count unless the account `is_known_large`; `None` if too little is known.
    fn fraction(&self, now: Moment, account: &AccountId, is_known_large: bool) -> Option<f64> {
        if let Some(limited) = &self.limited {
            return Some(limited.get(account).copied().unwrap_or(0.0));
        }
        let total = self.observed_total.at(now);
        let own = self.observed.get(account).map_or(0.0, |count| count.at(now));
        let margin = if is_known_large { 0.0 } else { NOISE_MARGIN * own.sqrt() };
        (total >= MIN_OBSERVED).then(|| (own - margin) / total)
    }

    /// Decides whether an account is large in a group, and gets a home in the failure domain
    /// of this instance, whose holders have `domain_connections` connections to each server of
    /// the group. An account stays what it was between the two thresholds, and while too
    /// little is known.
    pub fn is_large(
        &mut self,
        now: Moment,
        group: &GroupId,
        account: &AccountId,
        domain_connections: usize,
    ) -> bool {
        let key = (group.clone(), account.clone());
        let was_large = self.large.contains(&key);
        let Some(fraction) = self.fraction(now, account, was_large) else {
            return was_large;
        };
        let connections = f64::from(u32::try_from(domain_connections).unwrap_or(u32::MAX));
        let threshold = if was_large { JOIN_AT } else { SPREAD_AT };
        let is_large = fraction * connections >= threshold;
        if is_large && !was_large {
            self.large.insert(key);
        } else if was_large && !is_large {
            self.large.remove(&key);
        }
        is_large
    }
}

/// Fraction of the sum of all limits that each account has; `None` unless all accounts have
/// limits.
fn fractions_of_limits(accounts: &Accounts) -> Option<HashMap<AccountId, f64>> {
    let rate = |account: &AccountId| accounts.limit(account).map(|limit| limit.rate_per_s);
    let rates: Option<HashMap<_, _>> =
        accounts.iter().map(|(id, _)| Some((id.clone(), rate(id)?))).collect();
    let mut fractions = rates?;
    let total: f64 = fractions.values().sum();
    if total <= 0.0 {
        return None;
    }
    for rate in fractions.values_mut() {
        *rate /= total;
    }
    Some(fractions)
}

/// Number of connections to one server that the holders of one failure domain may open
/// together: `near` of the `holders` holders of a group, with equal demand. Instances other
/// than holders don't know the demand of each holder.
#[must_use]
pub fn domain_connections(max_connections: usize, holders: usize, near: usize) -> usize {
    let others = vec![1.0; holders.saturating_sub(1)];
    near.saturating_mul(budget(max_connections, 1.0, &others))
}
