//! Enforces the quotas of client accounts across all instances.
//!
//! Accounts are divided into shards by their name. For each shard one instance, the
//! *keeper*, counts the operations of its accounts; it holds a lease that a majority of
//! the shard's voters grants and renews. An instance that a client is connected to asks
//! the keeper, or a holder of a share of the limits, before it begins an operation, and
//! gets operations granted in advance for busy accounts. While no keeper answers and the
//! shares are used up, each instance admits a fraction of the limit. `quota_leases`
//! obtains the leases of keepers and grants the shares.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::engine_protos::QuotaQuestion;
use chervilwharf_lib::engine_protos::QuotaReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::keeper_lease::KeeperLease;
use chervilwharf_lib::keeper_lease::ShardNumber;
use chervilwharf_lib::keeper_lease::Votes;
use chervilwharf_lib::keeper_lease::shard_of;
use chervilwharf_lib::keeper_voter_change::KeeperVoterChange;
use chervilwharf_lib::keeper_voters::KeeperVoters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota::Admission;
use chervilwharf_lib::quota::Allowance;
use chervilwharf_lib::quota::EnforcedQuota;
use chervilwharf_lib::quota::QuotaAnswer;
use chervilwharf_lib::quota::QuotaCounters;
use chervilwharf_lib::quota::keeper_request_interval;
use chervilwharf_lib::quota_search::COUNTER_TIMEOUT;
use chervilwharf_lib::quota_search::Counters;
use chervilwharf_lib::quota_search::QUOTA_SEARCH_LIMIT;
use chervilwharf_lib::quota_search::QuotaSearch;
use chervilwharf_lib::quota_search::SkippedCounters;
use chervilwharf_lib::quota_share::HeldShare;
use chervilwharf_lib::quota_share::SHARE_HOLDERS;
use chervilwharf_lib::quota_share::SHARE_LIFETIME;
use chervilwharf_lib::quota_share::ShareLedger;
use chervilwharf_lib::quota_share::ShareState;
use chervilwharf_lib::share_holders::counts_account;
use tokio::sync::oneshot;

use crate::engine::account_metrics::QuotaOutcome;
use crate::engine::clock::now;
use crate::engine::directory::Revision;
use crate::engine::records;
use crate::engine::request::Failure;
use crate::engine::shared::Engine;

/// State of one shard of accounts at this instance.
pub(super) struct AccountShard {
    /// The voters that have a record, in the order of candidates; those that should vote if the
    /// voters are not known yet.
    pub(super) voters: Arc<Vec<InstanceRecord>>,
    /// The instances that should vote, ordered by id.
    pub(super) preferred_voters: Vec<InstanceId>,
    /// The instances that should vote out of those that are not leaving, ordered by id.
    pub(super) staying_voters: Vec<InstanceId>,
    /// The voters by which votes are counted.
    pub(super) known_voters: KeeperVoters,
    pub(super) voter_change: KeeperVoterChange,
    /// Revision of the voters' record in the store, if there is one.
    pub(super) voters_revision: Option<Revision>,
    /// Whether this instance reads, writes or sends the voters.
    pub(super) is_changing_voters: bool,
    /// Share holders that are no voters.
    pub(super) extra_holders: Arc<Vec<InstanceRecord>>,
    /// The voters and the extra share holders.
    pub(super) holders: Arc<Vec<InstanceRecord>>,
    /// Whether the extra share holders were asked for votes since the lease began.
    pub(super) extra_holders_asked: bool,
    /// Whether a round of vote requests without the lease is not finished.
    pub(super) is_candidacy_open: bool,
    /// This instance's lease as the keeper of the shard.
    pub(super) lease: KeeperLease,
    pub(super) renewed_at: Moment,
    pub(super) counters: QuotaCounters,
    /// The shares that may be in force, if this instance is the keeper.
    pub(super) ledger: ShareLedger,
    /// The share that this instance holds.
    pub(super) share: HeldShare,
    /// State of the share as of the last log line about it.
    pub(super) logged_share: Option<ShareState>,
    /// The presumed keeper: the instance that last answered as such, or that another one
    /// named.
    keeper: Option<InstanceRecord>,
}

