//! Shares of the limits of accounts, which instances count while they cannot reach the
//! keeper.
//!
//! The keeper of a shard leases to other instances a *share*: a fixed fraction of the limit
//! of each account of the shard. An instance with a share, a *share holder*, grants
//! operations from its own token buckets until the share expires. While the keeper reaches
//! it, the share is on *standby*: the holder promises with each vote that it does not count
//! for a short time, in which the keeper counts that fraction itself. [`ShareLedger`] is the
//! keeper's record of the shares that may be in force, [`HeldShare`] the state of a share
//! holder.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::id::AccountId;
use crate::id::InstanceId;
use crate::keeper_lease::Candidate;
use crate::keeper_lease::VOTE_LEASE;
use crate::moment::Moment;
use crate::quota::EnforcedQuota;
use crate::quota::QuotaAnswer;
use crate::quota::TokenBucket;

/// Highest number of shares in force at a time: one for each voter but the keeper, and the
/// extra share holders.
pub const SHARE_HOLDERS: usize = 15;

/// Fraction of a limit that one share has. It does not depend on the number of shares in
/// force, so that a share holder needs no information about the others.
pub const SHARE_FRACTION: f64 = 1.0 / 16.0;

/// Highest fraction of a limit that all shares have together. The keeper always counts the
/// rest.
pub const MAX_SHARED: f64 = 15.0 / 16.0;

/// Time from the timestamp of a report for which an instance does not count its share if it
/// promised so: two renewals of 300 ms and a margin, so that one lost reply has no effect.
pub const STANDBY_TIME: Duration = Duration::from_millis(700);

/// Lifetime of a share from the timestamp of its holder. It is longer than a partition of
/// 7 s.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(8);

/// Time after its start in which an instance grants one burst of each account without a
/// share: the time for which earlier votes can delay the first keeper.
const START_TIME: Duration = VOTE_LEASE;

/// Retry time of an instance that has just started and granted its burst: it can become the
/// keeper, or get a share, with the next check of the leases.
const START_RETRY: Duration = Duration::from_millis(50);

/// Time without counting after which a holder starts to count with a full bucket. It is
/// longer than the window in which the platform counts operations (5 s), so that a window
/// contains the burst of a share only once.
const REST_TIME: Duration = SHARE_LIFETIME;

/// Clocks run at rates that differ by less than one part in this number.
const CLOCK_MARGIN_DIVISOR: u32 = 20;

/// Time for which a reply to a vote request binds the voter, from when the request was
/// sent, as the keeper measures it. A voter reports to no other candidate in this time.
const REPORT_BINDING: Duration = Duration::from_millis(1_100);

/// The time that a keeper counts a share that lasts `lifetime` on its holder's clock.
fn with_clock_margin(lifetime: Duration) -> Duration {
    lifetime + lifetime / CLOCK_MARGIN_DIVISOR
}

/// The time for which a keeper relies on a promise of `standby`, from when it sent the
/// request.
fn less_clock_margin(standby: Duration) -> Duration {
    standby.saturating_sub(standby / CLOCK_MARGIN_DIVISOR)
}

/// The time as it is sent in messages, in whole milliseconds. The rounding shortens a share.
fn whole_milliseconds(now: Moment) -> Moment {
    Moment::from_millis(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

/// What an instance reports to a keeper or candidate about its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareReport {
    /// Number of the incarnation that reports.
    pub life: u64,
    /// Time of the report on the instance's own clock, which a grant has to repeat. `None`
    /// if the instance accepts no grant based on this report.
    pub timestamp: Option<Moment>,
    /// Remaining lifetime of the share; zero if the instance holds none.
    pub left: Duration,
    /// Time from the report for which the instance promises not to count a share; zero
    /// without a promise.
    pub standby: Duration,
}

/// Whether a share of an instance is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareState {
    /// This instance counts the share.
    Counted,
    /// This instance has promised not to count the share.
    Standby,
}

/// Grant of a share to the instance that reported with this timestamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareGrant {
    /// Number of the incarnation that reported.
    pub life: u64,
    /// Timestamp of its report.
    pub timestamp: Moment,
}

