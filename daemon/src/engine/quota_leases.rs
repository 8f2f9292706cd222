//! Leases of keepers and shares of limits: requests for votes, answers to them, and the
//! grants of shares that they carry.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::engine_protos::KeeperVote;
use chervilwharf_lib::engine_protos::KeeperVoteReply;
use chervilwharf_lib::engine_protos::ShareLease;
use chervilwharf_lib::engine_protos::ShareQuestion;
use chervilwharf_lib::engine_protos::ShareReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::keeper_lease::Candidate;
use chervilwharf_lib::keeper_lease::RENEWAL_INTERVAL;
use chervilwharf_lib::keeper_lease::ShardNumber;
use chervilwharf_lib::keeper_lease::Vote;
use chervilwharf_lib::keeper_lease::candidates;
use chervilwharf_lib::keeper_lease::preferred_keeper_voters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota_share::STANDBY_TIME;
use chervilwharf_lib::quota_share::ShareGrant;
use chervilwharf_lib::quota_share::ShareReport;
use chervilwharf_lib::quota_share::ShareState;
use chervilwharf_lib::share_holders::extra_share_holders;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::records;
use crate::engine::shared::Engine;
use crate::engine::voter_control::later_voters;

/// Time between two checks of the leases: a fraction of the delay by which the candidates
/// for a lease are staggered.
const SHARD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks whether the other instances are known, which is necessary for
/// the first request for votes. Clients may wait for it.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Obtains and renews the leases on shards of accounts that this instance should keep;
/// never returns.
pub async fn maintain_keeper_leases(engine: Arc<Engine>) {
    loop {
        let awaits_voters = engine.catalog().accounts.is_some() && !engine.has_voters();
        let interval = if awaits_voters { START_CHECK_INTERVAL } else { SHARD_CHECK_INTERVAL };
        tokio::time::sleep(interval).await;
        let has_accounts = engine.catalog().accounts.is_some();
        // An instance without a list of the others would count its own vote as a majority.
        if !has_accounts || !engine.is_fleet_listed() || !engine.is_fleet_known() {
            continue;
        }
        engine.update_keeper_voters();
        engine.log_share_changes();
        for shard in 0..ACCOUNT_SHARDS {
            if engine.should_request_votes(shard) {
                // A task of its own: an instance that does not answer must not delay the
                // next renewal, because promises outlast only two of them.
                tokio::spawn(run_vote_round(engine.clone(), shard));
            }
        }
    }
}

/// Requests votes for a shard, and a second time at once if that gained the lease: only
/// then do share holders promise not to count.
async fn run_vote_round(engine: Arc<Engine>, shard: ShardNumber) {
    if engine.request_votes(shard).await {
        engine.request_votes(shard).await;
    }
    engine.quota().lock().shard(shard).is_candidacy_open = false;
    ask_for_shares(&engine, shard);
}

/// Asks the share holders that are no voters for their votes, which bind them to this
/// keeper but do not count towards its lease. Does not wait for the answers.
fn ask_extra_holders(engine: &Arc<Engine>, number: ShardNumber) {
    let holders = {
        let mut inner = engine.quota().lock();
        let shard = inner.shard(number);
        if !shard.lease.is_held(now()) {
            return;
        }
        shard.extra_holders_asked = true;
        shard.extra_holders.clone()
    };
    for index in 0..holders.len() {
        let (engine, holders) = (engine.clone(), holders.clone());
        tokio::spawn(async move { engine.request_vote(number, &holders[index]).await });
    }
}

/// Asks the instances that are no share holders, and have not reported since this instance
/// became the keeper, which share they hold.
fn ask_for_shares(engine: &Arc<Engine>, number: ShardNumber) {
    for record in engine.unreported_instances(number) {
        let engine = engine.clone();
        tokio::spawn(async move {
            let Candidate { id, life } = engine.as_candidate();
            let question = ShareQuestion { shard: number, instance: id.to_string(), life };
            let asked_at = now();
            let answer = engine.peers().ask(record.peer_address, Body::ShareQuestion(question));
            if let Ok(Body::ShareReply(reply)) = answer.await {
                engine.record_share_report(number, asked_at, &record.id, reply);
            }
        });
    }
}