impl AccountShard {
    /// State at an instance that started at `started_at`.
    fn new(me: &InstanceId, started_at: Moment) -> Self {
        Self {
            voters: Arc::default(),
            preferred_voters: Vec::new(),
            staying_voters: Vec::new(),
            known_voters: KeeperVoters::new(me.clone(), started_at),
            voter_change: KeeperVoterChange::default(),
            voters_revision: None,
            is_changing_voters: false,
            extra_holders: Arc::default(),
            holders: Arc::default(),
            extra_holders_asked: false,
            is_candidacy_open: false,
            lease: KeeperLease::default(),
            renewed_at: Moment::ZERO,
            counters: QuotaCounters::default(),
            ledger: ShareLedger::default(),
            share: HeldShare::new(started_at),
            logged_share: None,
            keeper: None,
        }
    }

    /// Number of shares that are provided for in the limits that are enforced.
    fn max_shares(&self) -> u32 {
        let max = if self.voters.len() > 1 { SHARE_HOLDERS } else { 0 };
        u32::try_from(max).unwrap_or(u32::MAX)
    }
}

/// Quota state behind the lock of [`QuotaControl`].
pub(super) struct Inner {
    /// Votes that this instance gave to keepers.
    pub(super) votes: Votes,
    pub(super) shards: Vec<AccountShard>,
    /// Records of instances from which the voters were computed.
    pub(super) recorded: Vec<InstanceRecord>,
    /// `Fleet::changes` and whether this instance was stopping, when the voters were computed.
    pub(super) computed_at: Option<(u64, bool)>,
    /// Whether voters have changed since the holders were computed.
    pub(super) are_voters_outdated: bool,
    /// The other instances in these records.
    pub(super) others: Arc<Vec<InstanceId>>,
    /// Operations that keepers and share holders granted to this instance, by account.
    allowances: HashMap<AccountId, Allowance>,
    /// Instances that are not asked to count operations for a while.
    skipped: SkippedCounters,
}

/// Quota state of an instance: as a keeper, as a voter and as an instance that admits
/// operations.
#[derive(Clone)]
pub struct QuotaControl {
    inner: Arc<Mutex<Inner>>,
}

impl QuotaControl {
    /// State of the instance `me`, which started at `started_at`.
    #[must_use]
    pub fn new(me: &InstanceId, started_at: Moment) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(ACCOUNT_SHARDS as usize, || AccountShard::new(me, started_at));
        Self {
            inner: Arc::new(Mutex::new(Inner {
                votes: Votes::new(started_at),
                shards,
                recorded: Vec::new(),
                computed_at: None,
                are_voters_outdated: false,
                others: Arc::default(),
                allowances: HashMap::new(),
                skipped: SkippedCounters::default(),
            })),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("never poisoned")
    }
}

impl Inner {
    pub(super) fn shard(&mut self, number: ShardNumber) -> &mut AccountShard {
        // Numbers from other instances are checked when a message is received.
        &mut self.shards[number as usize]
    }

    fn allowance(&mut self, at: Moment, account: &AccountId) -> &mut Allowance {
        self.allowances.entry(account.clone()).or_insert_with(|| Allowance::new(at))
    }
}

impl Engine {
    /// Answers an instance that wants to begin operations of an account: grants them or
    /// refuses them as the keeper or as a share holder, or names the instance that is the
    /// keeper.
    #[must_use]
    pub fn quota_reply(&self, request: &QuotaQuestion) -> QuotaReply {
        let (at, account) = (now(), AccountId::from(request.account.as_str()));
        let shard_number = shard_of(&account);
        let max_shares = self.quota().lock().shard(shard_number).max_shares();
        let limit = self.newest_limit(&account, request, max_shares);
        let inner = &mut *self.quota().lock();
        let others = &inner.others;
        let shard = &mut inner.shards[shard_number as usize];
        let keeps = shard.lease.is_held(at);
        let is_counting = max_shares > 0 && shard.share.is_counting(at);
        let holds_share = !keeps && request.accepts_share && is_counting;
        let mut reply = QuotaReply { keeps, holds_share, ..QuotaReply::default() };
        if !keeps {
            let keeper = inner.votes.keeper(at, shard_number);
            reply.keeper = keeper.map(ToString::to_string).unwrap_or_default();
            let keeper_due = inner.votes.keeper_due_in(at, shard_number);
            let counts_in = shard.share.counts_in(at).filter(|_| request.accepts_share);
            let keeper_due = counts_in.map_or(keeper_due, |counts_in| counts_in.min(keeper_due));
            reply.keeper_due_ms = Some(records::milliseconds(keeper_due));
            if !holds_share {
                return reply;
            }
        }
        let Some(quota) = limit else {
            return QuotaReply { granted: request.wanted, ..reply };
        };
        let wanted = request.wanted;
        if !keeps && !counts_account(&self.me().id, &account, &shard.holders, quota.shares) {
            let retry_after_ms = records::milliseconds(SHARE_LIFETIME);
            return QuotaReply { retry_after_ms, ..reply };
        }
        let answer = if keeps {
            let quota = quota.keeper_part(shard.ledger.keeper_fraction(at, others));
            Some(shard.counters.handle_request(at, &account, quota, wanted))
        } else {
            shard.share.handle_request(at, &account, quota, wanted)
        };
        match answer {
            Some(QuotaAnswer::Granted(granted)) => QuotaReply { granted, ..reply },
            Some(QuotaAnswer::Exhausted { retry_after }) => {
                let retry_after_ms = records::milliseconds(retry_after);
                QuotaReply { retry_after_ms, ..reply }
            }
            None => QuotaReply::default(),
        }
    }

