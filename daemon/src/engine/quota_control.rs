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
use chervilwharf_lib::quota::ask_again_after;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::request::Failure;
use crate::engine::shared::Engine;

/// Time between two looks at the shards: a fraction of the stagger of candidates.
const ROUND: Duration = Duration::from_millis(50);

/// Longest time for a keeper's answer: several round trips, and short against the
/// objective of any request.
const ASK_LIMIT: Duration = Duration::from_millis(100);

/// A keeper that did not answer is not asked again for this long.
const SILENT_FOR: Duration = Duration::from_millis(300);

/// Keepers that are asked for one operation: one that is believed to be it, and one
/// that the first names.
const KEEPERS_ASKED: usize = 2;

/// What an instance does about one shard of accounts.
#[derive(Default)]
struct AccountShard {
    voters: Arc<Vec<InstanceRecord>>,
    lease: KeeperLease,
    renewed_at: Moment,
    book: QuotaCounters,
    /// The instance that answered last as the keeper.
    keeper: Option<InstanceRecord>,
}

struct Inner {
    votes: Votes,
    shards: Vec<AccountShard>,
    /// Records from which the voters were computed.
    recorded: Vec<InstanceRecord>,
    allowances: HashMap<AccountId, Allowance>,
    silent_until: HashMap<InstanceId, Moment>,
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
        shards.resize_with(ACCOUNT_SHARDS as usize, AccountShard::default);
        Self {
            inner: Mutex::new(Inner {
                votes: Votes::new(started_at),
                shards,
                recorded: Vec::new(),
                allowances: HashMap::new(),
                silent_until: HashMap::new(),
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
        self.silent_until.retain(|_, until| *until > at);
        let silent = &self.silent_until;
        let usable = |record: &&InstanceRecord| {
            !silent.contains_key(&record.id) && !asked.contains(&record.id)
        };
        let shard = &self.shards[shard as usize];
        let known = shard.keeper.as_ref().filter(usable);
        known.or_else(|| shard.voters.iter().find(usable)).cloned()
    }
}

/// Keeps shards of accounts, as long as this instance should, for ever.
pub async fn maintain_keeper_leases(engine: Arc<Engine>) {
    loop {
        tokio::time::sleep(ROUND).await;
        let counts = engine.catalog().accounts.is_some();
        // Who knows no others would take itself for a majority.
        if !counts || !engine.is_fleet_listed() || !engine.is_fleet_known() {
            continue;
        }
        engine.update_keeper_voters();
        let shards = 0..ACCOUNT_SHARDS;
        let due: Vec<_> = shards.filter(|shard| engine.should_ask_votes(*shard)).collect();
        join_all(due.into_iter().map(|shard| engine.ask_votes(shard))).await;
    }
}

impl Engine {
    /// The candidate that this instance is.
    fn as_candidate(&self) -> Candidate {
        Candidate { id: self.me().id.clone(), life: self.me().life }
    }

    /// Asks for a vote, or gives it back.
    fn vote_question(&self, shard: ShardNumber, released: bool) -> KeeperVote {
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

    fn should_ask_votes(&self, number: ShardNumber) -> bool {
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
        let asks = if shard.lease.is_held(at) {
            shard.renewed_at + RENEWAL_INTERVAL <= at
        } else {
            inner.votes.should_try(at, number, rank)
        };
        if asks {
            shard.renewed_at = at;
        }
        asks
    }

    async fn ask_votes(&self, number: ShardNumber) {
        let voters = self.quota().lock().shard(number).voters.clone();
        let asking = voters.iter().map(|voter| self.ask_vote(number, voter));
        join_all(asking).await;
        let at = now();
        let (gained, held) = {
            let mut inner = self.quota().lock();
            let shard = inner.shard(number);
            let gained = shard.lease.check(at, &voters);
            if gained {
                shard.book.restart_counts();
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

    async fn ask_vote(&self, number: ShardNumber, voter: &InstanceRecord) {
        let asked_at = now();
        let question = self.vote_question(number, false);
        let reply = if voter.id == self.me().id {
            self.keeper_vote(&question)
        } else {
            match self.peers().ask(voter.peer_address, Body::KeeperVote(question)).await {
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
            let question = self.vote_question(number, true);
            let (peers, address) = (self.shared_peers(), voter.peer_address);
            tokio::spawn(async move {
                // Without an answer the vote ends by itself.
                drop(peers.ask(address, Body::KeeperVote(question)).await);
            });
        }
    }

    /// Another instance wants to keep a shard, or does not any more.
    #[must_use]
    pub fn keeper_vote(&self, question: &KeeperVote) -> KeeperVoteReply {
        if question.shard >= ACCOUNT_SHARDS {
            return KeeperVoteReply::default();
        }
        let (at, instance) = (now(), question.instance.as_str());
        let candidate = Candidate { id: instance.into(), life: question.life };
        let mut inner = self.quota().lock();
        if question.released {
            inner.votes.release(at, question.shard, &candidate);
            return KeeperVoteReply::default();
        }
        match inner.votes.ask(at, question.shard, candidate) {
            Vote::Granted { fresh } => KeeperVoteReply { granted: true, fresh },
            Vote::Refused => KeeperVoteReply::default(),
        }
    }

    /// Operations of an account are about to begin at another instance.
    #[must_use]
    pub fn quota_reply(&self, question: &QuotaQuestion) -> QuotaReply {
        let (at, account) = (now(), AccountId::from(question.account.as_str()));
        let shard_number = shard_of(&account);
        let limit = self.newest_limit(&account, question);
        let mut inner = self.quota().lock();
        if !inner.shard(shard_number).lease.is_held(at) {
            let keeper = inner.votes.keeper(at, shard_number);
            let keeper = keeper.map(ToString::to_string).unwrap_or_default();
            return QuotaReply { keeper, ..QuotaReply::default() };
        }
        let Some(limit) = limit else {
            return QuotaReply { keeps: true, granted: question.wanted, ..QuotaReply::default() };
        };
        let shard = inner.shard(shard_number);
        match shard.book.ask(at, &account, limit, question.wanted) {
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
    fn tolerated(&self, limit: QuotaLimit) -> EnforcedQuota {
        self.quota_tolerance().map_or(limit.into(), |tolerance| tolerance.applied_to(limit))
    }

    /// The limit of an account by the newer one of two configurations.
    fn newest_limit(&self, account: &AccountId, question: &QuotaQuestion) -> Option<EnforcedQuota> {
        let catalog = self.catalog();
        if question.configuration_version > catalog.version {
            let (rate_per_s, burst) = (question.rate_per_s, question.burst);
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
            Admission::Refused { retry_after } => return Err(at_limit(limit, retry_after)),
            Admission::Ask(wanted) => wanted,
        };
        let question = QuotaQuestion {
            account: account.to_string(),
            wanted,
            rate_per_s: limit.rate_per_s,
            burst: limit.burst,
            configuration_version: catalog.version,
        };
        let instances = self.with_fleet(|fleet| fleet.others().count() + 1);
        let asked_at = now();
        let Some(reply) = self.find_keeper(account, question, asked_at + max_wait).await else {
            let mut inner = self.quota().lock();
            let at = now();
            let instances = if self.is_fleet_listed() { instances } else { UNKNOWN_FLEET };
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
        allowance.exhausted(at, ask_again_after(limit, instances));
        Err(at_limit(limit, Duration::from_millis(reply.retry_after_ms)))
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
        question: QuotaQuestion,
        until: Moment,
    ) -> Option<QuotaReply> {
        loop {
            let reply = self.ask_keeper(account, question.clone()).await;
            if reply.is_some() || now() + KEEPER_PAUSE >= until {
                return reply;
            }
            tokio::time::sleep(KEEPER_PAUSE).await;
        }
    }

    /// Asks the keeper of an account; `None` if none answers.
    async fn ask_keeper(&self, account: &AccountId, question: QuotaQuestion) -> Option<QuotaReply> {
        let shard = shard_of(account);
        let mut asked = Vec::new();
        while asked.len() < KEEPERS_ASKED {
            let keeper = self.quota().lock().keeper(now(), shard, &asked)?;
            asked.push(keeper.id.clone());
            let Some(reply) = self.ask_one_keeper(&keeper, question.clone()).await else {
                let mut inner = self.quota().lock();
                inner.silent_until.insert(keeper.id.clone(), now() + SILENT_FOR);
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
        question: QuotaQuestion,
    ) -> Option<QuotaReply> {
        if keeper.id == self.me().id {
            return Some(self.quota_reply(&question));
        }
        let asking = self.peers().ask(keeper.peer_address, Body::QuotaQuestion(question));
        match tokio::time::timeout(ASK_LIMIT, asking).await {
            Ok(Ok(Body::QuotaReply(reply))) => Some(reply),
            _ => None,
        }
    }
}

/// Pause before a keeper is looked for again.
const KEEPER_PAUSE: Duration = Duration::from_millis(40);

/// Instances that are assumed where it is not known how many there are.
const UNKNOWN_FLEET: usize = 64;

/// Refusals are told return times up to this much longer, so that those refused
/// together do not come back together.
const RETURN_SPREAD: f64 = 0.5;

fn at_limit(limit: QuotaLimit, retry_after: Duration) -> Failure {
    let spread = 1.0 + rand::random_range(0.0..RETURN_SPREAD);
    let text = format!("{}: {} a second", ErrorKind::RateLimited, limit.rate_per_s);
    let failure = Failure { text: text.into(), ..Failure::new(ErrorKind::RateLimited) };
    failure.with_retry_after(retry_after.mul_f64(spread))
}
