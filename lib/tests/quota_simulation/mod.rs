//! Instances that count one account's operations on a virtual clock, with kills,
//! partitions and lost answers, and a checker of the sliding window.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::keeper_lease::Candidate;
use chervilwharf_lib::keeper_lease::KeeperLease;
use chervilwharf_lib::keeper_lease::RENEWAL_INTERVAL;
use chervilwharf_lib::keeper_lease::Vote;
use chervilwharf_lib::keeper_lease::Votes;
use chervilwharf_lib::keeper_lease::voters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota::Admission;
use chervilwharf_lib::quota::Allowance;
use chervilwharf_lib::quota::QuotaAnswer;
use chervilwharf_lib::quota::QuotaCounters;
use chervilwharf_lib::quota::QuotaTolerance;
use chervilwharf_lib::quota::ask_again_after;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A rule of the product that can be taken out, to see that it is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A keeper needs more than half of the votes.
    Majority,
    /// A voter votes for one candidate only.
    OneVote,
    /// A lease ends unless it is renewed.
    LeaseEnds,
    /// A new keeper begins with little.
    BeginsWithLittle,
    /// Who finds no keeper lets little begin.
    AloneLittle,
    /// Instances that a copy of the store lacks count on.
    UnlistedCount,
    /// An instance that starts is told by others whom a copy lacks.
    OthersTell,
    /// An instance that starts soon after a copy, and is told by nobody, waits.
    WaitAfterCopy,
}

/// The shard of the account; any will do.
const SHARD: u32 = 0;

const TICK: Duration = Duration::from_millis(10);

/// The limit of the account.
pub const LIMIT: QuotaLimit = QuotaLimit { rate_per_s: 40.0, burst: 40.0 };

/// What the platform allows beyond it.
pub const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };

struct Instance {
    record: InstanceRecord,
    /// Dead until then.
    down_until: Moment,
    votes: Votes,
    lease: KeeperLease,
    renewed_at: Moment,
    book: QuotaCounters,
    allowance: Allowance,
    fleet: Fleet,
    /// Whether it knows the others.
    knows_fleet: bool,
    started_at: Moment,
}

/// By then all that are alive are listed again.
const LISTED_AGAIN: Duration = Duration::from_millis(2_500);

/// How long an instance waits that nobody told of the others.
const START_LIMIT: Duration = Duration::from_secs(3);

impl Instance {
    fn new(now: Moment, record: InstanceRecord) -> Self {
        Self {
            fleet: Fleet::new(record.id.clone()),
            knows_fleet: false,
            started_at: now,
            record,
            down_until: now,
            votes: Votes::new(now),
            lease: KeeperLease::default(),
            renewed_at: Moment::ZERO,
            book: QuotaCounters::default(),
            allowance: Allowance::new(now),
        }
    }

    fn candidate(&self) -> Candidate {
        Candidate { id: self.record.id.clone(), life: self.record.life }
    }
}

/// What a play saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Most operations in a window.
    pub most: usize,
    /// Operations that began.
    pub begun: usize,
    /// Operations that were refused.
    pub refused: usize,
    /// Changes of keeper.
    pub keepers: usize,
    /// Times at which two instances counted.
    pub doubles: usize,
}

/// Instances of one account.
pub struct QuotaWorld {
    rng: StdRng,
    without: Option<Rule>,
    now: Moment,
    instances: Vec<Instance>,
    /// Instances cut off from the others, who reach each other.
    cut_off: HashSet<usize>,
    heals_at: Moment,
    /// When each instance is listed again that the store's copy lacks.
    listed_from: Vec<Moment>,
    copied_at: Moment,
    window: VecDeque<Moment>,
    seen: Seen,
}

impl QuotaWorld {
    /// A world of a seed.
    pub fn new(seed: u64, without: Option<Rule>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(1..=16);
        let record = |index: usize| InstanceRecord {
            id: format!("i{index}").into(),
            life: 1,
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: "a".into(),
            capacity_millicores: if index % 5 == 0 { 500 } else { 120 },
        };
        let now = Moment::from_secs(100);
        let instances = (0..count).map(|index| Instance::new(now, record(index))).collect();
        Self {
            rng,
            without,
            now,
            instances,
            cut_off: HashSet::new(),
            heals_at: Moment::ZERO,
            listed_from: vec![Moment::ZERO; count],
            copied_at: Moment::ZERO,
            window: VecDeque::new(),
            seen: Seen::default(),
        }
    }