/// The share of one shard at an instance that may hold it.
#[derive(Clone, Debug)]
pub struct HeldShare {
    /// The keeper that the last report with a timestamp went to, and that timestamp.
    reported: Option<(Candidate, Moment)>,
    since: Moment,
    until: Moment,
    /// Until when this instance promised not to count.
    standby_until: Moment,
    /// Until when this instance counted before its latest promise.
    counted_until: Moment,
    /// Until when this instance has just started.
    starting_until: Moment,
    buckets: HashMap<AccountId, TokenBucket>,
}

impl HeldShare {
    /// State of an incarnation that started at `started_at`. It grants a burst of each
    /// account even without a share until [`START_TIME`] has passed.
    ///
    /// After a restart of all instances there is neither a keeper nor a share for some
    /// hundred milliseconds, in which all operations would be refused.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        Self {
            reported: None,
            since: Moment::ZERO,
            until: Moment::ZERO,
            standby_until: Moment::ZERO,
            // An earlier incarnation may have counted.
            counted_until: started_at + START_TIME,
            starting_until: started_at + START_TIME,
            buckets: HashMap::new(),
        }
    }

    /// Reports to a candidate that this instance votes for. Later grants have to come from
    /// this candidate and repeat the timestamp of the report.
    ///
    /// A candidate that holds its lease gets a promise that this instance does not count for
    /// [`STANDBY_TIME`]. A candidate without the lease gets none: while it asks for votes
    /// without success, nobody would count.
    pub fn report_to(
        &mut self,
        now: Moment,
        life: u64,
        keeper: &Candidate,
        holds_lease: bool,
    ) -> ShareReport {
        let timestamp = whole_milliseconds(now);
        self.reported = Some((keeper.clone(), timestamp));
        let standby = if holds_lease { STANDBY_TIME } else { Duration::ZERO };
        if holds_lease {
            if !self.is_standby(now) && self.until > self.standby_until {
                self.counted_until = self.counted_until.max(now.min(self.until));
            }
            self.standby_until = self.standby_until.max(timestamp + STANDBY_TIME);
            // After the promise, the buckets start anew. The burst of a started
            // instance is for the time without a keeper.
            self.buckets.clear();
            self.starting_until = self.starting_until.min(now);
        }
        ShareReport { life, timestamp: Some(timestamp), left: self.left(now), standby }
    }

    /// Reports to a keeper that this instance does not vote for. Until the next vote, no
    /// grant is accepted: one that was sent before could take effect after this report.
    pub fn report_without_vote(&mut self, now: Moment, life: u64) -> ShareReport {
        self.reported = None;
        ShareReport { life, timestamp: None, left: self.left(now), standby: Duration::ZERO }
    }

    /// Accepts a grant if it is based on the latest report of this incarnation. Returns
    /// whether a share begins that was not in force before.
    pub fn accept(
        &mut self,
        now: Moment,
        life: u64,
        keeper: &Candidate,
        grant: ShareGrant,
    ) -> bool {
        let is_latest = self
            .reported
            .as_ref()
            .is_some_and(|(to, timestamp)| to == keeper && *timestamp == grant.timestamp);
        if grant.life != life || !is_latest {
            return false;
        }
        let until = grant.timestamp + SHARE_LIFETIME;
        let begins = !self.is_held(now) && until > now;
        if begins {
            self.since = now;
            self.starting_until = now;
            self.buckets.clear();
        }
        self.until = self.until.max(until);
        begins
    }

    /// Whether this instance holds a share.
    #[must_use]
    pub fn is_held(&self, now: Moment) -> bool {
        self.until > now
    }

    /// Remaining lifetime of the share; zero without one.
    #[must_use]
    pub fn left(&self, now: Moment) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Whether this instance has just started and got no share yet.
    #[must_use]
    pub fn is_starting(&self, now: Moment) -> bool {
        self.starting_until > now
    }

    /// Whether this instance gave a promise not to count that is still valid.
    #[must_use]
    pub fn is_standby(&self, now: Moment) -> bool {
        self.standby_until > now
    }

    /// Whether this instance answers requests for operations: it holds a share or has just
    /// started, and gave no promise that is still valid.
    #[must_use]
    pub fn is_counting(&self, now: Moment) -> bool {
        !self.is_standby(now) && (self.is_held(now) || self.is_starting(now))
    }

    /// Whether the share is counted or on standby; `None` without a share.
    #[must_use]
    pub fn state(&self, now: Moment) -> Option<ShareState> {
        let state = if self.is_standby(now) { ShareState::Standby } else { ShareState::Counted };
        self.is_held(now).then_some(state)
    }

    /// Time until this instance counts its share unless it gives another promise. `None` if
    /// the share is not on standby or ends before.
    #[must_use]
    pub fn counts_in(&self, now: Moment) -> Option<Duration> {
        let is_standby = self.state(now) == Some(ShareState::Standby);
        (is_standby && self.until > self.standby_until)
            .then(|| self.standby_until.saturating_sub(now))
    }

    /// Ends the share, and accepts no grant until the next report. Called when this
    /// instance becomes the keeper. A promise stays valid.
    pub fn end(&mut self) {
        *self = Self {
            standby_until: self.standby_until,
            counted_until: self.counted_until.max(self.until),
            starting_until: Moment::ZERO,
            ..Self::new(Moment::ZERO)
        };
    }

    /// Handles the request of an entry instance for `wanted` operations of an account.
    /// `None` if this instance does not count; see [`Self::is_counting`].
    ///
    /// The buckets of a share begin empty, as the keeper counted until then. At the end of a
    /// promise they begin with the initial burst of a share, unless this instance counted
    /// less than 8 s before: otherwise the first operations beyond a partition would be
    /// refused until the share's rate allows one.
    pub fn handle_request(
        &mut self,
        now: Moment,
        id: &AccountId,
        quota: EnforcedQuota,
        wanted: u32,
    ) -> Option<QuotaAnswer> {
        if !self.is_counting(now) {
            return None;
        }
        let is_held = self.is_held(now);
        let limit = quota.share_part();
        let has_rested = self.since <= self.standby_until
            && self.counted_until + REST_TIME <= self.standby_until;
        let new_bucket = if is_held {
            let tokens = if has_rested { quota.initial_share_burst } else { 0.0 };
            TokenBucket::new(self.since.max(self.standby_until), tokens)
        } else {
            TokenBucket::new(now, limit.burst)
        };
        let bucket = self.buckets.entry(id.clone()).or_insert(new_bucket);
        if is_held {
            bucket.refill(now, limit);
        }
        let granted = bucket.take(wanted.max(1));
        if granted > 0 {
            return Some(QuotaAnswer::Granted(granted));
        }
        if !is_held {
            return Some(QuotaAnswer::Exhausted { retry_after: START_RETRY });
        }
        let missing = (1.0 - bucket.tokens()) / limit.rate_per_s.max(1e-9);
        let retry_after = Duration::try_from_secs_f64(missing).unwrap_or(SHARE_LIFETIME);
        Some(QuotaAnswer::Exhausted { retry_after: retry_after.min(SHARE_LIFETIME) })
    }
}