    /// The limit that is enforced: the account's limit plus the tolerance of the platform.
    fn tolerated(&self, limit: QuotaLimit, max_shares: u32) -> EnforcedQuota {
        self.quota_tolerance().map_or_else(
            || EnforcedQuota::shared(limit, max_shares),
            |tolerance| tolerance.applied_to(limit, max_shares),
        )
    }

    /// The enforced limit of an account by the later configuration: that of the request or
    /// that of this instance. `None` if the account has no limit.
    fn newest_limit(
        &self,
        account: &AccountId,
        request: &QuotaQuestion,
        max_shares: u32,
    ) -> Option<EnforcedQuota> {
        let catalog = self.catalog();
        if request.configuration_version > catalog.version {
            let (rate_per_s, burst) = (request.rate_per_s, request.burst);
            return Some(self.tolerated(QuotaLimit { rate_per_s, burst }, max_shares));
        }
        Some(self.tolerated(catalog.accounts.as_ref()?.limit(account)?, max_shares))
    }

    /// Admits an operation of an account, from the operations granted in advance or by
    /// asking the instances that count them. Takes at most [`QUOTA_SEARCH_LIMIT`], and at
    /// most `max_wait`.
    ///
    /// # Errors
    ///
    /// When the account is at its limit, or no keeper answers, the shares are used up and so
    /// is the fraction that is admitted without a keeper. The operation has not run.
    pub async fn admit_operation(
        &self,
        account: &AccountId,
        max_wait: Duration,
    ) -> Result<(), Failure> {
        let catalog = self.catalog();
        let Some(limit) = catalog.accounts.as_ref().and_then(|all| all.limit(account)) else {
            return Ok(());
        };
        let asked_at = now();
        let admission = self.quota().lock().allowance(asked_at, account).admit(asked_at);
        let wanted = match admission {
            Admission::Admitted => return Ok(()),
            Admission::Refused { retry_after } => return Err(rate_limited(limit, retry_after)),
            Admission::RequestFromKeeper(wanted) => wanted,
        };
        let request = QuotaQuestion {
            account: account.to_string(),
            wanted,
            rate_per_s: limit.rate_per_s,
            burst: limit.burst,
            configuration_version: catalog.version,
            accepts_share: true,
        };
        let instances = self.with_fleet(|fleet| fleet.others().count() + 1);
        let until = asked_at + max_wait.min(QUOTA_SEARCH_LIMIT);
        let mut found = self.search_counters(account, request.clone(), until).await;
        let second_at = until.saturating_sub(START_SEARCH_RESERVE);
        if self.awaits_first_keeper(account, &found) && now() < second_at {
            tokio::time::sleep(second_at.saturating_sub(now())).await;
            found = self.search_counters(account, request, until).await;
        }
        let at = now();
        let mut inner = self.quota().lock();
        let allowance = inner.allowance(at, account);
        let (outcome, result) = match found {
            Found::GrantedByKeeper(operations) => {
                allowance.granted(asked_at, operations);
                (QuotaOutcome::GrantedByKeeper, Ok(()))
            }
            Found::GrantedByShare(operations) => {
                allowance.granted_by_share(asked_at, operations);
                (QuotaOutcome::GrantedByShare, Ok(()))
            }
            Found::KeeperRefused { retry_after } => {
                allowance.exhausted(at, keeper_request_interval(limit, instances));
                (QuotaOutcome::RateLimited, Err(rate_limited(limit, retry_after)))
            }
            Found::NoKeeper(none) => {
                let instances = if self.is_fleet_listed() { instances } else { ASSUMED_FLEET_SIZE };
                if allowance.admit_without_keeper(at, limit, instances) {
                    (QuotaOutcome::AdmittedWithoutCounter, Ok(()))
                } else {
                    (QuotaOutcome::QuotaUnknown, Err(quota_unknown(&none)))
                }
            }
        };
        self.metrics().accounts.record_quota(outcome);
        result
    }

