//! Counts the operations of accounts with the other instances.

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
use chervilwharf_lib::keeper_lease::Candidate;
use chervilwharf_lib::keeper_lease::KeeperLease;
use chervilwharf_lib::keeper_lease::RENEWAL;
use chervilwharf_lib::keeper_lease::SHARDS;
use chervilwharf_lib::keeper_lease::ShardNumber;
use chervilwharf_lib::keeper_lease::Vote;
use chervilwharf_lib::keeper_lease::Votes;
use chervilwharf_lib::keeper_lease::shard_of;
use chervilwharf_lib::keeper_lease::voters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota::Admission;
use chervilwharf_lib::quota::Allowance;
use chervilwharf_lib::quota::QuotaAnswer;
use chervilwharf_lib::quota::QuotaBook;
use chervilwharf_lib::quota::QuotaGrant;
use chervilwharf_lib::quota::ask_again_after;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::request::Failure;
use crate::engine::shared::Engine;

/// Time between two looks at the shards: a fraction of the stagger of candidates.
const SHARD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for a keeper's answer: several round trips, and short against the
/// objective of any request.
const KEEPER_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// A keeper that did not answer is not asked again for this long.
const KEEPER_SKIP_TIME: Duration = Duration::from_millis(300);

/// Keepers that are asked for one operation: one that is believed to be it, and one
/// that the first names.
const MAX_KEEPERS_ASKED: usize = 2;

/// What an instance does about one shard of accounts.
#[derive(Default)]
struct AccountShard {
    voters: Arc<Vec<InstanceRecord>>,
    lease: KeeperLease,
    renewed_at: Moment,
    counters: QuotaBook,
    /// The instance that answered last as the keeper.
    keeper: Option<InstanceRecord>,
}

struct Inner {
    votes: Votes,
    shards: Vec<AccountShard>,
    /// Records from which the voters were computed.
    recorded: Vec<InstanceRecord>,
    allowances: HashMap<AccountId, Allowance>,
    skipped_until: HashMap<InstanceId, Moment>,
}

/// What an instance knows of quotas.
pub struct QuotaControl {
    inner: Mutex<Inner>,
}

impl QuotaControl {
    /// An instance that has just started.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(SHARDS as usize, AccountShard::default);
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
        // Numbers of other instances are checked where they come in.
        &mut self.shards[number as usize]
    }

    fn allowance(&mut self, at: Moment, account: &AccountId) -> &mut Allowance {
        self.allowances.entry(account.clone()).or_insert_with(|| Allowance::new(at))
    }

    /// The instance to ask about a shard, but for those that were asked: who answered
    /// last, else the first voter that is not silent.
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

/// Keeps shards of accounts, as long as this instance should, for ever.
pub async fn maintain_keeper_leases(engine: Arc<Engine>) {
    loop {
        tokio::time::sleep(SHARD_CHECK_INTERVAL).await;
        let has_accounts = engine.catalog().accounts.is_some();
        // Who knows no others would take itself for a majority.
        if !has_accounts || !engine.is_fleet_listed() || !engine.is_fleet_known() {
            continue;
        }
        engine.update_keeper_voters();
        let shards = 0..SHARDS;
        let due: Vec<_> = shards.filter(|shard| engine.should_request_votes(*shard)).collect();
        join_all(due.into_iter().map(|shard| engine.request_votes(shard))).await;
    }
}

impl Engine {
    /// The candidate that this instance is.
    fn as_candidate(&self) -> Candidate {
        Candidate { id: self.me().id.clone(), life: self.me().life }
    }