/// The last report of an instance to this keeper.
#[derive(Clone, Copy, Debug)]
struct Reported {
    life: u64,
    asked_at: Moment,
    received_at: Moment,
    timestamp: Option<Moment>,
}

/// The shares of a shard that may be in force, as its keeper counts them.
///
/// A new keeper does not know the shares that its predecessor granted. Until an instance
/// has reported, the keeper assumes that it holds one.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    lease_began_at: Moment,
    /// When the lease last ended, and the votes were returned.
    ended_at: Moment,
    reports: HashMap<InstanceId, Reported>,
    /// End of each share that was granted or reported.
    ends: HashMap<InstanceId, Moment>,
    /// Instances that held a share when they first reported.
    adopted: HashSet<InstanceId>,
    /// Until when this keeper relies on the promise of each instance not to count.
    standby_until: HashMap<InstanceId, Moment>,
}

impl ShareLedger {
    /// Records the report of an instance, in the reply to a request sent at `asked_at`. A
    /// reply to a request from before [`Self::end`] is ignored: the instance may have got a
    /// share of another keeper since.
    pub fn record_report(
        &mut self,
        asked_at: Moment,
        now: Moment,
        instance: &InstanceId,
        report: ShareReport,
    ) {
        let known = self.reports.get(instance).copied();
        if asked_at <= self.ended_at || known.is_some_and(|known| known.asked_at > asked_at) {
            return;
        }
        if known.is_some_and(|known| known.life != report.life) {
            // The share of the earlier incarnation ended with it.
            self.ends.remove(instance);
            self.standby_until.remove(instance);
        }
        if !report.standby.is_zero() {
            // The request was sent before the report that the promise counts from.
            let until = asked_at + less_clock_margin(report.standby);
            let known_until = self.standby_until.entry(instance.clone()).or_insert(until);
            *known_until = until.max(*known_until);
        }
        if !report.left.is_zero() {
            let end = now + with_clock_margin(report.left);
            let known_end = self.ends.entry(instance.clone()).or_insert(end);
            *known_end = end.max(*known_end);
            if known.is_none() {
                self.adopted.insert(instance.clone());
            }
        }
        let ShareReport { life, timestamp, .. } = report;
        let reported = Reported { life, asked_at, received_at: now, timestamp };
        self.reports.insert(instance.clone(), reported);
    }

