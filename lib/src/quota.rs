//! Rate limits of accounts across all instances.
//!
//! One instance, the keeper of an account, counts its operations in a token bucket. The
//! instance that a client is connected to, the entry instance, requests operations from
//! the keeper before it starts them. [`crate::keeper_lease`] determines the keeper.
//! [`crate::quota_share`] lets other instances count a part of each limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::account::QuotaLimit;
use crate::id::AccountId;
use crate::moment::Moment;
use crate::quota_share::SHARE_FRACTION;

/// How far an account may exceed its limit.
///
/// In any window at most (rate x window + burst) x (1 + excess) + slack operations may
/// run. The platform expects operations within this bound to be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Allowed excess, as a fraction of the limit.
    pub excess: f64,
    /// Operations allowed in addition, in each window.
    pub slack: f64,
}

/// Fraction of the operations allowed in a window that a keeper grants. The rest is a
/// reserve for operations that start later than they were counted, and for those that
/// instances admit while they cannot reach a keeper.
const ENFORCED_FRACTION: f64 = 0.96;

/// Burst that a keeper grants: a fraction of the account's own burst, plus a number of
/// operations.
const BURST_FRACTION: f64 = 0.1;
const BURST_EXTRA: f64 = 6.0;

/// Burst that a new keeper grants at first: a fraction of the account's burst, plus a
/// number of operations.
///
/// A new keeper has no record of what its predecessor granted. A full burst at each
/// change of keeper would give an account its burst twice in one window, so the initial
/// burst is deducted from what a window may hold. It is not zero, because clients that
/// reconnect together after all instances were killed would be refused.
const INITIAL_BURST_FRACTION: f64 = 0.1;
const INITIAL_BURST_EXTRA: f64 = 3.0;

/// Initial burst that a new keeper grants to an account with this burst.
fn initial_burst_for(burst: f64) -> f64 {
    (burst * INITIAL_BURST_FRACTION + INITIAL_BURST_EXTRA).min(burst)
}

/// The limit of an account as its keeper enforces it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnforcedQuota {
    /// Rate and burst of the token bucket.
    pub limit: QuotaLimit,
    /// Operations that a new keeper grants at once.
    pub initial_burst: f64,
    /// Burst of each share of the limit.
    pub share_burst: f64,
    /// Operations that a share holder grants at once when it starts to count.
    pub initial_share_burst: f64,
    /// Part of the keeper's burst that it does not have for each share which is counted.
    pub burst_per_share: f64,
    /// Number of share holders that count operations of the account.
    pub shares: u32,
}

impl From<QuotaLimit> for EnforcedQuota {
    fn from(limit: QuotaLimit) -> Self {
        let initial_burst = initial_burst_for(limit.burst);
        Self {
            limit,
            initial_burst,
            share_burst: 0.0,
            initial_share_burst: 0.0,
            burst_per_share: 0.0,
            shares: 0,
        }
    }
}

impl EnforcedQuota {
    /// The limit without a tolerance, divided into `shares` shares and the keeper's part.
    /// The bursts of the shares that are counted are taken from the burst of the keeper, as
    /// far as that leaves it one operation.
    #[must_use]
    pub fn shared(limit: QuotaLimit, shares: u32) -> Self {
        if shares == 0 {
            return limit.into();
        }
        let share_burst = (limit.burst * SHARE_FRACTION).max(1.0);
        Self { share_burst, burst_per_share: share_burst, shares, ..limit.into() }
    }

    /// The part of the limit that the keeper counts, if it counts `fraction` of the rate.
    #[must_use]
    pub fn keeper_part(self, fraction: f64) -> Self {
        let QuotaLimit { rate_per_s, burst } = self.limit;
        let counted_shares = (1.0 - fraction) / SHARE_FRACTION;
        let burst = match self.shares {
            0 => burst,
            _ => (burst - self.burst_per_share * counted_shares).max(1.0),
        };
        Self { limit: QuotaLimit { rate_per_s: rate_per_s * fraction, burst }, ..self }
    }