    /// Whether no instance counts operations because this one, and maybe all, just started.
    fn awaits_first_keeper(&self, account: &AccountId, found: &Found) -> bool {
        let inner = self.quota().lock();
        let shard = &inner.shards[shard_of(account) as usize];
        matches!(found, Found::NoKeeper(none) if none.exhausted_shares == 0)
            && shard.share.is_starting(now())
    }

    /// Returns an admitted operation that did not run.
    pub fn refund_operation(&self, account: &AccountId) {
        let at = now();
        let limited =
            self.catalog().accounts.as_ref().is_some_and(|all| all.limit(account).is_some());
        if limited {
            self.quota().lock().allowance(at, account).refund(at);
        }
    }

    /// Asks the instances that count an account's operations one after the other until one
    /// grants some, at most until `until`.
    async fn search_counters(
        &self,
        account: &AccountId,
        request: QuotaQuestion,
        until: Moment,
    ) -> Found {
        let number = shard_of(account);
        let mut search = QuotaSearch::new(account.clone());
        let mut keeper_refused = None;
        let mut none = NoKeeper::default();
        loop {
            let at = now();
            let Some(counter) = self.next_counter(&mut search, at, number, account, &mut none)
            else {
                break;
            };
            if at >= until {
                break;
            }
            none.asked += 1;
            let timeout = COUNTER_TIMEOUT.min(until.saturating_sub(at));
            let reply = self.ask_counter(&counter, request.clone(), timeout).await;
            let at = now();
            let mut inner = self.quota().lock();
            let Some(reply) = reply else {
                inner.skipped.record_unanswered(at, &counter.id);
                inner.shard(number).keeper.take_if(|keeper| keeper.id == counter.id);
                continue;
            };
            none.answered += 1;
            let due_in = reply.keeper_due_ms.map(Duration::from_millis);
            none.expect(due_in);
            inner.skipped.record_answered(&counter.id);
            let shard = inner.shard(number);
            let named = shard.voters.iter().find(|voter| *voter.id == *reply.keeper);
            let named = named.filter(|named| named.id != counter.id).cloned();
            if reply.keeps {
                shard.keeper = Some(counter.clone());
            } else if reply.holds_share {
                shard.keeper = shard.keeper.take().or(named);
            } else {
                let names_keeper = named.is_some();
                shard.keeper = named;
                if let Some(due_in) = due_in.filter(|_| names_keeper) {
                    inner.skipped.record_standby(at, &counter.id, account, at + due_in);
                }
                continue;
            }
            if reply.granted > 0 {
                let found =
                    if reply.keeps { Found::GrantedByKeeper } else { Found::GrantedByShare };
                return found(reply.granted);
            }
            let retry_after = Duration::from_millis(reply.retry_after_ms);
            inner.skipped.record_exhausted(at, &counter.id, account, at + retry_after);
            if reply.keeps {
                keeper_refused = Some(retry_after);
            } else {
                none.exhausted_shares += 1;
                none.expect(Some(retry_after));
            }
        }
        let keeper_refused = keeper_refused.or(none.keeper_exhausted);
        keeper_refused
            .map_or(Found::NoKeeper(none), |retry_after| Found::KeeperRefused { retry_after })
    }

    /// The instance to ask next, and in `none` what is known of the keeper.
    fn next_counter(
        &self,
        search: &mut QuotaSearch,
        at: Moment,
        number: ShardNumber,
        account: &AccountId,
        none: &mut NoKeeper,
    ) -> Option<InstanceRecord> {
        let inner = self.quota().lock();
        let shard = &inner.shards[number as usize];
        let counters = Counters {
            me: self.me(),
            holders: &shard.holders,
            keeper: shard.keeper.as_ref(),
            skipped: &inner.skipped,
        };
        let exhausted_until =
            |keeper: &InstanceRecord| inner.skipped.exhausted_until(at, &keeper.id, account);
        none.keeper_exhausted =
            counters.keeper.and_then(exhausted_until).map(|until| until.saturating_sub(at));
        search.next(at, &counters)
    }

