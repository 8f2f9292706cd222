//! How many operations an account may still begin.
//!
//! One instance, the keeper, counts all operations of an account; entries ask it
//! before they begin one. Who the keeper is: [`crate::keeper_lease`].

use std::collections::HashMap;
use std::time::Duration;

use crate::account::QuotaLimit;
use crate::id::AccountId;
use crate::moment::Moment;

/// How far beyond its limit the platform lets an account go.
///
/// In any window at most (rate x window + burst) x (1 + excess) + slack operations
/// may run. The platform means what fits into that to be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Part of the limit.
    pub excess: f64,
    /// Operations beside that.
    pub slack: f64,
}

/// Part of what a window may hold that is given out. The rest is for operations
/// that begin later than they were counted, and for those that instances without a
/// keeper let begin.
const GIVEN_PART: f64 = 0.96;

/// Burst that is given out: part of the account's own, and operations beside it.
const BURST_PART: f64 = 0.1;
const BURST_TOKENS: f64 = 6.0;

/// What a new keeper lets begin at once: part of the account's burst, and operations
/// beside it.
///
/// It does not know what the one before it let begin: a full burst at each change
/// of keeper would give an account its burst twice in one window. So the first is
/// set aside from what a window may hold. With nothing at all those who come back
/// together, after all instances were killed, would be refused.
const FIRST_PART: f64 = 0.1;
const FIRST_TOKENS: f64 = 3.0;

/// What a new keeper of an account with this burst lets begin at once.
fn first_tokens(burst: f64) -> f64 {
    (burst * FIRST_PART + FIRST_TOKENS).min(burst)
}

/// What an account may begin, as its keeper counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnforcedQuota {
    /// Operations a second, and at once.
    pub limit: QuotaLimit,
    /// Operations at once where the keeper is new.
    pub first: f64,
}

impl From<QuotaLimit> for EnforcedQuota {
    fn from(limit: QuotaLimit) -> Self {
        Self { limit, first: first_tokens(limit.burst) }
    }
}

impl QuotaTolerance {
    /// The rate and burst that keep an account within the tolerance.
    #[must_use]
    pub fn applied_to(self, limit: QuotaLimit) -> EnforcedQuota {
        let window_s = self.window.as_secs_f64();
        if window_s <= 0.0 || limit.rate_per_s <= 0.0 {
            return limit.into();
        }
        let first = first_tokens(limit.burst);
        let allowed =
            (limit.rate_per_s * window_s + limit.burst) * (1.0 + self.excess) + self.slack;
        let burst = (limit.burst * BURST_PART + BURST_TOKENS).min(limit.burst.max(1.0)).max(first);
        let rate_per_s = (allowed * GIVEN_PART - burst - first) / window_s;
        let limit = QuotaLimit { rate_per_s: rate_per_s.max(0.0), burst };
        EnforcedQuota { limit, first }
    }
}

/// Operations that may begin now, refilled with time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Moment,
}

impl TokenBucket {
    /// A bucket that holds `tokens`.
    #[must_use]
    pub fn new(now: Moment, tokens: f64) -> Self {
        Self { tokens, refilled_at: now }
    }

    /// Adds what has come since the last time, up to the burst.
    pub fn refill(&mut self, now: Moment, limit: QuotaLimit) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * limit.rate_per_s).min(limit.burst);
    }

    /// Takes up to `wanted` whole tokens. Returns how many.
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

    /// Tokens left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// Longest time to come back that is told to an account beyond its limit.
const LONGEST_RETURN: Duration = Duration::from_secs(2);

/// What the keeper answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaAnswer {
    /// So many operations may begin.
    Granted(u32),
    /// None may: the account is at its limit.
    Exhausted {
        /// When one may begin again, with those in view that were refused before.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Counted {
    bucket: TokenBucket,
    /// Refusals of the last second, decaying.
    refused: f64,
    refused_at: Moment,
    begins_again: bool,
}

impl Counted {
    fn note_refusal(&mut self, now: Moment) {
        let age_s = now.saturating_sub(self.refused_at).as_secs_f64();
        self.refused = self.refused * (1.0 - age_s).max(0.0) + 1.0;
        self.refused_at = now;
    }
}

/// The keeper's counts, by account.
#[derive(Clone, Debug, Default)]
pub struct QuotaCounters {
    counts: HashMap<AccountId, Counted>,
}

impl QuotaCounters {
    /// An entry wants to begin `wanted` operations of an account.
    pub fn ask(
        &mut self,
        now: Moment,
        id: &AccountId,
        grant: EnforcedQuota,
        wanted: u32,
    ) -> QuotaAnswer {
        let EnforcedQuota { limit, first } = grant;
        let counted = self.counts.entry(id.clone()).or_insert_with(|| Counted {
            bucket: TokenBucket::new(now, first),
            refused: 0.0,
            refused_at: now,
            begins_again: false,
        });
        if std::mem::take(&mut counted.begins_again) {
            counted.bucket = TokenBucket::new(now, counted.bucket.tokens().min(first));
        }
        counted.bucket.refill(now, limit);
        let granted = counted.bucket.take(wanted.max(1));
        if granted > 0 {
            return QuotaAnswer::Granted(granted);
        }
        counted.note_refusal(now);
        let missing = (1.0 - counted.bucket.tokens()) + (counted.refused - 1.0);
        let retry_after = Duration::try_from_secs_f64(missing / limit.rate_per_s.max(1e-9));
        let retry_after = retry_after.unwrap_or(LONGEST_RETURN).min(LONGEST_RETURN);
        QuotaAnswer::Exhausted { retry_after }
    }

