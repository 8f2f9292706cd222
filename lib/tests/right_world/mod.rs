//! Instances, servers that go on leading when another one was promoted, and a
//! store, on a virtual clock. The instances run the real decisions on the right
//! to use a primary; messages are late or lost, instances freeze and restart,
//! and the store is down now and then.

mod servers;

use std::collections::BTreeMap;

use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::order_permits;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::primary_right::Agreement;
use chervilwharf_lib::primary_right::Ending;
use chervilwharf_lib::primary_right::Objection;
use chervilwharf_lib::primary_right::PrimaryRight;
use chervilwharf_lib::primary_right::Promise;
use chervilwharf_lib::primary_right::Readiness;
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
}

#[derive(Clone)]
enum Message {
    Heartbeat { from: usize, asked_ms: u64, term: Term },
    Grant { from: usize, asked_ms: u64, retired: Term },
    TermEnd { from: usize, life: u64, ending: Ending, planned: bool },
    Promised { from: usize, life: u64, token: u64, reply: Result<Promise, Objection> },
    Settled { token: u64 },
    StoreRead { asked_ms: u64 },
    StoreAnswer { asked_ms: u64, ordered: Term },
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
    Collect { agreement: Agreement, until_ms: u64, asked_ms: u64 },
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
    written_ms: Option<u64>,
}

/// The order as the store holds it.
#[derive(Clone, Default)]
struct StoredOrder {
    token: u64,
    holder: Option<(usize, u64)>,
    target: usize,
    term: Term,
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
    store_up: bool,
    acknowledged: Vec<Acknowledged>,
    pub promotions: usize,
    pub served: usize,
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
            store_up: true,
            acknowledged: Vec::new(),
            promotions: 0,
            served: 0,
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
        *group.right_mut() = PrimaryRight::unknown().with_start(at(self.now_ms));
        if self.taken_out == TakenOut::OrdersBeforeVotes {
            group.right_mut().knows_orders();
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
        if self.random.per_mille(3) {
            let whole = self.random.per_mille(500);
            for number in 0..INSTANCES {
                self.instances[number].side =
                    if whole { 0 } else { usize::from(self.random.per_mille(350)) };
            }
        }
        self.servers.disturb(&mut self.random);
    }

    fn act(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let ids: Vec<_> = (0..INSTANCES).map(instance_id).collect();
        let me = &mut self.instances[number];
        me.group.right_mut().set_voters(&ids[number], &ids);
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
        self.replace(number);
    }

    fn heartbeat(&mut self, number: usize) {
        let term = self.instances[number].group.leader().map_or(0, |leader| leader.term);
        let asked_ms = self.now_ms;
        for other in (0..INSTANCES).filter(|other| *other != number) {
            self.send_peer(number, other, Message::Heartbeat { from: number, asked_ms, term });
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
        let leader = if self.taken_out == TakenOut::Right {
            group.leader().filter(|leader| leader.term > 0)
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
            Message::Heartbeat { from, asked_ms, term } => {
                let right = self.instances[to].group.right_mut();
                if let Some(retired) = right.grant(now, &instance_id(from), term) {
                    self.send_peer(to, from, Message::Grant { from: to, asked_ms, retired });
                }
            }
            Message::Grant { from, asked_ms, retired } => {
                let right = self.instances[to].group.right_mut();
                right.granted(&instance_id(from), at(asked_ms), retired);
            }
            Message::TermEnd { from, life, ending, planned } => {
                let side = self.instances[to].side;
                if !planned && self.servers.primary_answers(side, ending.term) {
                    return;
                }
                let token = ending.token;
                let reply = self.instances[to].group.retire(now, &ending);
                self.send_peer(to, from, Message::Promised { from: to, life, token, reply });
            }
            Message::Promised { from, life, token, reply } => {
                if self.instances[to].life == life {
                    self.take_promise(to, from, token, reply);
                }
            }
            Message::Settled { token } => self.instances[to].group.right_mut().settle(token),
            Message::StoreRead { asked_ms } => {
                let ordered = self.stored.term;
                if self.store_up {
                    self.send(to, Message::StoreAnswer { asked_ms, ordered });
                }
            }
            Message::StoreAnswer { asked_ms, ordered } => {
                let right = self.instances[to].group.right_mut();
                right.take_order(ordered);
                right.granted_by_store(at(asked_ms), ordered.saturating_sub(1));
                if at(asked_ms) >= at(self.instances[to].started_ms) {
                    self.instances[to].group.right_mut().knows_orders();
                }
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

    fn acknowledge(&mut self, to: usize, entry: usize, term: Term) {
        let holds = self.instances[to].group.right().holds(at(self.now_ms), term);
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
        let term = group.seen_term().max(group.right().retired()).max(1);
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
        let replacement =
            Replacement { step, term, from, planned, target, token, written_ms: None };
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
        let order = DutyOrder { server: server_id(self.stored.target), term: self.stored.term };
        if !order_permits(Some(&order), &server_id(replacement.target), seen_term) {
            return false;
        }
        // Somebody else took the duty since this instance decided to act.
        let news = self.stored.token != replacement.token && self.stored.holder != Some(me);
        if self.store_up && self.instances[number].reaches_store {
            if news {
                return false;
            }
            self.stored = StoredOrder {
                token: self.stored.token + 1,
                holder: Some(me),
                target: replacement.target,
                term: replacement.term + 1,
            };
            replacement.token = self.stored.token;
            replacement.written_ms = Some(self.now_ms);
        } else if self.stored.holder != Some(me)
            || self.instances[number].spent == replacement.token
        {
            return false;
        }
        let ids: Vec<_> = (0..INSTANCES).map(instance_id).collect();
        let written_at = replacement.written_ms.map(at);
        let agreement = Agreement::new(ids.clone(), ids, written_at);
        let until_ms = self.now_ms + PROMISE_LIMIT_MS;
        replacement.step = Step::Collect { agreement, until_ms, asked_ms: 0 };
        true
    }

    fn collect(
        &mut self,
        number: usize,
        replacement: &mut Replacement,
        agreement: &Agreement,
        until_ms: u64,
        asked_ms: u64,
    ) -> bool {
        let ready = match agreement.readiness(false) {
            Readiness::From(from) => {
                from <= at(self.now_ms) || self.taken_out == TakenOut::WaitForSilent
            }
            Readiness::SomeSilent => self.taken_out == TakenOut::WaitForSilent,
            Readiness::TooFewVotes => {
                let waited = replacement.written_ms.is_some_and(|ms| ms + 900 <= self.now_ms);
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
