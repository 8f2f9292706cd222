//! Instances, servers that go on leading when another one was promoted, and a
//! store, on a virtual clock. The instances run the real decisions on the right
//! to use a primary; messages are late or lost, instances freeze and restart,
//! and the store is down now and then.

mod servers;

use std::collections::BTreeMap;

use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::first_token;
use chervilwharf_lib::duty::is_token_of_era;
use chervilwharf_lib::duty::order_permits;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::primary_lease::Ending;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::Promise;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::RESTART_PROMISE_WINDOW;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::primary_lease::STORE_LEASE;
use chervilwharf_lib::revision::Era;
use std::time::Duration;

use servers::Servers;
use servers::listed;
use servers::server_id;

pub const INSTANCES: usize = 6;
const TICK_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
/// How long a replacement collects promises.
const PROMISE_LIMIT_MS: u64 = 2_000;

/// A small generator: the same seed gives the same run.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(2_654_435_761).wrapping_add(97))
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    pub fn per_mille(&mut self, chance: u64) -> bool {
        self.below(1_000) < chance
    }
}

/// Rules that a run may take out, to show that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenOut {
    Nothing,
    /// Instances that are silent are not waited for.
    WaitForSilent,
    /// A commit is acknowledged though the right has ended.
    CheckOfAcknowledgements,
    /// An instance uses the primary that it knows, with or without the right.
    Right,
    /// Orders go out without the promises of a majority.
    Majority,
    /// An instance that has just started votes at once.
    OrdersBeforeVotes,
    /// The successor in a planned change need not have received everything.
    WaitForReceived,
    /// A reading of the store counts whether voters granted since its last copy or not.
    GrantsBeforeStore,
    /// The duty is taken after a copy without the word of most voters.
    WordOfMost,
    /// An instance that has just started trusts a copy's orders.
    OrdersOfTheEra,
    /// Tokens are counted on from the copy.
    TokensOfTheEra,
}

#[derive(Clone)]
enum Message {
    Heartbeat { from: usize, asked_ms: u64, term: Term, era: Era },
    Grant { from: usize, asked_ms: u64, retired: Term, era: Era },
    TermEnd { from: usize, life: u64, ending: Ending, planned: bool },
    Promised { from: usize, life: u64, token: u64, reply: Result<Promise, Objection> },
    Settled { token: u64 },
    StoreRead { asked_ms: u64 },
    StoreAnswer { asked_ms: u64, stored: StoredOrder, era: Era },
    Write { server: usize, term: Term },
    Written { entry: usize, term: Term },
    Read { server: usize, arrived_ms: u64 },
}

/// What an instance is doing to replace the primary.
#[derive(Clone)]
enum Step {
    /// The order is being written.
    Claim { until_ms: u64 },
    /// Promises are being collected.
    Collect { agreement: PromiseTally, until_ms: u64, asked_ms: u64 },
    /// The best replica has to receive what the old primary has.
    Receive { until_ms: u64 },
}

#[derive(Clone)]
struct Replacement {
    step: Step,
    term: Term,
    from: usize,
    planned: bool,
    target: usize,
    token: u64,
    written: Option<Written>,
}

/// When the store took an order, and in which era.
#[derive(Clone, Copy)]
struct Written {
    at_ms: u64,
    era: Era,
}

/// The order as the store holds it.
#[derive(Clone, Default)]
struct StoredOrder {
    token: u64,
    holder: Option<(usize, u64)>,
    target: usize,
    term: Term,
    retired: Term,
}

impl StoredOrder {
    fn ended_term(&self) -> Term {
        self.term.saturating_sub(1).max(self.retired)
    }
}

struct Instance {
    group: Group,
    life: u64,
    started_ms: u64,
    frozen_until_ms: u64,
    next_heartbeat_ms: u64,
    replacement: Option<Replacement>,
    reaches_store: bool,
    side: usize,
    /// The last token that it gave an order under.
    spent: u64,
    /// Latest era of the store that it knows.
    era: Era,
    /// The order with the highest token that it knows of.
    known: StoredOrder,
    /// Its last reading of the store.
    reading: Option<(u64, StoredOrder)>,
}