    /// Another instance may have counted meanwhile: goes on as a new keeper does.
    pub fn restart_counts(&mut self) {
        for counted in self.counts.values_mut() {
            counted.begins_again = true;
        }
    }
}

/// How long an operation that was granted may wait to begin. Longer, and what
/// entries keep in stock would add to the burst of a window.
pub const GRANT_LASTS: Duration = Duration::from_millis(400);

/// Most operations that an entry asks for at once.
const MOST_WANTED: f64 = 8.0;

/// An entry's view of one account.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    granted: u32,
    granted_at: Moment,
    exhausted_until: Moment,
    /// Operations a second that begin here, smoothed.
    rate_per_s: f64,
    begun_at: Moment,
    /// What may begin here while no keeper answers.
    alone: TokenBucket,
    /// When a keeper last answered.
    counted_at: Moment,
}

/// What an entry does with an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may begin.
    Admitted,
    /// The keeper has to be asked for so many.
    Ask(u32),
    /// The account is at its limit.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Time over which an entry smooths how many operations begin there.
const SMOOTHED_S: f64 = 1.0;

/// Part of an instance's equal share of the rate that it lets begin by itself
/// while no keeper answers.
///
/// All instances that are cut off from the keeper together must stay within what
/// the platform allows beyond the limit, while the keeper gives the whole rate to
/// the others. A quarter keeps some service through the change of a keeper.
const ALONE_PART: f64 = 0.25;

impl Allowance {
    /// An account of which nothing began here.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            granted: 0,
            granted_at: now,
            exhausted_until: Moment::ZERO,
            rate_per_s: 0.0,
            begun_at: now,
            alone: TokenBucket::new(now, 0.0),
            counted_at: now,
        }
    }

    /// An operation wants to begin.
    pub fn admit(&mut self, now: Moment) -> Admission {
        self.observe(now);
        if self.granted > 0 && self.granted_at + GRANT_LASTS > now {
            self.granted -= 1;
            return Admission::Admitted;
        }
        self.granted = 0;
        if self.exhausted_until > now {
            let retry_after = self.exhausted_until.saturating_sub(now);
            return Admission::Refused { retry_after };
        }
        Admission::Ask(self.wanted())
    }

    fn observe(&mut self, now: Moment) {
        let age_s = now.saturating_sub(self.begun_at).as_secs_f64();
        self.begun_at = now;
        let kept = (-age_s / SMOOTHED_S).exp();
        self.rate_per_s = self.rate_per_s * kept + 1.0 / SMOOTHED_S;
    }

    /// This operation, and those that will begin before the grant is over.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between one and the most"
    )]
    fn wanted(&self) -> u32 {
        let soon = self.rate_per_s * GRANT_LASTS.as_secs_f64() / 2.0;
        soon.floor().clamp(1.0, MOST_WANTED) as u32
    }

    /// The keeper granted operations; one of them begins now.
    pub fn granted(&mut self, asked_at: Moment, count: u32) {
        self.granted = self.granted.saturating_add(count.saturating_sub(1));
        self.granted_at = asked_at;
        self.counted_at = asked_at;
    }

    /// The keeper said that the account is at its limit: it is not asked again
    /// for a while, so that an account far beyond its limit does not occupy the
    /// keeper of others.
    pub fn exhausted(&mut self, now: Moment, pause: Duration) {
        self.counted_at = now;
        self.exhausted_until = now + pause;
    }

    /// An operation that was admitted did not run: another one may.
    pub fn refund(&mut self, now: Moment) {
        if self.granted == 0 {
            self.granted_at = now;
        }
        self.granted += 1;
    }

    /// No keeper answers: whether an operation may begin without being counted,
    /// at one of `instances`.
    pub fn admit_without_keeper(
        &mut self,
        now: Moment,
        limit: QuotaLimit,
        instances: usize,
    ) -> bool {
        let instances = number_of(instances);
        let share = QuotaLimit {
            rate_per_s: limit.rate_per_s * ALONE_PART / instances,
            burst: (limit.burst * ALONE_PART / instances).max(1.0),
        };
        if self.alone.refilled_at < self.counted_at {
            self.alone = TokenBucket::new(self.counted_at, 0.0);
        }
        self.alone.refill(now, share);
        self.alone.take(1) > 0
    }
}

/// A number of instances, of which there is one at least.
fn number_of(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}

/// How long an entry does not ask again for an account at its limit: half of
/// the time in which its equal share of the rate brings one operation.
#[must_use]
pub fn ask_again_after(limit: QuotaLimit, instances: usize) -> Duration {
    let instances = number_of(instances);
    let share = Duration::try_from_secs_f64(instances / (2.0 * limit.rate_per_s.max(1e-9)));
    share.unwrap_or(LONGEST_PAUSE).clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
}

const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
