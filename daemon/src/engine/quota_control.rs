//! Enforces the quotas of client accounts across all instances.
//!
//! Accounts are divided into shards by their name. For each shard one instance, the
//! *keeper*, counts the operations of its accounts; it holds a lease that a majority of
//! the shard's voters grants and renews. An instance that a client is connected to asks
//! the keeper before it begins an operation, and gets operations granted in advance for
//! busy accounts. While no keeper answers, each instance admits a fraction of the limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::engine_protos::KeeperVote;
use chervilwharf_lib::engine_protos::KeeperVoteReply;
use chervilwharf_lib::engine_protos::QuotaQuestion;
use chervilwharf_lib::engine_protos::QuotaReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::keeper_lease::Candidate;
use chervilwharf_lib::keeper_lease::KeeperLease;
use chervilwharf_lib::keeper_lease::RENEWAL_INTERVAL;
use chervilwharf_lib::keeper_lease::ShardNumber;
use chervilwharf_lib::keeper_lease::Vote;
use chervilwharf_lib::keeper_lease::Votes;
use chervilwharf_lib::keeper_lease::shard_of;
use chervilwharf_lib::keeper_lease::voters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota::Admission;
use chervilwharf_lib::quota::Allowance;
use chervilwharf_lib::quota::EnforcedQuota;
use chervilwharf_lib::quota::QuotaAnswer;
use chervilwharf_lib::quota::QuotaCounters;
use chervilwharf_lib::quota::keeper_request_interval;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::records;
use crate::engine::request::Failure;
use crate::engine::shared::Engine;

/// Time between two checks of the leases: a fraction of the delay by which the candidates
/// for a lease are staggered.
const SHARD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for a keeper's answer: several round trips, and short compared with the
/// latency objective of any request.
const KEEPER_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a keeper that did not answer is not asked again.
const KEEPER_SKIP_TIME: Duration = Duration::from_millis(300);

/// Number of instances that are asked for one operation: the presumed keeper, and the one
/// that it names instead.
const MAX_KEEPERS_ASKED: usize = 2;

/// State of one shard of accounts at this instance.
#[derive(Default)]
struct AccountShard {
    voters: Arc<Vec<InstanceRecord>>,
    /// This instance's lease as the keeper of the shard.
    lease: KeeperLease,
    renewed_at: Moment,
    counters: QuotaCounters,
    /// The presumed keeper: the instance that last answered as such, or that another one
    /// named.
    keeper: Option<InstanceRecord>,
}

struct Inner {
    /// Votes that this instance gave to keepers.
    votes: Votes,
    shards: Vec<AccountShard>,
    /// Records of instances from which the voters were computed.
    recorded: Vec<InstanceRecord>,
    /// Operations that keepers granted to this instance, by account.
    allowances: HashMap<AccountId, Allowance>,
    /// Instances that did not answer as keepers, and until when they are not asked again.
    skipped_until: HashMap<InstanceId, Moment>,
}

/// Quota state of an instance: as a keeper, as a voter and as an instance that admits
/// operations.
pub struct QuotaControl {
    inner: Mutex<Inner>,
}