    /// The part of the limit that a share has.
    #[must_use]
    pub fn share_part(self) -> QuotaLimit {
        let rate_per_s = self.limit.rate_per_s * SHARE_FRACTION;
        QuotaLimit { rate_per_s, burst: self.share_burst }
    }
}

impl QuotaTolerance {
    /// The rate and bursts that keep an account with this limit within the tolerance, if
    /// up to `shares` shares of the limit are in force.
    ///
    /// Each share has a burst of at least one operation. It is larger, up to the share's
    /// fraction of the account's burst, as far as the enforced rate stays at least the
    /// account's own: with a burst of one, a share holder that is asked for less than its
    /// rate would refuse requests which arrive close together. If the enforced rate would be
    /// below the account's own even with bursts of one, fewer share holders are used. Their
    /// number depends on the limit and the tolerance alone, so that all instances compute
    /// the same.
    #[must_use]
    pub fn applied_to(self, limit: QuotaLimit, shares: u32) -> EnforcedQuota {
        let window_s = self.window.as_secs_f64();
        if window_s <= 0.0 || limit.rate_per_s <= 0.0 {
            return EnforcedQuota::shared(limit, shares);
        }
        let initial_burst = initial_burst_for(limit.burst);
        let allowed =
            (limit.rate_per_s * window_s + limit.burst) * (1.0 + self.excess) + self.slack;
        let burst = (limit.burst * BURST_FRACTION + BURST_EXTRA)
            .min(limit.burst.max(1.0))
            .max(initial_burst);
        let for_rate = allowed * ENFORCED_FRACTION - burst - initial_burst;
        let spare = (for_rate - limit.rate_per_s * window_s).max(0.0);
        let shares = (0..=shares).rev().find(|shares| f64::from(*shares) <= spare).unwrap_or(0);
        let count = f64::from(shares);
        let share_burst = match shares {
            0 => 0.0,
            _ => (spare / count).min(limit.burst * SHARE_FRACTION).max(1.0),
        };
        let rate_per_s = ((for_rate - count * share_burst) / window_s).max(0.0);
        let limit = QuotaLimit { rate_per_s, burst };
        EnforcedQuota {
            limit,
            initial_burst,
            share_burst,
            // The enforced rate is lowered by the bursts of all shares.
            initial_share_burst: share_burst,
            burst_per_share: 0.0,
            shares,
        }
    }
}

/// Token bucket: each operation takes one token, and tokens are refilled with time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    #[must_use]
    pub fn new(now: Moment, tokens: f64) -> Self {
        Self { tokens, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill, up to the burst.
    pub fn refill(&mut self, now: Moment, limit: QuotaLimit) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * limit.rate_per_s).min(limit.burst);
    }

    /// Takes up to `wanted` whole tokens. Returns the number taken.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most the tokens that were wanted"
    )]
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = self.tokens.max(0.0).min(f64::from(wanted)).floor();
        self.tokens -= taken;
        taken as u32
    }

    /// Number of tokens left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// Longest retry time that is sent to an account at its limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Answer of a keeper to a request for operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaAnswer {
    /// This many operations may start.
    Granted(u32),
    /// No operation may start, because the account is at its limit.
    Exhausted {
        /// Expected time until an operation may start, with those counted that were
        /// refused shortly before and will be retried first.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct AccountCount {
    bucket: TokenBucket,
    /// Number of refusals, decaying to zero within a second without one.
    recent_refusals: f64,
    last_refused_at: Moment,
    restart_pending: bool,
    /// Rate at the last request.
    rate_per_s: f64,
}

impl AccountCount {
    fn record_refusal(&mut self, now: Moment) {
        let age_s = now.saturating_sub(self.last_refused_at).as_secs_f64();
        self.recent_refusals = self.recent_refusals * (1.0 - age_s).max(0.0) + 1.0;
        self.last_refused_at = now;
    }
}

/// Token buckets and refusals of the accounts that an instance keeps.
#[derive(Clone, Debug, Default)]
pub struct QuotaCounters {
    counts: HashMap<AccountId, AccountCount>,
}