/// An acknowledged commit.
pub struct Acknowledged {
    entry: usize,
    term: Term,
    at_ms: u64,
}

pub struct World {
    random: Random,
    taken_out: TakenOut,
    now_ms: u64,
    instances: Vec<Instance>,
    servers: Servers,
    /// Messages by the time at which they arrive.
    mail: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    stored: StoredOrder,
    /// What the store kept, by time.
    copies: BTreeMap<u64, StoredOrder>,
    /// 0 for a store that never comes back from a copy and tells no era.
    era: Era,
    /// When it comes back from a copy that lacks a certain order, and that copy.
    order_lost: Option<(u64, StoredOrder)>,
    store_up: bool,
    /// Who gave an order under a token.
    orders: BTreeMap<u64, (usize, u64)>,
    acknowledged: Vec<Acknowledged>,
    pub promotions: usize,
    pub served: usize,
    pub copies_restored: usize,
    pub violation: Option<String>,
}

fn instance_id(number: usize) -> InstanceId {
    format!("i{number}").into()
}

fn number_of(id: &str) -> usize {
    id[1..].parse().unwrap()
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

impl World {
    pub fn new(seed: u64, taken_out: TakenOut) -> Self {
        let mut world = Self {
            random: Random::new(seed),
            taken_out,
            now_ms: 1_000,
            instances: Vec::new(),
            servers: Servers::new(),
            mail: BTreeMap::new(),
            sent: 0,
            stored: StoredOrder::default(),
            copies: BTreeMap::new(),
            // Every other run has a store that does not tell its era.
            era: seed % 2,
            order_lost: None,
            store_up: true,
            orders: BTreeMap::new(),
            acknowledged: Vec::new(),
            promotions: 0,
            served: 0,
            copies_restored: 0,
            violation: None,
        };
        for _ in 0..INSTANCES {
            let instance = world.start_instance();
            world.instances.push(instance);
        }
        world
    }

    fn start_instance(&mut self) -> Instance {
        let mut group = Group::default();
        *group.primary_lease_mut() = PrimaryLease::unknown().with_start(at(self.now_ms));
        if self.taken_out == TakenOut::OrdersBeforeVotes {
            group.primary_lease_mut().orders_known();
        }
        group.set_servers(at(self.now_ms), listed());
        Instance {
            group,
            life: self.random.below(u64::MAX / 2),
            started_ms: self.now_ms,
            frozen_until_ms: 0,
            next_heartbeat_ms: self.now_ms,
            replacement: None,
            reaches_store: true,
            side: 0,
            spent: 0,
            era: 0,
            known: StoredOrder::default(),
            reading: None,
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        // Most arrive at once, some are held up.
        let late = if self.random.per_mille(30) { self.random.below(700) } else { 0 };
        let delay = 1 + self.random.below(15) + late;
        self.sent += 1;
        self.mail.insert((self.now_ms + delay, self.sent), (to, message));
    }

    /// Sends to another instance, unless a partition is between them.
    fn send_peer(&mut self, from: usize, to: usize, message: Message) {
        let lost = self.random.per_mille(20);
        if self.instances[from].side == self.instances[to].side && !lost {
            self.send(to, message);
        }
    }

    pub fn step(&mut self) {
        self.now_ms += TICK_MS;
        self.disturb();
        let promoted = self.servers.step(self.now_ms);
        if let Some(promoted) = promoted {
            self.promotions += 1;
            self.check_lost(&promoted);
        }
        while let Some(entry) = self.mail.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let ((_, number), (to, message)) = entry.remove_entry();
            let frozen_until_ms = self.instances[to].frozen_until_ms;
            if frozen_until_ms > self.now_ms && !Self::is_for_server(&message) {
                // Read when the instance wakes up.
                self.mail.insert((frozen_until_ms, number), (to, message));
                continue;
            }
            self.receive(to, message);
        }
        for number in 0..INSTANCES {
            if self.instances[number].frozen_until_ms <= self.now_ms {
                self.act(number);
            }
        }
    }

    fn is_for_server(message: &Message) -> bool {
        matches!(message, Message::Write { .. } | Message::Read { .. } | Message::StoreRead { .. })
    }

    fn disturb(&mut self) {
        let number = usize::try_from(self.random.below(INSTANCES as u64)).unwrap();
        if self.random.per_mille(2) {
            self.instances[number].frozen_until_ms = self.now_ms + 200 + self.random.below(4_000);
        }
        if self.random.per_mille(2) {
            let Instance { reaches_store, side, .. } = self.instances[number];
            self.instances[number] = Instance { reaches_store, side, ..self.start_instance() };
        }
        if self.random.per_mille(2) {
            self.instances[number].reaches_store ^= true;
        }
        if self.random.per_mille(1) {
            self.store_up ^= true;
        }
        if self.era > 0 {
            self.disturb_store();
        }
        if self.random.per_mille(3) {
            let whole = self.random.per_mille(500);
            for number in 0..INSTANCES {
                self.instances[number].side =
                    if whole { 0 } else { usize::from(self.random.per_mille(350)) };
            }
        }
        self.servers.disturb(&mut self.random);
    }

    fn disturb_store(&mut self) {
        self.copies.insert(self.now_ms, self.stored.clone());
        if self.random.per_mille(1) {
            let copied_ms = self.now_ms - self.random.below(5_000).min(self.now_ms);
            let copy = self.copies.range(..=copied_ms).next_back();
            let copy = copy.map(|(_, stored)| stored.clone()).unwrap_or_default();
            self.come_back_from(copy);
        }
        if let Some((_, copy)) = self.order_lost.take_if(|(due_ms, _)| *due_ms <= self.now_ms) {
            self.come_back_from(copy);
            if self.random.per_mille(700) {
                self.restart_behind_a_partition();
            }
        }
    }

    /// Who promised the lost order starts anew, with others that know nothing of it.
    fn restart_behind_a_partition(&mut self) {
        for number in 0..INSTANCES {
            self.instances[number].side = usize::from(self.random.per_mille(500));
        }
        let number = usize::try_from(self.random.below(INSTANCES as u64)).unwrap();
        let Instance { reaches_store, side, .. } = self.instances[number];
        self.instances[number] = Instance { reaches_store, side, ..self.start_instance() };
    }

    /// What the store kept before takes the place of what it keeps.
    fn come_back_from(&mut self, copy: StoredOrder) {
        self.stored = copy;
        self.era += 1;
        self.copies_restored += 1;
    }

    fn note_era(&mut self, number: usize, era: Era) {
        let me = &mut self.instances[number];
        me.era = me.era.max(era);
        me.group.primary_lease_mut().note_era(me.era);
    }

    fn act(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let ids: Vec<_> = (0..INSTANCES).map(instance_id).collect();
        let me = &mut self.instances[number];
        me.group.primary_lease_mut().set_voters(&ids[number], &ids);
        if now_ms >= me.next_heartbeat_ms {
            me.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
            self.heartbeat(number);
        }
        if self.random.per_mille(60) {
            self.look_at_servers(number);
        }
        if self.random.per_mille(150) {
            self.use_primary(number);
        }
        if self.random.per_mille(20) {
            self.renew_duty(number);
        }
        self.replace(number);
    }

    fn heartbeat(&mut self, number: usize) {
        let term = self.instances[number].group.leader().map_or(0, |leader| leader.term);
        let (asked_ms, era) = (self.now_ms, self.instances[number].era);
        for other in (0..INSTANCES).filter(|other| *other != number) {
            self.send_peer(number, other, Message::Heartbeat { from: number, asked_ms, term, era });
        }
        if self.store_up && self.instances[number].reaches_store {
            self.send(number, Message::StoreRead { asked_ms });
        }
    }

    fn look_at_servers(&mut self, number: usize) {
        let now = at(self.now_ms);
        for server in self.servers.reachable(self.instances[number].side) {
            let status = self.servers.status(server);
            let group = &mut self.instances[number].group;
            group.observe_status(now, now, &server_id(server), status);
        }
    }

    fn use_primary(&mut self, number: usize) {
        let now = at(self.now_ms);
        let group = &self.instances[number].group;
        let leader = group.leader().filter(|leader| leader.term > 0);
        let trusts_store = leader.is_some_and(|leader| self.trusts_store(number, leader.term));
        let leader = if self.taken_out == TakenOut::Right || trusts_store {
            leader
        } else {
            group.usable_leader(now)
        };
        let Some((server, term)) = leader.map(|leader| (number_of(&leader.id), leader.term)) else {
            return;
        };
        if !self.servers.reachable(self.instances[number].side).contains(&server) {
            return;
        }
        if self.random.per_mille(500) {
            self.send(number, Message::Write { server, term });
        } else {
            self.send(number, Message::Read { server, arrived_ms: self.now_ms });
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = at(self.now_ms);
        match message {
            Message::Heartbeat { from, asked_ms, term, era } => {
                self.note_era(to, era);
                let era = self.instances[to].era;
                let primary_lease = self.instances[to].group.primary_lease_mut();
                if let Some(retired) = primary_lease.grant(now, &instance_id(from), term) {
                    let grant = Message::Grant { from: to, asked_ms, retired, era };
                    self.send_peer(to, from, grant);
                }
            }
            Message::Grant { from, asked_ms, retired, era } => {
                self.note_era(to, era);
                let primary_lease = self.instances[to].group.primary_lease_mut();
                primary_lease.granted(&instance_id(from), at(asked_ms), retired, era);
            }
            Message::TermEnd { from, life, ending, planned } => {
                let side = self.instances[to].side;
                if !planned && self.servers.primary_answers(side, ending.term) {
                    return;
                }
                let token = ending.token;
                let reply = self.instances[to].group.retire(now, &ending);
                if reply.is_ok() {
                    self.know_order(to, &ending);
                }
                self.send_peer(to, from, Message::Promised { from: to, life, token, reply });
            }
            Message::Promised { from, life, token, reply } => {
                if self.instances[to].life == life {
                    self.take_promise(to, from, token, reply);
                }
            }
            Message::Settled { token } => {
                self.instances[to].group.primary_lease_mut().settle(token)
            }
            Message::StoreRead { asked_ms } => {
                let (stored, era) = (self.stored.clone(), self.era);
                if self.store_up {
                    self.send(to, Message::StoreAnswer { asked_ms, stored, era });
                }
            }
            Message::StoreAnswer { asked_ms, stored, era } => {
                self.note_era(to, era);
                self.take_reading(to, asked_ms, stored, era);
            }
            Message::Write { server, term } => {
                if let Some(entry) = self.servers.commit(server) {
                    self.send(to, Message::Written { entry, term });
                }
            }
            Message::Written { entry, term } => self.acknowledge(to, entry, term),
            Message::Read { server, arrived_ms } => self.check_read(server, arrived_ms),
        }
    }

    fn take_reading(&mut self, to: usize, asked_ms: u64, stored: StoredOrder, era: Era) {
        let me = &mut self.instances[to];
        let ended = stored.ended_term();
        let primary_lease = me.group.primary_lease_mut();
        primary_lease.adopt_ended_term(ended);
        primary_lease.record_store_grant(at(asked_ms), ended, era);
        let settled = at(self.now_ms) >= at(me.started_ms) + RESTART_PROMISE_WINDOW;
        let trusted = era == 0
            || is_token_of_era(stored.token, era)
            || settled
            || self.taken_out == TakenOut::OrdersOfTheEra;
        if asked_ms >= me.started_ms && trusted {
            primary_lease.orders_known();
        }
        if stored.token > me.known.token {
            me.known = stored.clone();
        }
        me.reading = Some((asked_ms, stored));
    }

    /// Whether an instance counts on its last reading of the store alone, with the rule
    /// on grants taken out.
    fn trusts_store(&self, number: usize, term: Term) -> bool {
        let me = &self.instances[number];
        let fresh = me.reading.as_ref().filter(|(asked_ms, _)| {
            at(*asked_ms) + STORE_LEASE > at(self.now_ms)
                && at(*asked_ms) >= at(me.started_ms) + RESTART_PROMISE_WINDOW
        });
        let granted = fresh.is_some_and(|(_, stored)| stored.ended_term() < term);
        let taken_out = self.taken_out == TakenOut::GrantsBeforeStore;
        taken_out && granted && term > me.group.primary_lease().retired()
    }

    /// An instance promised an order, which a copy of the store may lack.
    fn know_order(&mut self, number: usize, ending: &Ending) {
        let known = &mut self.instances[number].known;
        if ending.token > known.token {
            *known = StoredOrder {
                token: ending.token,
                target: number_of(&ending.successor),
                term: ending.term + 1,
                holder: None,
                ..known.clone()
            };
        }
    }

    fn acknowledge(&mut self, to: usize, entry: usize, term: Term) {
        let holds = self.instances[to].group.primary_lease().holds(at(self.now_ms), term)
            || self.trusts_store(to, term);
        if !holds && self.taken_out != TakenOut::CheckOfAcknowledgements {
            return;
        }
        self.served += 1;
        if self.servers.was_committed_after_successor(entry) {
            self.violation = Some(format!(
                "ONE: a commit of term {term} was made after a later one began, and acknowledged"
            ));
        }
        self.acknowledged.push(Acknowledged { entry, term, at_ms: self.now_ms });
    }

    fn check_read(&mut self, server: usize, arrived_ms: u64) {
        if !self.servers.is_up(server) {
            return;
        }
        let lacking = self.acknowledged.iter().find(|commit| {
            commit.at_ms < arrived_ms
                && self.servers.survives(commit.entry)
                && !self.servers.has(server, commit.entry)
        });
        if let Some(commit) = lacking {
            self.violation = Some(format!(
                "STALE: a read of {arrived_ms} ms at server {server} lacks what term {} \
                acknowledged at {} ms",
                commit.term, commit.at_ms
            ));
        }
    }

    /// A planned change rolls nothing back that was acknowledged.
    fn check_lost(&mut self, promoted: &servers::Promoted) {
        let lost = self.acknowledged.iter().any(|commit| {
            !self.servers.has(promoted.server, commit.entry) && commit.term == promoted.term - 1
        });
        if lost && promoted.planned {
            self.violation =
                Some(format!("LOST: the planned change to term {} lacks a commit", promoted.term));
        }
    }

    fn replace(&mut self, number: usize) {
        match self.instances[number].replacement.clone() {
            None => self.begin_replacement(number),
            Some(replacement) => self.go_on(number, replacement),
        }
    }

    fn begin_replacement(&mut self, number: usize) {
        if !self.random.per_mille(3) {
            return;
        }
        let group = &self.instances[number].group;
        let term = group.seen_term().max(group.primary_lease().retired()).max(1);
        let known = group.leader().filter(|leader| leader.term > 0);
        let from = known.map(|leader| number_of(&leader.id));
        let side = self.instances[number].side;
        let planned = from.is_some_and(|from| self.servers.reachable(side).contains(&from));
        if planned && !self.random.per_mille(300) {
            return;
        }
        let Some(target) = self.servers.best_replica(side, from) else {
            return;
        };
        let from = from.unwrap_or(target);
        let until_ms = self.now_ms + 20 + self.random.below(40);
        let step = Step::Claim { until_ms };
        let token = self.stored.token;
        let replacement = Replacement { step, term, from, planned, target, token, written: None };
        self.instances[number].replacement = Some(replacement);
    }

    fn go_on(&mut self, number: usize, mut replacement: Replacement) {
        let done = match replacement.step.clone() {
            Step::Claim { until_ms } => {
                self.now_ms >= until_ms && !self.claim(number, &mut replacement)
            }
            Step::Collect { agreement, until_ms, asked_ms } => {
                self.collect(number, &mut replacement, &agreement, until_ms, asked_ms)
            }
            Step::Receive { until_ms } => self.receive_all(number, &mut replacement, until_ms),
        };
        // It may have been given up while it acted.
        let given_up = self.instances[number].replacement.is_none();
        self.instances[number].replacement = (!done && !given_up).then_some(replacement);
    }

    /// Takes the duty under a new token, or goes on with one of this life while
    /// the store is away. Returns whether it could.
    fn claim(&mut self, number: usize, replacement: &mut Replacement) -> bool {
        let me = (number, self.instances[number].life);
        let seen_term = self.instances[number].group.seen_term();
        let last = self.last_order(number);
        let order = DutyOrder { server: server_id(last.target), term: last.term };
        if !order_permits(Some(&order), &server_id(replacement.target), seen_term) {
            return false;
        }
        // Somebody else took the duty since this instance decided to act.
        let news = self.stored.token != replacement.token && self.stored.holder != Some(me);
        if self.store_up && self.instances[number].reaches_store {
            let Some(next) = self.next_order(number).filter(|_| !news) else {
                return false;
            };
            self.note_era(number, self.era);
            let (target, term) = (replacement.target, replacement.term + 1);
            if self.era > 0 && self.random.per_mille(500) {
                let due_ms = self.now_ms + self.random.below(2_500);
                self.order_lost = Some((due_ms, self.stored.clone()));
            }
            self.stored = StoredOrder { target, term, ..next };
            self.instances[number].known = self.stored.clone();
            replacement.token = self.stored.token;
            replacement.written = Some(Written { at_ms: self.now_ms, era: self.era });
        } else {
            let Some(token) = self.kept_token(number) else {
                return false;
            };
            replacement.token = token;
        }
        let ids: Vec<_> = (0..INSTANCES).map(instance_id).collect();
        let written_at = replacement.written.map(|written| at(written.at_ms));
        let agreement = PromiseTally::new(ids.clone(), ids, written_at);
        let until_ms = self.now_ms + PROMISE_LIMIT_MS;
        replacement.step = Step::Collect { agreement, until_ms, asked_ms: 0 };
        true
    }

    /// A token of this life under which nothing was ordered, as far as it knows.
    fn kept_token(&self, number: usize) -> Option<u64> {
        let me = &self.instances[number];
        let ours = me.known.holder == Some((number, me.life)) && me.spent < me.known.token;
        ours.then_some(me.known.token)
    }

    /// The last order: the store's, or one that its copy lacks.
    fn last_order(&self, number: usize) -> StoredOrder {
        let known = &self.instances[number].known;
        if known.token > self.stored.token { known.clone() } else { self.stored.clone() }
    }

    /// What an instance writes when it takes the duty, with the last order; `None` if
    /// it may not.
    fn next_order(&self, number: usize) -> Option<StoredOrder> {
        let me = &self.instances[number];
        let last = self.last_order(number);
        let mut retired = last.retired;
        let word_is_needed = self.era > 0 && !is_token_of_era(self.stored.token, self.era);
        if word_is_needed && self.taken_out != TakenOut::WordOfMost {
            // It was told in the era that it knows.
            let told =
                me.group.primary_lease().retired_by_majority().filter(|_| me.era == self.era)?;
            retired = retired.max(told);
        }
        let token = if self.taken_out == TakenOut::TokensOfTheEra {
            self.stored.token + 1
        } else {
            (self.stored.token + 1).max(first_token(self.era))
        };
        Some(StoredOrder { token, holder: Some((number, me.life)), retired, ..last })
    }

    /// Takes the duty again after the store came back from a copy, with what is known
    /// of orders.
    fn renew_duty(&mut self, number: usize) {
        let me = &self.instances[number];
        let reaches = self.store_up && me.reaches_store && me.era == self.era && me.era > 0;
        if !reaches || me.replacement.is_some() || is_token_of_era(self.stored.token, self.era) {
            return;
        }
        if let Some(next) = self.next_order(number) {
            self.stored = next;
            self.instances[number].known = self.stored.clone();
        }
    }

    fn collect(
        &mut self,
        number: usize,
        replacement: &mut Replacement,
        agreement: &PromiseTally,
        until_ms: u64,
        asked_ms: u64,
    ) -> bool {
        let ready = match agreement.readiness(false) {
            Readiness::From(from) => {
                from <= at(self.now_ms) || self.taken_out == TakenOut::WaitForSilent
            }
            Readiness::SomeUnreachable => self.taken_out == TakenOut::WaitForSilent,
            Readiness::TooFewVotes => {
                let written = replacement.written;
                let waited = written.is_some_and(|written| written.at_ms + 900 <= self.now_ms);
                self.taken_out == TakenOut::Majority && waited
            }
        };
        if ready {
            replacement.step = Step::Receive { until_ms: self.now_ms + 500 };
            return false;
        }
        if self.now_ms >= until_ms {
            return true;
        }
        if self.now_ms >= asked_ms + 100 {
            let agreement = agreement.clone();
            let missing: Vec<_> = agreement.missing().map(|id| number_of(id)).collect();
            replacement.step = Step::Collect { agreement, until_ms, asked_ms: self.now_ms };
            self.ask_to_end(number, replacement, &missing);
        }
        false
    }

    fn ask_to_end(&mut self, number: usize, replacement: &Replacement, others: &[usize]) {
        let (life, planned) = (self.instances[number].life, replacement.planned);
        let ending = Ending {
            term: replacement.term,
            token: replacement.token,
            successor: server_id(replacement.target),
            withdrawn: 0,
            written_era: replacement.written.map(|written| written.era),
        };
        for other in others {
            let ending = ending.clone();
            let message = Message::TermEnd { from: number, life, ending, planned };
            if *other == number {
                self.send(number, message);
            } else {
                self.send_peer(number, *other, message);
            }
        }
    }

    fn take_promise(
        &mut self,
        to: usize,
        from: usize,
        token: u64,
        reply: Result<Promise, Objection>,
    ) {
        let now = at(self.now_ms);
        let me = &mut self.instances[to];
        let Some(replacement) = me.replacement.as_mut().filter(|r| r.token == token) else {
            return;
        };
        match (&mut replacement.step, reply) {
            (Step::Collect { agreement, .. }, Ok(promise)) => {
                agreement.promised(now, &instance_id(from), promise);
            }
            // Another change is under way, or over.
            (Step::Collect { .. }, Err(_)) => me.replacement = None,
            _ => {}
        }
    }

    fn receive_all(&mut self, number: usize, replacement: &mut Replacement, until_ms: u64) -> bool {
        let side = self.instances[number].side;
        if !self.servers.reachable(side).contains(&replacement.target) {
            return true;
        }
        let target = replacement.target;
        let old: ServerStatus = self.servers.status(replacement.from);
        let has: Position = self.servers.status(target).received;
        let waits = self.taken_out != TakenOut::WaitForReceived;
        if waits && replacement.planned && has < old.received && self.now_ms < until_ms {
            return false;
        }
        // Without an answer an order can be carried out seconds later.
        let unanswered = self.random.per_mille(100);
        let late = if unanswered { self.random.below(4_000) } else { 0 };
        let effect_ms = self.now_ms + 200 + self.random.below(800) + late;
        let planned = replacement.planned && (has >= old.received || !waits);
        self.instances[number].spent = replacement.token;
        let me = (number, self.instances[number].life);
        let before = self.orders.insert(replacement.token, me);
        if before.is_some_and(|before| before != me) {
            self.violation =
                Some(format!("ONE: two instances order under token {}", replacement.token));
        }
        self.servers.order(target, replacement.term + 1, effect_ms, planned);
        if !unanswered {
            for other in 0..INSTANCES {
                let message = Message::Settled { token: replacement.token };
                self.sent += 1;
                self.mail.insert((effect_ms + 5, self.sent), (other, message));
            }
        }
        true
    }
}