    /// Asks one instance to count operations; `None` if it does not answer within `timeout`.
    /// Operations that a late answer grants are kept for later ones of the account.
    async fn ask_counter(
        &self,
        counter: &InstanceRecord,
        request: QuotaQuestion,
        timeout: Duration,
    ) -> Option<QuotaReply> {
        if counter.id == self.me().id {
            return Some(self.quota_reply(&request));
        }
        let (peers, quota) = (self.shared_peers(), self.quota().clone());
        let (id, address) = (counter.id.clone(), counter.peer_address);
        let (sender, mut receiver) = oneshot::channel();
        // A task of its own, because the connection would be closed if the exchange were
        // dropped before a late answer arrives.
        tokio::spawn(async move {
            let account = AccountId::from(request.account.as_str());
            let asked_at = now();
            let answer = peers.ask(address, Body::QuotaQuestion(request)).await;
            let Ok(Body::QuotaReply(reply)) = answer else {
                return;
            };
            quota.lock().skipped.record_answered(&id);
            if let Err(late) = sender.send(reply) {
                let mut inner = quota.lock();
                inner.allowance(now(), &account).granted_late(asked_at, late.granted);
            }
        });
        if let Ok(reply) = tokio::time::timeout(timeout, &mut receiver).await {
            return reply.ok();
        }
        // If this process was not scheduled for a while, the answer may have arrived as well.
        tokio::task::yield_now().await;
        receiver.try_recv().ok()
    }
}

/// Result of a search for an instance that counts an account's operations.
enum Found {
    /// The keeper granted this many operations.
    GrantedByKeeper(u32),
    /// A share holder granted this many operations.
    GrantedByShare(u32),
    /// The keeper refused, and so did the others that were asked.
    KeeperRefused { retry_after: Duration },
    /// No keeper answered.
    NoKeeper(NoKeeper),
}

/// What was found out in a search without an answer of the keeper.
#[derive(Default)]
struct NoKeeper {
    asked: u32,
    answered: u32,
    exhausted_shares: u32,
    /// Earliest time in which a keeper or a token of a share is expected.
    expected_in: Option<Duration>,
    /// How long the presumed keeper has no operations left, as it said earlier.
    keeper_exhausted: Option<Duration>,
}

impl NoKeeper {
    fn expect(&mut self, expected_in: Option<Duration>) {
        self.expected_in = self.expected_in.into_iter().chain(expected_in).min();
    }
}

/// Time for a second search, at the end of [`QUOTA_SEARCH_LIMIT`], if this instance has just
/// started and found nobody who counts operations: some round trips between failure domains.
const START_SEARCH_RESERVE: Duration = Duration::from_millis(15);

/// Number of instances that is assumed while the fleet is not listed.
const ASSUMED_FLEET_SIZE: usize = 64;

/// Largest fraction by which the retry time of a refusal is lengthened at random, so that
/// clients which were refused at the same time do not retry at the same time.
const RETRY_JITTER: f64 = 0.5;

fn with_jitter(retry_after: Duration) -> Duration {
    retry_after.mul_f64(1.0 + rand::random_range(0.0..RETRY_JITTER))
}

/// The refusal of an operation of an account that is at its limit.
fn rate_limited(limit: QuotaLimit, retry_after: Duration) -> Failure {
    let text = format!("{}: {} a second", ErrorKind::RateLimited, limit.rate_per_s);
    let failure = Failure { text: text.into(), ..Failure::new(ErrorKind::RateLimited) };
    failure.with_retry_after(with_jitter(retry_after))
}

/// The refusal of an operation that no instance counts.
fn quota_unknown(none: &NoKeeper) -> Failure {
    let NoKeeper { asked, answered, exhausted_shares, .. } = none;
    let kind = ErrorKind::QuotaUnknown;
    let text =
        format!("{kind}: {asked} asked, {answered} answered, {exhausted_shares} shares used up");
    let failure = Failure { text: text.into(), ..Failure::new(kind) };
    match none.expected_in {
        Some(expected_in) => failure.with_retry_after(with_jitter(expected_in)),
        None => failure,
    }
}