impl QuotaCounters {
    /// Handles the request of an entry instance for `wanted` operations of an account.
    /// Grants at least one operation if a token is left, and at most `wanted`.
    pub fn handle_request(
        &mut self,
        now: Moment,
        id: &AccountId,
        quota: EnforcedQuota,
        wanted: u32,
    ) -> QuotaAnswer {
        let EnforcedQuota { limit, initial_burst, .. } = quota;
        let count = self.counts.entry(id.clone()).or_insert_with(|| AccountCount {
            bucket: TokenBucket::new(now, initial_burst),
            recent_refusals: 0.0,
            last_refused_at: now,
            restart_pending: false,
            rate_per_s: limit.rate_per_s,
        });
        if std::mem::take(&mut count.restart_pending) {
            count.bucket = TokenBucket::new(now, count.bucket.tokens().min(initial_burst));
        }
        // The rate changes with the shares in force and with the configuration. The time
        // since the last request counts at the lower of the two rates.
        let last_rate_per_s = std::mem::replace(&mut count.rate_per_s, limit.rate_per_s);
        let rate_per_s = limit.rate_per_s.min(last_rate_per_s);
        count.bucket.refill(now, QuotaLimit { rate_per_s, ..limit });
        let granted = count.bucket.take(wanted.max(1));
        if granted > 0 {
            return QuotaAnswer::Granted(granted);
        }
        count.record_refusal(now);
        let missing = (1.0 - count.bucket.tokens()) + (count.recent_refusals - 1.0);
        let retry_after = Duration::try_from_secs_f64(missing / limit.rate_per_s.max(1e-9));
        let retry_after = retry_after.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        QuotaAnswer::Exhausted { retry_after }
    }

    /// Restarts every bucket with at most the initial burst of a new keeper. Called when
    /// this instance becomes the keeper again, because another instance may have granted
    /// operations in the meantime.
    pub fn restart_counts(&mut self) {
        for count in self.counts.values_mut() {
            count.restart_pending = true;
        }
    }
}

/// How long a granted operation may wait to start. A longer time would let the unused
/// grants of entry instances add to the burst in a window.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(400);

/// Highest number of operations that an entry instance requests at once.
const MAX_REQUESTED: f64 = 8.0;

/// State of one account at an entry instance: unused grants of the keeper, and what may
/// start while no keeper answers.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    granted: u32,
    granted_at: Moment,
    exhausted_until: Moment,
    /// Rate of the operations that are requested here, exponentially smoothed.
    rate_per_s: f64,
    last_requested_at: Moment,
    /// Operations that may start here while no keeper answers.
    without_keeper: TokenBucket,
    /// Time of the last answer of a keeper, or of a share holder before a search found no
    /// keeper.
    keeper_answered_at: Moment,
    /// Whether the last search found no keeper.
    lacks_keeper: bool,
}

/// What an entry instance does with an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The operation may start.
    Admitted,
    /// The instance has to request this many operations from the keeper.
    RequestFromKeeper(u32),
    /// The account is at its limit.
    Refused {
        /// Time after which the operation can be sent again.
        retry_after: Duration,
    },
}

/// Time constant of the smoothed rate of operations at an entry instance, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.0;

/// Fraction of an instance's equal share of the rate that it admits while no keeper
/// answers.
///
/// All instances that are cut off from the keeper together have to stay within the
/// excess that the platform allows, while the keeper grants the whole rate to the
/// others. A quarter keeps some operations running during a change of keeper.
const WITHOUT_KEEPER_FRACTION: f64 = 0.25;