/// The message with a report.
fn share_reply(report: ShareReport) -> ShareReply {
    // Rounded up, because a keeper must not count a share for a shorter time.
    let left = report.left;
    let left_ms = if left.is_zero() { 0 } else { records::milliseconds_above(left) };
    let timestamp_ms = report.timestamp.map(records::milliseconds);
    // Rounded down, because a keeper must not rely on a promise for a longer time.
    let standby = Some(report.standby).filter(|standby| !standby.is_zero());
    let standby_ms = standby.map(records::milliseconds);
    ShareReply { life: report.life, left_ms, timestamp_ms, standby_ms }
}

impl Engine {
    /// This instance as a candidate for a lease.
    fn as_candidate(&self) -> Candidate {
        Candidate { id: self.me().id.clone(), life: self.me().life }
    }

    /// The message that requests a vote for this instance, or returns the vote if `released`.
    fn vote_request(
        &self,
        shard: ShardNumber,
        released: bool,
        share: Option<ShareGrant>,
        holds_lease: bool,
    ) -> KeeperVote {
        let Candidate { id, life } = self.as_candidate();
        let at = now();
        let (voters_version, confirmed_at) = {
            let mut inner = self.quota().lock();
            let known = &inner.shard(shard).known_voters;
            (known.set().version, known.confirmed_at())
        };
        let voters_confirmed_ms_ago =
            confirmed_at.map(|since| records::milliseconds_above(at.saturating_sub(since)));
        let share = share.map(|grant| ShareLease {
            life: grant.life,
            timestamp_ms: records::milliseconds(grant.timestamp),
        });
        KeeperVote {
            shard,
            instance: id.to_string(),
            life,
            released,
            share,
            holds_lease,
            voters_version,
            voters_confirmed_ms_ago,
        }
    }

    /// Whether the voters were computed from the list of instances.
    fn has_voters(&self) -> bool {
        !self.quota().lock().recorded.is_empty()
    }

    pub(super) fn update_keeper_voters(&self) {
        let changes = self.with_fleet(|fleet| fleet.changes());
        let computed_at = Some((changes, self.is_stopping()));
        {
            let inner = self.quota().lock();
            if inner.computed_at == computed_at && !inner.are_voters_outdated {
                return;
            }
        }
        let recorded: Vec<_> = self.with_fleet(|fleet| {
            let others = fleet.others().cloned();
            others.chain([self.me().clone()]).collect()
        });
        let staying = recorded.iter().filter(|record| !self.is_leaving(&record.id));
        let staying: Vec<_> = staying.cloned().collect();
        let mut inner = self.quota().lock();
        inner.are_voters_outdated = false;
        inner.computed_at = computed_at;
        for number in 0..ACCOUNT_SHARDS {
            let shard = inner.shard(number);
            let preferred = preferred_keeper_voters(number, &recorded);
            let known = shard.known_voters.set();
            let voters = if known.is_known() {
                let ordered = candidates(number, &recorded).into_iter();
                ordered.filter(|record| known.contains(&record.id)).cloned().collect()
            } else {
                preferred.clone()
            };
            let extra = extra_share_holders(number, &recorded, &voters);
            shard.preferred_voters = preferred.into_iter().map(|record| record.id).collect();
            shard.preferred_voters.sort_unstable();
            let staying = preferred_keeper_voters(number, &staying);
            shard.staying_voters = staying.into_iter().map(|record| record.id).collect();
            shard.staying_voters.sort_unstable();
            shard.holders = Arc::new(voters.iter().chain(&extra).cloned().collect());
            shard.voters = Arc::new(voters);
            shard.extra_holders = Arc::new(extra);
        }
        let others = recorded.iter().filter(|record| record.id != self.me().id);
        inner.others = Arc::new(others.map(|record| record.id.clone()).collect());
        inner.recorded = recorded;
    }

    fn should_request_votes(&self, number: ShardNumber) -> bool {
        let at = now();
        if self.is_stopping() || !self.is_keeper_candidate(number) {
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
            !shard.is_candidacy_open && inner.votes.should_try(at, number, rank)
        };
        if is_due {
            shard.is_candidacy_open = true;
            shard.renewed_at = at;
        }
        is_due
    }