    /// Starts to count when the keeper's lease begins.
    pub fn lease_gained(&mut self, now: Moment) {
        self.lease_began_at = now;
    }

    /// Discards reports of voters that are no longer bound to this candidate by their
    /// votes: another keeper may have granted them shares since. Called before
    /// [`Self::lease_gained`].
    pub fn discard_unbound_reports(&mut self, now: Moment) {
        let reports = &mut self.reports;
        reports.retain(|_, reported| reported.asked_at + REPORT_BINDING > now);
        self.ends.retain(|instance, _| reports.contains_key(instance));
        self.adopted.retain(|instance| reports.contains_key(instance));
        self.standby_until.retain(|instance, _| reports.contains_key(instance));
    }

    /// Discards everything when the lease ends or is not gained.
    pub fn end(&mut self, now: Moment) {
        *self = Self { ended_at: now, ..Self::default() };
    }

    /// Whether shares of an earlier keeper may still be in force.
    fn may_have_earlier_shares(&self, now: Moment) -> bool {
        self.lease_began_at + with_clock_margin(SHARE_LIFETIME) > now
    }

    /// The instances among `others` that have not reported and may hold a share of an
    /// earlier keeper.
    pub fn unreported<'a>(
        &'a self,
        now: Moment,
        others: &'a [InstanceId],
    ) -> impl Iterator<Item = &'a InstanceId> {
        let others = if self.may_have_earlier_shares(now) { others } else { &[] };
        others.iter().filter(|instance| !self.reports.contains_key(*instance))
    }

    /// Number of shares that may be in force. `others` are all instances but this one.
    #[must_use]
    pub fn in_force(&self, now: Moment, others: &[InstanceId]) -> usize {
        self.ends.values().filter(|end| **end > now).count() + self.assumed(now, others)
    }

    /// Number of shares of an earlier keeper that are assumed to be in force.
    fn assumed(&self, now: Moment, others: &[InstanceId]) -> usize {
        let unknown = SHARE_HOLDERS.saturating_sub(self.adopted.len());
        self.unreported(now, others).take(unknown).count()
    }

    /// Whether an instance promised not to count its share, and this keeper counts it.
    fn is_standby(&self, now: Moment, instance: &InstanceId) -> bool {
        self.standby_until.get(instance).is_some_and(|until| *until > now)
    }

    /// The fraction of each limit that the keeper counts itself: all but the shares that may
    /// be in force without a promise of their holders.
    #[must_use]
    pub fn keeper_fraction(&self, now: Moment, others: &[InstanceId]) -> f64 {
        let in_force = self.ends.iter().filter(|(_, end)| **end > now);
        let unpromised = in_force.filter(|(instance, _)| !self.is_standby(now, instance)).count();
        let counted = (unpromised + self.assumed(now, others)).min(SHARE_HOLDERS);
        1.0 - SHARE_FRACTION * f64::from(u32::try_from(counted).unwrap_or(u32::MAX))
    }

    /// Grants a share to an instance that votes for this keeper, or extends its share, if it
    /// reported and the shares that may be in force allow another one. The keeper has to
    /// hold its lease.
    pub fn grant(
        &mut self,
        now: Moment,
        voter: &InstanceId,
        others: &[InstanceId],
    ) -> Option<ShareGrant> {
        let Reported { life, received_at, timestamp, .. } = *self.reports.get(voter)?;
        let timestamp = timestamp?;
        let is_counted = self.ends.get(voter).is_some_and(|end| *end > now);
        if received_at + SHARE_LIFETIME <= now
            || (!is_counted && self.in_force(now, others) >= SHARE_HOLDERS)
        {
            return None;
        }
        let end = received_at + with_clock_margin(SHARE_LIFETIME);
        let known_end = self.ends.entry(voter.clone()).or_insert(end);
        *known_end = end.max(*known_end);
        Some(ShareGrant { life, timestamp })
    }
}