    /// Plays twenty seconds of an account that asks for `per_s`, with or without
    /// faults.
    pub fn play(mut self, per_s: f64, faults: bool) -> Seen {
        let end = self.now + Duration::from_secs(20);
        while self.now < end {
            self.now += TICK;
            if faults {
                self.strike();
            }
            for index in 0..self.instances.len() {
                self.keep(index);
            }
            let expected = per_s * TICK.as_secs_f64();
            let mut wanted = expected.floor();
            wanted += f64::from(u8::from(self.rng.random_bool(expected - wanted)));
            while wanted >= 1.0 {
                wanted -= 1.0;
                self.begin_one();
            }
            let held = self
                .instances
                .iter()
                .filter(|one| one.down_until <= self.now && one.lease.is_held(self.now));
            self.seen.doubles += usize::from(held.count() > 1);
        }
        self.seen
    }

    /// The store comes back from a copy that lacks some of the instances, which write
    /// their records again.
    fn come_back_from_a_copy(&mut self) {
        for index in 0..self.instances.len() {
            if self.rng.random_bool(0.5) {
                let after = self.rng.random_range(Duration::ZERO..LISTED_AGAIN);
                self.listed_from[index] = self.now + after;
            }
        }
        let (now, listed) = (self.now, self.listed());
        self.copied_at = now;
        for one in &mut self.instances {
            if self.without == Some(Rule::UnlistedCount) {
                one.fleet.replace(now, listed.clone());
            } else {
                one.fleet.replace_after_store_restore(now, listed.clone());
            }
        }
    }

    /// What the store lists now.
    fn listed(&self) -> Vec<InstanceRecord> {
        let all = self.instances.iter().zip(&self.listed_from);
        let listed = all.filter(|(_, from)| **from <= self.now);
        listed.map(|(one, _)| one.record.clone()).collect()
    }

    /// An instance learns what is listed, at its start also from others that it reaches.
    fn learn_fleet(&mut self, index: usize) {
        let (now, listed) = (self.now, self.listed());
        if self.instances[index].knows_fleet {
            let me = &mut self.instances[index];
            for record in listed {
                me.fleet.present(now, record);
            }
            me.fleet.forget_unlisted(now);
            return;
        }
        let knows = |other: &usize| {
            *other != index && self.reaches(index, *other) && self.instances[*other].knows_fleet
        };
        let told = (0..self.instances.len()).find(knows);
        let waits = self.copied_at + LISTED_AGAIN > now
            && self.instances[index].started_at + START_LIMIT > now
            && self.without != Some(Rule::WaitAfterCopy);
        if told.is_none() && waits {
            return;
        }
        let told = told.map(|other| self.recorded(other)).unwrap_or_default();
        let me = &mut self.instances[index];
        me.fleet.replace(now, listed);
        if self.without != Some(Rule::OthersTell) {
            me.fleet.add_unlisted(now, told);
        }
        me.knows_fleet = true;
    }

    /// The instances that one knows, itself included.
    fn recorded(&self, index: usize) -> Vec<InstanceRecord> {
        let me = &self.instances[index];
        me.fleet.others().chain([&me.record]).cloned().collect()
    }