    /// Requests the votes for a shard. Returns whether that gained the lease.
    async fn request_votes(self: &Arc<Self>, number: ShardNumber) -> bool {
        ask_extra_holders(self, number);
        let voters = self.quota().lock().shard(number).voters.clone();
        let asking = voters.iter().map(|voter| self.request_vote(number, voter));
        join_all(asking).await;
        let at = now();
        let (gained, held, shares) = {
            let inner = &mut *self.quota().lock();
            let shard = &mut inner.shards[number as usize];
            let known = &shard.known_voters;
            let gained = shard.lease.check(at, known.set(), known.relied_until());
            if gained {
                shard.ledger.discard_unbound_reports(at);
                shard.ledger.lease_gained(at);
                shard.share.end();
                shard.logged_share = None;
                shard.counters.restart_counts();
            }
            (gained, shard.lease.is_held(at), shard.ledger.in_force(at, &inner.others))
        };
        if gained {
            let event = Event::new(EventKind::KeeperGained).with("shard", number);
            event_log::emit(&event.with("shares_assumed", shares));
        }
        if !held {
            // Return votes that make no majority, so that other candidates can have them.
            self.release_shard(number);
        }
        gained
    }

    async fn request_vote(self: &Arc<Self>, number: ShardNumber, voter: &InstanceRecord) {
        let asked_at = now();
        let is_me = voter.id == self.me().id;
        let share = if is_me { None } else { self.grant_share(asked_at, number, &voter.id) };
        let holds_lease = self.quota().lock().shard(number).lease.is_held(asked_at);
        let request = self.vote_request(number, false, share, holds_lease);
        let reply = if is_me {
            self.keeper_vote(&request)
        } else {
            match self.peers().ask(voter.peer_address, Body::KeeperVote(request)).await {
                Ok(Body::KeeperVoteReply(reply)) => reply,
                // A voter that does not answer has not voted.
                Ok(_) | Err(_) => return,
            }
        };
        self.compare_keeper_voters(number, asked_at, voter, &reply);
        let vote = if reply.granted {
            Vote::Granted { fresh: reply.fresh, version: reply.voters_version }
        } else {
            Vote::Refused
        };
        self.quota().lock().shard(number).lease.answered(asked_at, &voter.id, &vote);
        if let Some(report) = reply.share.filter(|_| reply.granted && !is_me) {
            self.record_share_report(number, asked_at, &voter.id, report);
        }
    }

    /// The share that the next vote request to a voter grants, if this instance is the
    /// keeper and the shares in force allow one.
    fn grant_share(
        &self,
        at: Moment,
        number: ShardNumber,
        voter: &InstanceId,
    ) -> Option<ShareGrant> {
        let inner = &mut *self.quota().lock();
        let shard = &mut inner.shards[number as usize];
        if !shard.lease.is_held(at) {
            return None;
        }
        shard.ledger.grant(at, voter, &inner.others)
    }

    fn record_share_report(
        &self,
        number: ShardNumber,
        asked_at: Moment,
        instance: &InstanceId,
        reply: ShareReply,
    ) {
        let report = ShareReport {
            life: reply.life,
            timestamp: reply.timestamp_ms.map(Moment::from_millis),
            left: Duration::from_millis(reply.left_ms),
            standby: Duration::from_millis(reply.standby_ms.unwrap_or(0)).min(STANDBY_TIME),
        };
        let mut inner = self.quota().lock();
        inner.shard(number).ledger.record_report(asked_at, now(), instance, report);
    }

    /// Instances that may hold a share of an earlier keeper of a shard and are no voters or
    /// extra share holders, if this instance is the keeper.
    fn unreported_instances(&self, number: ShardNumber) -> Vec<InstanceRecord> {
        let at = now();
        let inner = self.quota().lock();
        let shard = &inner.shards[number as usize];
        if !shard.lease.is_held(at) {
            return Vec::new();
        }
        let is_unreported = |record: &&InstanceRecord| {
            !shard.holders.contains(record)
                && shard.ledger.unreported(at, &inner.others).any(|id| *id == record.id)
        };
        inner.recorded.iter().filter(is_unreported).cloned().collect()
    }