    /// Asks for a vote, or gives it back.
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
        for number in 0..SHARDS {
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
            shard.renewed_at + RENEWAL <= at
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
                shard.counters.begin_again();
            }
            (gained, shard.lease.is_held(at))
        };
        if gained {
            event_log::emit(&Event::new(EventKind::KeeperGained).with("shard", number));
        }
        if !held {
            // Others must not wait for votes that were of no use.
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

    /// Gives a shard up, if it is kept or votes for it were asked for.
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
                // Without an answer the vote ends by itself.
                drop(peers.ask(address, Body::KeeperVote(request)).await);
            });
        }
    }

    /// Another instance wants to keep a shard, or does not any more.
    #[must_use]
    pub fn keeper_vote(&self, request: &KeeperVote) -> KeeperVoteReply {
        if request.shard >= SHARDS {
            return KeeperVoteReply::default();
        }
        let (at, instance) = (now(), request.instance.as_str());
        let candidate = Candidate { id: instance.into(), life: request.life };
        let mut inner = self.quota().lock();
        if request.released {
            inner.votes.release(at, request.shard, &candidate);
            return KeeperVoteReply::default();
        }
        match inner.votes.ask(at, request.shard, candidate) {
            Vote::Granted { fresh } => KeeperVoteReply { granted: true, fresh },
            Vote::Refused => KeeperVoteReply::default(),
        }
    }

    /// Operations of an account are about to begin at another instance.
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
        match shard.counters.ask(at, &account, limit, request.wanted) {
            QuotaAnswer::Granted(granted) => {
                QuotaReply { keeps: true, granted, ..QuotaReply::default() }
            }
            QuotaAnswer::Exhausted { retry_after } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                QuotaReply { keeps: true, retry_after_ms, ..QuotaReply::default() }
            }
        }
    }

    /// What an account with this limit is let begin.
    fn tolerated(&self, limit: QuotaLimit) -> QuotaGrant {
        self.quota_tolerance().map_or(limit.into(), |tolerance| tolerance.applied_to(limit))
    }

    /// The limit of an account by the newer one of two configurations.
    fn newest_limit(&self, account: &AccountId, request: &QuotaQuestion) -> Option<QuotaGrant> {
        let catalog = self.catalog();
        if request.configuration_version > catalog.version {
            let (rate_per_s, burst) = (request.rate_per_s, request.burst);
            return Some(self.tolerated(QuotaLimit { rate_per_s, burst }));
        }
        Some(self.tolerated(catalog.accounts.as_ref()?.limit(account)?))
    }

    /// An operation of an account is about to begin here.
    ///
    /// # Errors
    ///
    /// When the account is at its limit, or nobody can tell. Nothing has run.
    pub async fn admit_operation(
        &self,
        account: &AccountId,
        patience: Duration,
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
            Admission::Ask(wanted) => wanted,
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
        let Some(reply) = self.find_keeper(account, request, asked_at + patience).await else {
            let mut inner = self.quota().lock();
            let at = now();
            let instances = if self.is_fleet_listed() { instances } else { ASSUMED_FLEET_SIZE };
            let admitted = inner.allowance(at, account).admit_alone(at, limit, instances);
            return admitted.then_some(()).ok_or_else(|| Failure::new(ErrorKind::QuotaUnknown));
        };
        let at = now();
        let mut inner = self.quota().lock();
        let allowance = inner.allowance(at, account);
        if reply.granted > 0 {
            allowance.granted(asked_at, reply.granted);
            return Ok(());
        }
        allowance.exhausted(at, ask_again_after(limit, instances));
        Err(rate_limited(limit, Duration::from_millis(reply.retry_after_ms)))
    }

    /// An operation that was admitted did not run.
    pub fn refund_operation(&self, account: &AccountId) {
        let at = now();
        let limited =
            self.catalog().accounts.as_ref().is_some_and(|all| all.limit(account).is_some());
        if limited {
            self.quota().lock().allowance(at, account).refund(at);
        }
    }

    /// Asks the keeper of an account, again and again while there is none; `None` if
    /// none answers until then.
    ///
    /// After all instances were killed the keepers are found some hundred
    /// milliseconds later than the first clients come back, who would use up their
    /// tries meanwhile.
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

    /// Asks the keeper of an account; `None` if none answers.
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

/// Pause before a keeper is looked for again.
const KEEPER_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Instances that are assumed where it is not known how many there are.
const ASSUMED_FLEET_SIZE: usize = 64;

/// Refusals are told return times up to this much longer, so that those refused
/// together do not come back together.
const RETRY_JITTER: f64 = 0.5;

fn rate_limited(limit: QuotaLimit, retry_after: Duration) -> Failure {
    let spread = 1.0 + rand::random_range(0.0..RETRY_JITTER);
    let text = format!("{}: {} a second", ErrorKind::RateLimited, limit.rate_per_s);
    let failure = Failure { text: text.into(), ..Failure::new(ErrorKind::RateLimited) };
    failure.with_retry_after(retry_after.mul_f64(spread))
}