    fn strike(&mut self) {
        if self.rng.random_bool(0.003) {
            self.come_back_from_a_copy();
        }
        if self.now >= self.heals_at {
            self.cut_off.clear();
        }
        if self.rng.random_bool(0.004) {
            let share = self.rng.random_range(0.1..0.6);
            let chosen = (0..self.instances.len()).filter(|_| self.rng.random_bool(share));
            self.cut_off = chosen.collect();
            self.heals_at = self.now + Duration::from_millis(self.rng.random_range(100..6_000));
        }
        if self.rng.random_bool(0.004) {
            let share = if self.rng.random_bool(0.3) { 1.0 } else { 0.4 };
            for index in 0..self.instances.len() {
                if self.rng.random_bool(share) {
                    self.kill(index);
                }
            }
        }
        if self.rng.random_bool(0.004) {
            if let Some(keeper) = self.keeper() {
                self.kill(keeper);
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let back_at = self.now + Duration::from_millis(self.rng.random_range(300..2_000));
        let mut record = self.instances[index].record.clone();
        record.life += 1;
        self.instances[index] = Instance::new(back_at, record);
    }

    fn keeper(&self) -> Option<usize> {
        self.instances.iter().position(|one| one.lease.is_held(self.now))
    }

    fn is_up(&self, index: usize) -> bool {
        self.instances[index].down_until <= self.now
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let same_side = self.cut_off.contains(&from) == self.cut_off.contains(&to);
        self.is_up(from) && self.is_up(to) && same_side
    }

    fn keep(&mut self, index: usize) {
        if !self.is_up(index) {
            return;
        }
        self.learn_fleet(index);
        if !self.instances[index].knows_fleet {
            return;
        }
        let voters = voters(SHARD, &self.recorded(index));
        let me = &mut self.instances[index];
        let Some(rank) = voters.iter().position(|voter| voter.id == me.record.id) else {
            return;
        };
        let rank = u32::try_from(rank).expect("few voters");
        let due = if me.lease.is_held(self.now) {
            me.renewed_at + RENEWAL_INTERVAL <= self.now
        } else {
            me.votes.should_try(self.now, SHARD, rank)
        };
        if !due {
            return;
        }
        me.renewed_at = self.now;
        for voter in &voters {
            let is_voter = |one: &Instance| one.record.id == voter.id;
            let to = self.instances.iter().position(is_voter).expect("one of them");
            self.ask_vote(index, to);
        }
        let me = &mut self.instances[index];
        let needed = match self.without {
            Some(Rule::Majority) => vec![me.record.clone()],
            _ => voters.clone(),
        };
        if me.lease.check(self.now, &needed) {
            self.seen.keepers += 1;
            if self.without == Some(Rule::BeginsWithLittle) {
                me.book = QuotaCounters::default();
            } else {
                me.book.restart_counts();
            }
        }
        if !me.lease.is_held(self.now) {
            let candidate = me.candidate();
            me.lease.end();
            for to in 0..self.instances.len() {
                if self.reaches(index, to) {
                    self.instances[to].votes.release(self.now, SHARD, &candidate);
                }
            }
        }
    }

    fn ask_vote(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) {
            return;
        }
        let candidate = self.instances[from].candidate();
        if self.without == Some(Rule::OneVote) {
            self.instances[to].votes = Votes::new(Moment::ZERO);
        }
        let vote = self.instances[to].votes.ask(self.now, SHARD, candidate);
        let answer_lost = from != to && self.rng.random_bool(0.02);
        if answer_lost {
            return;
        }
        let voter = self.instances[to].record.id.clone();
        let asked_at = match self.without {
            Some(Rule::LeaseEnds) => self.now + Duration::from_secs(60),
            _ => self.now,
        };
        self.instances[from].lease.answered(asked_at, &voter, &vote);
        if matches!(vote, Vote::Refused) && self.without == Some(Rule::LeaseEnds) {
            self.instances[from].renewed_at = self.now;
        }
    }

    fn begin_one(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        if !self.is_up(index) {
            return;
        }
        let account: AccountId = "hot".into();
        let admitted = match self.instances[index].allowance.admit(self.now) {
            Admission::Admitted => true,
            Admission::Refused { .. } => false,
            Admission::Ask(wanted) => self.ask_keepers(index, &account, wanted),
        };
        if admitted {
            self.note_begun();
        } else {
            self.seen.refused += 1;
        }
    }

    /// Any instance that counts may answer an entry that reaches it.
    fn ask_keepers(&mut self, index: usize, account: &AccountId, wanted: u32) -> bool {
        let now = self.now;
        let instances = self.instances.len();
        let keeps = |to: &usize| self.instances[*to].lease.is_held(now) && self.reaches(index, *to);
        let Some(keeper) = (0..instances).find(keeps) else {
            let instances = if self.without == Some(Rule::AloneLittle) { 1 } else { instances };
            return self.instances[index].allowance.admit_without_keeper(now, LIMIT, instances);
        };
        let mut grant = TOLERANCE.applied_to(LIMIT);
        if self.without == Some(Rule::BeginsWithLittle) {
            grant.first = LIMIT.burst * 2.0;
            grant.limit.burst = grant.first;
        }
        let answer = self.instances[keeper].book.ask(now, account, grant, wanted);
        let allowance = &mut self.instances[index].allowance;
        match answer {
            QuotaAnswer::Granted(count) => {
                allowance.granted(now, count);
                true
            }
            QuotaAnswer::Exhausted { .. } => {
                allowance.exhausted(now, ask_again_after(LIMIT, instances));
                false
            }
        }
    }

    fn note_begun(&mut self) {
        self.seen.begun += 1;
        self.window.push_back(self.now);
        while self.window.front().is_some_and(|at| *at + TOLERANCE.window <= self.now) {
            self.window.pop_front();
        }
        self.seen.most = self.seen.most.max(self.window.len());
    }
}