    /// Ends the lease on a shard and returns its votes, if there are any.
    fn release_shard(&self, number: ShardNumber) {
        let me = self.as_candidate();
        let asked = {
            let inner = &mut *self.quota().lock();
            let shard = &mut inner.shards[number as usize];
            if !shard.lease.has_votes() {
                return;
            }
            let at = now();
            shard.lease.end(at);
            shard.ledger.end(at);
            inner.votes.release(at, number, &me);
            let shard = &mut inner.shards[number as usize];
            let asked_extra = std::mem::take(&mut shard.extra_holders_asked);
            if asked_extra { shard.holders.clone() } else { shard.voters.clone() }
        };
        for voter in asked.iter().filter(|voter| voter.id != me.id) {
            let request = self.vote_request(number, true, None, false);
            let (peers, address) = (self.shared_peers(), voter.peer_address);
            tokio::spawn(async move {
                // A failure is ignored: the vote then expires.
                drop(peers.ask(address, Body::KeeperVote(request)).await);
            });
        }
    }

    /// Answers a candidate that requests the vote of this instance for a shard, or returns
    /// it. A vote reports the share of this instance, after the grant of one that the request
    /// carries, and promises a keeper not to count it.
    #[must_use]
    pub fn keeper_vote(&self, request: &KeeperVote) -> KeeperVoteReply {
        if request.shard >= ACCOUNT_SHARDS {
            return KeeperVoteReply::default();
        }
        let (at, instance) = (now(), request.instance.as_str());
        let candidate = Candidate { id: instance.into(), life: request.life };
        let life = self.me().life;
        let (reply, begins) = {
            let inner = &mut *self.quota().lock();
            if request.released {
                inner.votes.release(at, request.shard, &candidate);
                return KeeperVoteReply::default();
            }
            let shard = &mut inner.shards[request.shard as usize];
            let known = &mut shard.known_voters;
            let other = KeeperVoteReply {
                voters_version: known.voting_version(at),
                later_voters: later_voters(known.set(), request.voters_version),
                ..KeeperVoteReply::default()
            };
            let Some(version) = known.vote_under(at, request.voters_version) else {
                return other;
            };
            let confirmed_ago = request.voters_confirmed_ms_ago.map(Duration::from_millis);
            if let Some(age) = confirmed_ago.filter(|_| request.holds_lease) {
                known.confirmed_by_keeper(at, request.voters_version, age);
            }
            let votes = &mut inner.votes;
            let vote = votes.handle_vote_request(at, request.shard, candidate.clone(), version);
            let Vote::Granted { fresh, version } = vote else {
                return other;
            };
            let grant = request.share.map(|share| ShareGrant {
                life: share.life,
                timestamp: Moment::from_millis(share.timestamp_ms),
            });
            let begins = grant.is_some_and(|grant| shard.share.accept(at, life, &candidate, grant));
            if begins {
                shard.logged_share = Some(ShareState::Standby);
            }
            let report = shard.share.report_to(at, life, &candidate, request.holds_lease);
            let share = Some(share_reply(report));
            let granted = KeeperVoteReply { granted: true, fresh, share, ..other };
            (KeeperVoteReply { voters_version: version, ..granted }, begins)
        };
        if begins {
            let event = Event::new(EventKind::ShareGained).with("shard", request.shard);
            event_log::emit(&event.with("keeper", instance));
        }
        reply
    }

    /// Answers a keeper that asks for the share of this instance.
    #[must_use]
    pub fn share_reply(&self, question: &ShareQuestion) -> Option<ShareReply> {
        if question.shard >= ACCOUNT_SHARDS {
            return None;
        }
        let mut inner = self.quota().lock();
        let share = &mut inner.shard(question.shard).share;
        Some(share_reply(share.report_without_vote(now(), self.me().life)))
    }

    /// Logs shares that expired, were put on standby or began to be counted since the last
    /// call: per shard at most one change of standby in [`STANDBY_TIME`].
    fn log_share_changes(&self) {
        let at = now();
        let mut changes = Vec::new();
        {
            let mut inner = self.quota().lock();
            for number in 0..ACCOUNT_SHARDS {
                let shard = inner.shard(number);
                let state = shard.share.state(at);
                let before = std::mem::replace(&mut shard.logged_share, state);
                let kind = match (before, state) {
                    (Some(_), None) => EventKind::ShareEnded,
                    (Some(ShareState::Standby), Some(ShareState::Counted)) => {
                        EventKind::ShareCounted
                    }
                    (Some(ShareState::Counted), Some(ShareState::Standby)) => {
                        EventKind::ShareStandby
                    }
                    _ => continue,
                };
                changes.push((number, kind));
            }
        }
        for (number, kind) in changes {
            event_log::emit(&Event::new(kind).with("shard", number));
        }
    }
}