impl QuotaControl {
    /// State of an instance that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(ACCOUNT_SHARDS as usize, AccountShard::default);
        Self {
            inner: Mutex::new(Inner {
                votes: Votes::new(started_at),
                shards,
                recorded: Vec::new(),
                allowances: HashMap::new(),
                skipped_until: HashMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("never poisoned")
    }
}

impl Inner {
    fn shard(&mut self, number: ShardNumber) -> &mut AccountShard {
        // Numbers from other instances are checked when a message is received.
        &mut self.shards[number as usize]
    }

    fn allowance(&mut self, at: Moment, account: &AccountId) -> &mut Allowance {
        self.allowances.entry(account.clone()).or_insert_with(|| Allowance::new(at))
    }

    /// The instance to ask as the keeper of a shard, except those in `asked` and those that
    /// are skipped: the presumed keeper, else the first voter.
    fn keeper(
        &mut self,
        at: Moment,
        shard: ShardNumber,
        asked: &[InstanceId],
    ) -> Option<InstanceRecord> {
        self.skipped_until.retain(|_, until| *until > at);
        let skipped = &self.skipped_until;
        let usable = |record: &&InstanceRecord| {
            !skipped.contains_key(&record.id) && !asked.contains(&record.id)
        };
        let shard = &self.shards[shard as usize];
        let known = shard.keeper.as_ref().filter(usable);
        known.or_else(|| shard.voters.iter().find(usable)).cloned()
    }
}

/// Obtains and renews the leases on shards of accounts that this instance should keep;
/// never returns.
pub async fn maintain_keeper_leases(engine: Arc<Engine>) {
    loop {
        tokio::time::sleep(SHARD_CHECK_INTERVAL).await;
        let has_accounts = engine.catalog().accounts.is_some();
        // An instance without a list of the others would count its own vote as a majority.
        if !has_accounts || !engine.is_fleet_listed() || !engine.is_fleet_known() {
            continue;
        }
        engine.update_keeper_voters();
        let shards = 0..ACCOUNT_SHARDS;
        let due: Vec<_> = shards.filter(|shard| engine.should_request_votes(*shard)).collect();
        join_all(due.into_iter().map(|shard| engine.request_votes(shard))).await;
    }
}

impl Engine {
    /// This instance as a candidate for a lease.
    fn as_candidate(&self) -> Candidate {
        Candidate { id: self.me().id.clone(), life: self.me().life }
    }

    /// The message that requests a vote for this instance, or returns the vote if `released`.
    fn vote_request(&self, shard: ShardNumber, released: bool) -> KeeperVote {
        let Candidate { id, life } = self.as_candidate();
        KeeperVote { shard, instance: id.to_string(), life, released }
    }

    fn update_keeper_voters(&self) {
        let recorded: Vec<_> = self.with_fleet(|fleet| {
            let others = fleet.others().cloned();
            others.chain([self.me().clone()]).collect()
        });
        let mut inner = self.quota().lock();
        if inner.recorded == recorded {
            return;
        }
        for number in 0..ACCOUNT_SHARDS {
            inner.shard(number).voters = Arc::new(voters(number, &recorded));
        }
        inner.recorded = recorded;
    }

    fn should_request_votes(&self, number: ShardNumber) -> bool {
        let at = now();
        if self.is_stopping() {
            self.release_shard(number);
            return false;
        }
        let inner = &mut *self.quota().lock();
        let shard = &mut inner.shards[number as usize];
        let Some(rank) = shard.voters.iter().position(|voter| voter.id == self.me().id) else {
            return false;
        };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let is_due = if shard.lease.is_held(at) {
            shard.renewed_at + RENEWAL_INTERVAL <= at
        } else {
            inner.votes.should_try(at, number, rank)
        };
        if is_due {
            shard.renewed_at = at;
        }
        is_due
    }

    async fn request_votes(&self, number: ShardNumber) {
        let voters = self.quota().lock().shard(number).voters.clone();
        let asking = voters.iter().map(|voter| self.request_vote(number, voter));
        join_all(asking).await;
        let at = now();
        let (gained, held) = {
            let mut inner = self.quota().lock();
            let shard = inner.shard(number);
            let gained = shard.lease.check(at, &voters);
            if gained {
                shard.counters.restart_counts();
            }
            (gained, shard.lease.is_held(at))
        };
        if gained {
            event_log::emit(&Event::new(EventKind::KeeperGained).with("shard", number));
        }
        if !held {
            // Return votes that make no majority, so that other candidates can have them.
            self.release_shard(number);
        }
    }

    async fn request_vote(&self, number: ShardNumber, voter: &InstanceRecord) {
        let asked_at = now();
        let request = self.vote_request(number, false);
        let reply = if voter.id == self.me().id {
            self.keeper_vote(&request)
        } else {
            match self.peers().ask(voter.peer_address, Body::KeeperVote(request)).await {
                Ok(Body::KeeperVoteReply(reply)) => reply,
                // A voter that does not answer has not voted.
                Ok(_) | Err(_) => return,
            }
        };
        let vote = if reply.granted { Vote::Granted { fresh: reply.fresh } } else { Vote::Refused };
        let mut inner = self.quota().lock();
        inner.shard(number).lease.answered(asked_at, &voter.id, &vote);
    }

    /// Ends the lease on a shard and returns its votes, if there are any.
    fn release_shard(&self, number: ShardNumber) {
        let me = self.as_candidate();
        let voters = {
            let inner = &mut *self.quota().lock();
            let shard = &mut inner.shards[number as usize];
            if !shard.lease.has_votes() {
                return;
            }
            shard.lease.end();
            inner.votes.release(now(), number, &me);
            inner.shards[number as usize].voters.clone()
        };
        for voter in voters.iter().filter(|voter| voter.id != me.id) {
            let request = self.vote_request(number, true);
            let (peers, address) = (self.shared_peers(), voter.peer_address);
            tokio::spawn(async move {
                // A failure is ignored: the vote then expires.
                drop(peers.ask(address, Body::KeeperVote(request)).await);
            });
        }
    }

    /// Answers a candidate that requests the vote of this instance for a shard, or returns
    /// it.
    #[must_use]
    pub fn keeper_vote(&self, request: &KeeperVote) -> KeeperVoteReply {
        if request.shard >= ACCOUNT_SHARDS {
            return KeeperVoteReply::default();
        }
        let (at, instance) = (now(), request.instance.as_str());
        let candidate = Candidate { id: instance.into(), life: request.life };
        let mut inner = self.quota().lock();
        if request.released {
            inner.votes.release(at, request.shard, &candidate);
            return KeeperVoteReply::default();
        }
        match inner.votes.handle_vote_request(at, request.shard, candidate) {
            Vote::Granted { fresh } => KeeperVoteReply { granted: true, fresh },
            Vote::Refused => KeeperVoteReply::default(),
        }
    }

    /// Answers an instance that wants to begin operations of an account: grants them or
    /// refuses them as the keeper, or names the instance that is the keeper.
    #[must_use]
    pub fn quota_reply(&self, request: &QuotaQuestion) -> QuotaReply {
        let (at, account) = (now(), AccountId::from(request.account.as_str()));
        let shard_number = shard_of(&account);
        let limit = self.newest_limit(&account, request);
        let mut inner = self.quota().lock();
        if !inner.shard(shard_number).lease.is_held(at) {
            let keeper = inner.votes.keeper(at, shard_number);
            let keeper = keeper.map(ToString::to_string).unwrap_or_default();
            return QuotaReply { keeper, ..QuotaReply::default() };
        }
        let Some(limit) = limit else {
            return QuotaReply { keeps: true, granted: request.wanted, ..QuotaReply::default() };
        };
        let shard = inner.shard(shard_number);
        match shard.counters.handle_request(at, &account, limit, request.wanted) {
            QuotaAnswer::Granted(granted) => {
                QuotaReply { keeps: true, granted, ..QuotaReply::default() }
            }
            QuotaAnswer::Exhausted { retry_after } => {
                let retry_after_ms = records::milliseconds(retry_after);
                QuotaReply { keeps: true, retry_after_ms, ..QuotaReply::default() }
            }
        }
    }

    /// The limit that is enforced: the account's limit plus the tolerance of the platform.
    fn tolerated(&self, limit: QuotaLimit) -> EnforcedQuota {
        self.quota_tolerance().map_or(limit.into(), |tolerance| tolerance.applied_to(limit))
    }

    /// The enforced limit of an account by the later configuration: that of the request or
    /// that of this instance. `None` if the account has no limit.
    fn newest_limit(&self, account: &AccountId, request: &QuotaQuestion) -> Option<EnforcedQuota> {
        let catalog = self.catalog();
        if request.configuration_version > catalog.version {
            let (rate_per_s, burst) = (request.rate_per_s, request.burst);
            return Some(self.tolerated(QuotaLimit { rate_per_s, burst }));
        }
        Some(self.tolerated(catalog.accounts.as_ref()?.limit(account)?))
    }

    /// Admits an operation of an account, from the operations granted in advance or by
    /// asking the keeper. Waits for a keeper's answer at most for about `max_wait`.
    ///
    /// # Errors
    ///
    /// When the account is at its limit, or no keeper answers and the fraction that is
    /// admitted without one is used up. The operation has not run.
    pub async fn admit_operation(
        &self,
        account: &AccountId,
        max_wait: Duration,
    ) -> Result<(), Failure> {
        let catalog = self.catalog();
        let Some(limit) = catalog.accounts.as_ref().and_then(|all| all.limit(account)) else {
            return Ok(());
        };
        let at = now();
        let admission = self.quota().lock().allowance(at, account).admit(at);
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
        };
        let instances = self.with_fleet(|fleet| fleet.others().count() + 1);
        let asked_at = now();
        let Some(reply) = self.find_keeper(account, request, asked_at + max_wait).await else {
            let mut inner = self.quota().lock();
            let at = now();
            let instances = if self.is_fleet_listed() { instances } else { ASSUMED_FLEET_SIZE };
            let admitted = inner.allowance(at, account).admit_without_keeper(at, limit, instances);
            return admitted.then_some(()).ok_or_else(|| Failure::new(ErrorKind::QuotaUnknown));
        };
        let at = now();
        let mut inner = self.quota().lock();
        let allowance = inner.allowance(at, account);
        if reply.granted > 0 {
            allowance.granted(asked_at, reply.granted);
            return Ok(());
        }
        allowance.exhausted(at, keeper_request_interval(limit, instances));
        Err(rate_limited(limit, Duration::from_millis(reply.retry_after_ms)))
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

    /// Asks the keeper of an account, and retries until about `until` while none answers;
    /// `None` if none answered.
    ///
    /// After all instances were killed, keepers obtain their leases some hundred
    /// milliseconds after the first clients reconnect. Without these retries the clients
    /// would use up theirs in that time.
    async fn find_keeper(
        &self,
        account: &AccountId,
        request: QuotaQuestion,
        until: Moment,
    ) -> Option<QuotaReply> {
        loop {
            let reply = self.ask_keeper(account, request.clone()).await;
            if reply.is_some() || now() + KEEPER_RETRY_INTERVAL >= until {
                return reply;
            }
            tokio::time::sleep(KEEPER_RETRY_INTERVAL).await;
        }
    }

    /// Asks the keeper of an account once; `None` if no keeper answers.
    async fn ask_keeper(&self, account: &AccountId, request: QuotaQuestion) -> Option<QuotaReply> {
        let shard = shard_of(account);
        let mut asked = Vec::new();
        while asked.len() < MAX_KEEPERS_ASKED {
            let keeper = self.quota().lock().keeper(now(), shard, &asked)?;
            asked.push(keeper.id.clone());
            let Some(reply) = self.ask_one_keeper(&keeper, request.clone()).await else {
                let mut inner = self.quota().lock();
                inner.skipped_until.insert(keeper.id.clone(), now() + KEEPER_SKIP_TIME);
                inner.shard(shard).keeper = None;
                continue;
            };
            let mut inner = self.quota().lock();
            if reply.keeps {
                inner.shard(shard).keeper = Some(keeper);
                return Some(reply);
            }
            let named = inner.shard(shard).voters.iter().find(|voter| *voter.id == *reply.keeper);
            let named = named.cloned();
            inner.shard(shard).keeper = named;
        }
        None
    }

    async fn ask_one_keeper(
        &self,
        keeper: &InstanceRecord,
        request: QuotaQuestion,
    ) -> Option<QuotaReply> {
        if keeper.id == self.me().id {
            return Some(self.quota_reply(&request));
        }
        let asking = self.peers().ask(keeper.peer_address, Body::QuotaQuestion(request));
        match tokio::time::timeout(KEEPER_ANSWER_TIMEOUT, asking).await {
            Ok(Ok(Body::QuotaReply(reply))) => Some(reply),
            _ => None,
        }
    }
}

/// Delay before the keeper is asked again after no keeper answered.
const KEEPER_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Number of instances that is assumed while the fleet is not listed.
const ASSUMED_FLEET_SIZE: usize = 64;

/// Largest fraction by which the retry time of a refusal is lengthened at random, so that
/// clients which were refused at the same time do not retry at the same time.
const RETRY_JITTER: f64 = 0.5;

/// The refusal of an operation of an account that is at its limit.
fn rate_limited(limit: QuotaLimit, retry_after: Duration) -> Failure {
    let jitter_factor = 1.0 + rand::random_range(0.0..RETRY_JITTER);
    let text = format!("{}: {} a second", ErrorKind::RateLimited, limit.rate_per_s);
    let failure = Failure { text: text.into(), ..Failure::new(ErrorKind::RateLimited) };
    failure.with_retry_after(retry_after.mul_f64(jitter_factor))
}