impl Allowance {
    /// Creates the state of an account without operations at this instance.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            granted: 0,
            granted_at: now,
            exhausted_until: Moment::ZERO,
            rate_per_s: 0.0,
            last_requested_at: now,
            without_keeper: TokenBucket::new(now, 0.0),
            keeper_answered_at: now,
            lacks_keeper: false,
        }
    }

    /// Decides whether an operation may start, without contacting the keeper.
    pub fn admit(&mut self, now: Moment) -> Admission {
        self.observe(now);
        if self.granted > 0 && self.granted_at + GRANT_LIFETIME > now {
            self.granted -= 1;
            return Admission::Admitted;
        }
        self.granted = 0;
        if self.exhausted_until > now {
            let retry_after = self.exhausted_until.saturating_sub(now);
            return Admission::Refused { retry_after };
        }
        Admission::RequestFromKeeper(self.wanted())
    }

    fn observe(&mut self, now: Moment) {
        let age_s = now.saturating_sub(self.last_requested_at).as_secs_f64();
        self.last_requested_at = now;
        let kept = (-age_s / RATE_TIME_CONSTANT_S).exp();
        self.rate_per_s = self.rate_per_s * kept + 1.0 / RATE_TIME_CONSTANT_S;
    }

    /// Operations to request: this one, and half of those expected within the lifetime
    /// of the grant.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between one and the most"
    )]
    fn wanted(&self) -> u32 {
        let expected = self.rate_per_s * GRANT_LIFETIME.as_secs_f64() / 2.0;
        expected.floor().clamp(1.0, MAX_REQUESTED) as u32
    }

    /// Records that the keeper granted `count` operations, of which one starts now.
    pub fn granted(&mut self, asked_at: Moment, count: u32) {
        self.granted = self.granted.saturating_add(count.saturating_sub(1));
        self.granted_at = asked_at;
        self.keeper_answered_at = asked_at;
        self.lacks_keeper = false;
    }

    /// Records that a share holder granted `count` operations, of which one starts now.
    pub fn granted_by_share(&mut self, asked_at: Moment, count: u32) {
        let (answered_at, lacks_keeper) = (self.keeper_answered_at, self.lacks_keeper);
        self.granted(asked_at, count);
        if lacks_keeper {
            // What may start without a keeper goes on to grow.
            (self.keeper_answered_at, self.lacks_keeper) = (answered_at, true);
        }
    }

    /// Records that a grant of `count` operations arrived after the operation that it was
    /// requested for had ended.
    pub fn granted_late(&mut self, asked_at: Moment, count: u32) {
        if count == 0 {
            return;
        }
        // Grants from before must not last longer because of this one.
        let granted_at = if self.granted > 0 { self.granted_at } else { asked_at };
        self.granted = self.granted.saturating_add(count);
        self.granted_at = granted_at.min(asked_at);
    }

    /// Records that the account is at its limit. For the time `pause` operations are
    /// refused without contacting the keeper, so that an account far above its limit
    /// does not load the keeper that it shares with other accounts.
    pub fn exhausted(&mut self, now: Moment, pause: Duration) {
        self.keeper_answered_at = now;
        self.lacks_keeper = false;
        self.exhausted_until = now + pause;
    }

    /// Returns an admitted operation that did not run, so that another one may start.
    pub fn refund(&mut self, now: Moment) {
        if self.granted == 0 {
            self.granted_at = now;
        }
        self.granted += 1;
    }

    /// Whether an operation may start without the keeper, which does not answer. The
    /// limit is divided among `instances` instances.
    pub fn admit_without_keeper(
        &mut self,
        now: Moment,
        limit: QuotaLimit,
        instances: usize,
    ) -> bool {
        self.lacks_keeper = true;
        let instances = instance_count(instances);
        let share = QuotaLimit {
            rate_per_s: limit.rate_per_s * WITHOUT_KEEPER_FRACTION / instances,
            burst: (limit.burst * WITHOUT_KEEPER_FRACTION / instances).max(1.0),
        };
        if self.without_keeper.refilled_at < self.keeper_answered_at {
            self.without_keeper = TokenBucket::new(self.keeper_answered_at, 0.0);
        }
        self.without_keeper.refill(now, share);
        self.without_keeper.take(1) > 0
    }
}

/// The number of instances as a float, at least one.
fn instance_count(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}

/// How long an entry instance does not contact the keeper about an account at its limit:
/// half of the time in which its equal share of the rate allows one operation.
#[must_use]
pub fn keeper_request_interval(limit: QuotaLimit, instances: usize) -> Duration {
    let instances = instance_count(instances);
    let share = Duration::try_from_secs_f64(instances / (2.0 * limit.rate_per_s.max(1e-9)));
    share.unwrap_or(MAX_PAUSE).clamp(MIN_PAUSE, MAX_PAUSE)
}

/// Bounds of the pause between two requests to the keeper for an account at its limit.
const MIN_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(200);
