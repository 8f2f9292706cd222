//! A simulation, on a virtual clock, of instances that use and replace the primary of a
//! group. Its servers continue to lead after another one was promoted.
//!
//! The instances run the real decisions on primary leases. Messages are delayed or lost,
//! instances are suspended and restarted, partitions form, and the platform's store is
//! unavailable at times. Instances also join, and lose their records or end for good, one by one
//! or all voters at once. In half of the runs the store is also restored from backups.

mod membership;
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
use chervilwharf_lib::primary_lease::ORDER_SEND_LIMIT;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::Promise;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::RESTART_PROMISE_WINDOW;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::primary_lease::STORE_LEASE;
use chervilwharf_lib::primary_lease::StoredLease;
use chervilwharf_lib::primary_lease::readers_end;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::voter_change::VoterChange;
use chervilwharf_lib::voter_set::VoterSet;
use chervilwharf_lib::voter_set::VotersVersion;
use std::time::Duration;

use servers::Servers;
use servers::listed;
use servers::server_id;

/// Number of instances, of which the first [`INITIAL_INSTANCES`] exist from the start.
pub const INSTANCES: usize = 9;
const INITIAL_INSTANCES: usize = 6;
const TICK_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
/// Time limit for the collection of promises by a replacement.
const PROMISE_LIMIT_MS: u64 = 2_000;
/// For how long after its last read of the store a voter promises for an order that is not there,
/// with [`DisabledRule::WrittenOrdersWithinBound`].
const UNWRITTEN_BOUND_MS: u64 = 2_000;
/// After this time no such order can be carried out any more: the bound, the time to send the
/// order, and the time in which the platform carries it out.
const UNWRITTEN_SETTLED_MS: u64 = UNWRITTEN_BOUND_MS + 300 + 7_000;

/// A pseudorandom generator. The same seed gives the same run.
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

/// A rule that a run can disable, to show that the checks detect its absence. Each
/// variant is named after the rule and documented by the resulting behavior.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledRule {
    Nothing,
    /// An order is sent without waiting for the leases of unreachable instances to expire.
    WaitForUnreachable,
    /// A commit is acknowledged although the lease has expired.
    CheckBeforeAcknowledgement,
    /// An instance uses the primary that it knows, with or without a lease.
    LeaseCheck,
    /// Orders are sent without promises from a majority of the voters.
    Majority,
    /// An instance votes as soon as it has started, before it has the store's orders.
    OrdersBeforeVotes,
    /// A planned change does not wait until the successor has the primary's whole log.
    WaitForSuccessorLog,
    /// A read of the store counts as a lease even if no voters have granted the term since
    /// the store was last restored from a backup.
    GrantsInEra,
    /// After a restore, the duty is taken without the highest retired term that a majority
    /// of the voters reports.
    TermsRetiredByMajority,
    /// An instance that has just started votes on the basis of the orders in a restored
    /// store.
    OrdersOfEra,
    /// Tokens continue from the one in the backup instead of the first one of the era.
    TokensOfEra,
    /// Each instance counts votes by the list of instances that it knows.
    AgreedVoters,
    /// An order is sent without confirmation of the promises for it.
    ConfirmedPromises,
    /// A voter promises for an order while another instance may send its order.
    OrderLease,
    /// The voters are replaced in one step.
    JointVoters,
    /// A change of voters is completed without acknowledgements.
    AcknowledgedVoters,
    /// A primary is replaced without the store if all voters promise.
    WrittenOrders,
    /// As before, but each voter promises only for [`UNWRITTEN_BOUND_MS`] after a read that shows
    /// no readers, and readers wait until no such order can be carried out any more.
    WrittenOrdersWithinBound,
    /// An instance writes an order without regard to the one in the store.
    KnownOrders,
    /// Instances that do not vote use the primary by reads of a store that admits no readers.
    AdmittedReaders,
    /// An order for which all voters promised is sent while the leases of readers last.
    WaitForReaders,
    /// As before, but only if the store has stopped to admit readers.
    WaitForFormerReaders,
}

#[derive(Clone)]
enum Message {
    Heartbeat { from: usize, asked_ms: u64, term: Term, era: Era, version: VotersVersion },
    Grant { from: usize, asked_ms: u64, retired: Term, era: Era, version: VotersVersion },
    VotersChange { from: usize, voters: VoterSet },
    VotersAcknowledged { from: usize, voters: VoterSet, retired: Option<Term> },
    LaterVoters { voters: VoterSet },
    TermEnd { from: usize, life: u64, retire_request: RetireRequest, planned: bool },
    Promised { from: usize, life: u64, token: u64, reply: Result<Promise, Objection> },
    Settled { token: u64 },
    StoreRead { asked_ms: u64 },
    StoreAnswer { asked_ms: u64, stored: StoredOrder, era: Era, revision: u64 },
    Write { server: usize, term: Term },
    Written { entry: usize, term: Term },
    Read { server: usize, arrived_ms: u64 },
}

/// The current step of a replacement.
#[derive(Clone)]
enum Step {
    /// The instance is writing its order to the store.
    Claim { until_ms: u64 },
    /// The instance is collecting promises.
    Collect { tally: PromiseTally, until_ms: u64, asked_ms: u64 },
    /// The successor is receiving the rest of the old primary's log.
    Receive { until_ms: u64 },
    /// The instance is collecting the promises again, right before it sends the order.
    Confirm { tally: PromiseTally, asked_ms: u64 },
}

#[derive(Clone)]
struct Replacement {
    step: Step,
    term: Term,
    from: usize,
    planned: bool,
    target: usize,
    token: u64,
    /// `None` for an order that the store does not have.
    written: Option<Written>,
    readers_end: Moment,
    voters: VoterSet,
}

/// When an order was written to the store, and in which era.
#[derive(Clone, Copy)]
struct Written {
    at_ms: u64,
    era: Era,
}

/// The duty record as the store holds it, with the last order.
#[derive(Clone, Default)]
struct StoredOrder {
    token: u64,
    holder: Option<(usize, u64)>,
    target: usize,
    term: Term,
    retired: Term,
    voters: VoterSet,
    admits_readers: bool,
}

impl StoredOrder {
    fn ended_term(&self) -> Term {
        self.term.saturating_sub(1).max(self.retired).max(self.voters.retired)
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
    /// The last token under which the instance ordered a promotion.
    used_token: u64,
    /// Latest era of the store that the instance has seen.
    era: Era,
    /// The order with the highest token that the instance has seen.
    known_order: StoredOrder,
    /// The instance's last read of the store, with the time of its request.
    store_read: Option<(u64, StoredOrder)>,
    /// Since when the reads of the instance have shown that the store admits readers.
    readers_since_ms: Option<u64>,
    /// The latest revision of the store that the instance has received, and when it first did.
    known_revision: (u64, u64),
    /// The instances with a record, as the instance last read them from the store.
    recorded: Vec<bool>,
    /// Whether the instance ended for good, or has not been started yet.
    is_gone: bool,
    /// When the instance ends, if it leaves as planned.
    leaves_at_ms: Option<u64>,
    voter_change: VoterChange,
}

/// An acknowledged commit.
pub struct Acknowledged {
    entry: usize,
    term: Term,
    at_ms: u64,
}

pub struct World {
    random: Random,
    disabled: DisabledRule,
    now_ms: u64,
    instances: Vec<Instance>,
    servers: Servers,
    /// Messages on their way, by time of arrival and number.
    in_flight: BTreeMap<(u64, u64), (usize, Message)>,
    sent_count: u64,
    stored: StoredOrder,
    /// Increases with each change of `stored`.
    revision: u64,
    /// No further partition begins before this time.
    partitioned_until_ms: u64,
    /// Whether instances join and leave in this run.
    changes_instances: bool,
    /// No voters are written before this time.
    changes_from_ms: u64,
    /// When all voters are lost, if they are in this run.
    next_loss_ms: Option<u64>,
    /// When an outage of the store and the primary ends, and all instances restart.
    restart_ms: Option<u64>,
    /// Orders on their way to the platform, by time of arrival and number.
    orders_on_way: BTreeMap<(u64, u64), (usize, u64, Replacement)>,
    /// Whether each instance has a record in the store.
    recorded: Vec<bool>,
    pub voter_changes: usize,
    /// How often all voters were lost at once.
    pub losses: usize,
    /// Commits acknowledged by instances that did not vote.
    pub served_to_readers: usize,
    /// The content of the store at each time, from which it can be restored.
    backups: BTreeMap<u64, StoredOrder>,
    /// The store's era; 0 for a store that is never restored and reports no era.
    era: Era,
    /// When the store will be restored from a backup without a certain order, and that
    /// backup.
    pending_restore: Option<(u64, StoredOrder)>,
    store_up: bool,
    /// The instance, and its incarnation, that ordered a promotion under each token.
    orders: BTreeMap<u64, (usize, u64)>,
    /// Highest token of an order that reached the platform.
    seen_token: u64,
    acknowledged: Vec<Acknowledged>,
    pub promotions: usize,
    pub served: usize,
    pub backups_restored: usize,
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
    pub fn new(seed: u64, disabled: DisabledRule) -> Self {
        let mut world = Self {
            random: Random::new(seed),
            disabled,
            now_ms: 1_000,
            instances: Vec::new(),
            servers: Servers::new(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
            stored: StoredOrder::default(),
            revision: 0,
            partitioned_until_ms: 0,
            recorded: (0..INSTANCES).map(|number| number < INITIAL_INSTANCES).collect(),
            changes_instances: seed / 2 % 2 == 1,
            changes_from_ms: 0,
            next_loss_ms: None,
            restart_ms: None,
            orders_on_way: BTreeMap::new(),
            voter_changes: 0,
            losses: 0,
            served_to_readers: 0,
            backups: BTreeMap::new(),
            // In every other run the store is never restored and reports no era.
            era: seed % 2,
            pending_restore: None,
            store_up: true,
            orders: BTreeMap::new(),
            seen_token: 0,
            acknowledged: Vec::new(),
            promotions: 0,
            served: 0,
            backups_restored: 0,
            violation: None,
        };
        let initial = (0..INITIAL_INSTANCES).map(instance_id).collect();
        world.stored.voters = VoterSet::first(world.era, initial);
        for number in 0..INSTANCES {
            let instance = world.start_instance(number);
            world.instances.push(instance);
            world.instances[number].is_gone = number >= INITIAL_INSTANCES;
        }
        world
    }

    /// A world in which all voters are lost at times, beside the other failures.
    pub fn with_losses(mut self) -> Self {
        let next_loss_ms = Some(self.now_ms + 1_000 + self.random.below(3_000));
        Self { next_loss_ms, changes_instances: true, ..self }
    }

    fn start_instance(&mut self, number: usize) -> Instance {
        let mut group = Group::default();
        *group.primary_lease_mut() =
            PrimaryLease::unknown(instance_id(number)).with_start(at(self.now_ms));
        if self.disabled == DisabledRule::OrdersBeforeVotes {
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
            used_token: 0,
            era: 0,
            known_order: StoredOrder::default(),
            store_read: None,
            readers_since_ms: None,
            known_revision: (0, 0),
            recorded: vec![false; INSTANCES],
            is_gone: false,
            leaves_at_ms: None,
            voter_change: VoterChange::default(),
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        // Most messages arrive after a short delay, some are late.
        let late = if self.random.per_mille(30) { self.random.below(700) } else { 0 };
        let delay = 1 + self.random.below(15) + late;
        self.sent_count += 1;
        self.in_flight.insert((self.now_ms + delay, self.sent_count), (to, message));
    }

    /// Sends a message to another instance, unless a partition separates the two.
    fn send_peer(&mut self, from: usize, to: usize, message: Message) {
        let lost = self.random.per_mille(20);
        if self.instances[from].side == self.instances[to].side && !lost {
            self.send(to, message);
        }
    }

    pub fn step(&mut self) {
        self.now_ms += TICK_MS;
        self.inject_faults();
        while let Some(entry) = self.orders_on_way.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (number, life, replacement) = entry.remove();
            self.carry_out_order(number, life, &replacement);
        }
        let promoted = self.servers.step(self.now_ms);
        if let Some(promoted) = promoted {
            self.promotions += 1;
            self.check_lost(&promoted);
        }
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let ((_, number), (to, message)) = entry.remove_entry();
            let frozen_until_ms = self.instances[to].frozen_until_ms;
            if frozen_until_ms > self.now_ms && !Self::is_for_server(&message) {
                // The instance is suspended and receives the message when it resumes.
                self.in_flight.insert((frozen_until_ms, number), (to, message));
                continue;
            }
            if !self.instances[to].is_gone {
                self.receive(to, message);
            }
        }
        for number in 0..INSTANCES {
            let me = &self.instances[number];
            if me.frozen_until_ms <= self.now_ms && !me.is_gone {
                self.act(number);
            }
        }
    }

    fn is_for_server(message: &Message) -> bool {
        matches!(message, Message::Write { .. } | Message::Read { .. } | Message::StoreRead { .. })
    }

    fn inject_faults(&mut self) {
        let number = self.any_instance();
        if self.random.per_mille(2) {
            self.instances[number].frozen_until_ms = self.now_ms + 200 + self.random.below(4_000);
        }
        let is_gone = self.instances[number].is_gone;
        if self.random.per_mille(2) && !is_gone {
            let Instance { reaches_store, side, .. } = self.instances[number];
            self.instances[number] =
                Instance { reaches_store, side, ..self.start_instance(number) };
        }
        if self.random.per_mille(2) {
            self.instances[number].reaches_store ^= true;
        }
        if self.random.per_mille(1) {
            self.store_up ^= true;
        }
        if self.era > 0 {
            self.inject_store_faults();
        }
        if self.next_loss_ms.is_some_and(|at_ms| at_ms <= self.now_ms) {
            self.lose_all_voters();
        }
        if self.restart_ms.take_if(|at_ms| *at_ms <= self.now_ms).is_some() {
            self.restart_all();
        }
        if self.random.per_mille(3) && self.now_ms >= self.partitioned_until_ms {
            let whole = self.random.per_mille(500);
            for number in 0..INSTANCES {
                self.instances[number].side =
                    if whole { 0 } else { usize::from(self.random.per_mille(350)) };
            }
            if !whole && self.changes_instances && self.random.per_mille(300) {
                self.join_on_one_side();
            }
        }
        if self.changes_instances {
            self.change_instances(number);
        }
        if self.now_ms >= self.partitioned_until_ms {
            self.servers.inject_faults(&mut self.random);
        }
    }

    fn inject_store_faults(&mut self) {
        self.backups.insert(self.now_ms, self.stored.clone());
        if self.random.per_mille(1) {
            let backup_ms = self.now_ms - self.random.below(5_000).min(self.now_ms);
            let backup = self.backups.range(..=backup_ms).next_back();
            let backup = backup.map(|(_, stored)| stored.clone()).unwrap_or_default();
            self.restore_backup(backup);
        }
        if let Some((_, backup)) =
            self.pending_restore.take_if(|(due_ms, _)| *due_ms <= self.now_ms)
        {
            self.restore_backup(backup);
            if self.random.per_mille(700) {
                self.restart_behind_a_partition();
            }
        }
    }

    /// Partitions the instances at random and restarts one, which may have promised the
    /// lost order, so that it may only reach instances without that order.
    fn restart_behind_a_partition(&mut self) {
        for number in 0..INSTANCES {
            self.instances[number].side = usize::from(self.random.per_mille(500));
        }
        let number = self.any_instance();
        let Instance { reaches_store, side, is_gone, .. } = self.instances[number];
        if !is_gone {
            self.instances[number] =
                Instance { reaches_store, side, ..self.start_instance(number) };
        }
    }

    /// Restores the store from a backup, which begins a new era.
    fn restore_backup(&mut self, backup: StoredOrder) {
        self.put(backup);
        self.era += 1;
        self.backups_restored += 1;
    }

    /// Replaces the record in the store.
    fn put(&mut self, stored: StoredOrder) {
        self.stored = stored;
        self.revision += 1;
    }

    fn observe_revision(&mut self, number: usize, revision: u64) {
        let known = &mut self.instances[number].known_revision;
        if known.0 < revision {
            *known = (revision, self.now_ms);
        }
    }

    fn observe_era(&mut self, number: usize, era: Era) {
        let me = &mut self.instances[number];
        me.era = me.era.max(era);
        me.group.primary_lease_mut().note_era(me.era);
    }

    fn act(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.disabled == DisabledRule::AgreedVoters {
            self.use_known_instances(number);
        } else if self.random.per_mille(100) {
            self.maintain_voters(number);
        }
        let me = &mut self.instances[number];
        if now_ms >= me.next_heartbeat_ms {
            me.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
            self.heartbeat(number);
        }
        if self.random.per_mille(60) {
            self.query_servers(number);
        }
        if self.random.per_mille(150) {
            self.use_primary(number);
        }
        if self.random.per_mille(20) {
            self.renew_duty(number);
        }
        if self.next_loss_ms.is_some() && self.random.per_mille(20) {
            self.change_readers(number);
        }
        self.replace(number);
    }

    fn heartbeat(&mut self, number: usize) {
        let term = self.instances[number].group.leader().map_or(0, |leader| leader.term);
        let (asked_ms, era) = (self.now_ms, self.instances[number].era);
        let version = self.instances[number].group.primary_lease().voters().version;
        for other in (0..INSTANCES).filter(|other| *other != number) {
            let message = Message::Heartbeat { from: number, asked_ms, term, era, version };
            self.send_peer(number, other, message);
        }
        if self.store_up && self.instances[number].reaches_store {
            self.recorded[number] |= self.random.per_mille(300);
            self.send(number, Message::StoreRead { asked_ms });
        }
    }

    fn query_servers(&mut self, number: usize) {
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
        let leader = if self.disabled == DisabledRule::LeaseCheck || trusts_store {
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
            Message::Heartbeat { from, asked_ms, term, era, version } => {
                self.observe_era(to, era);
                let era = self.instances[to].era;
                let version = self.version_for(to, version);
                let primary_lease = self.instances[to].group.primary_lease_mut();
                let granted = primary_lease.grant(now, &instance_id(from), term, version);
                let voters = primary_lease.voters().clone();
                if let Some(retired) = granted {
                    let grant = Message::Grant { from: to, asked_ms, retired, era, version };
                    self.send_peer(to, from, grant);
                } else if voters.version > version {
                    self.send_peer(to, from, Message::LaterVoters { voters });
                }
            }
            Message::Grant { from, asked_ms, retired, era, version } => {
                self.observe_era(to, era);
                let version = self.version_for(to, version);
                let primary_lease = self.instances[to].group.primary_lease_mut();
                primary_lease.granted(&instance_id(from), at(asked_ms), retired, era, version);
            }
            Message::VotersChange { from, voters } => {
                let retired = self.acknowledge_voters(to, &voters);
                let reply = Message::VotersAcknowledged { from: to, voters, retired };
                self.send_peer(to, from, reply);
            }
            Message::VotersAcknowledged { from, voters, retired } => {
                let change = &mut self.instances[to].voter_change;
                if let Some(retired) = retired {
                    change.acknowledged(now, &voters, &instance_id(from), retired);
                }
            }
            Message::LaterVoters { voters } => {
                self.instances[to].group.primary_lease_mut().adopt_voters(now, &voters);
            }
            Message::TermEnd { from, life, retire_request, planned } => {
                let side = self.instances[to].side;
                if !planned && self.servers.primary_answers(side, retire_request.term) {
                    return;
                }
                let token = retire_request.token;
                let mut retire_request = retire_request;
                if retire_request.written_era.is_none() && self.promises_unwritten(to) {
                    // The voter takes it for one that the store has.
                    retire_request.written_era = Some(self.instances[to].era);
                }
                if self.disabled == DisabledRule::AgreedVoters {
                    let voters = self.instances[to].group.primary_lease().voters();
                    retire_request.voters = voters.clone();
                }
                let reply = self.instances[to].group.retire(now, &retire_request);
                if reply.is_ok() {
                    self.record_promised_order(to, &retire_request);
                }
                self.send_peer(to, from, Message::Promised { from: to, life, token, reply });
            }
            Message::Promised { from, life, token, reply } => {
                if self.instances[to].life == life {
                    self.record_promise(to, from, token, reply);
                }
            }
            Message::Settled { token } => {
                self.instances[to].group.primary_lease_mut().record_order_ended(token);
            }
            Message::StoreRead { asked_ms } => {
                let (stored, era, revision) = (self.stored.clone(), self.era, self.revision);
                if self.store_up {
                    self.send(to, Message::StoreAnswer { asked_ms, stored, era, revision });
                }
            }
            Message::StoreAnswer { asked_ms, stored, era, revision } => {
                self.observe_revision(to, revision);
                self.instances[to].recorded.clone_from(&self.recorded);
                self.observe_era(to, era);
                self.record_store_read(to, asked_ms, stored, era);
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

    fn record_store_read(&mut self, to: usize, asked_ms: u64, stored: StoredOrder, era: Era) {
        let me = &mut self.instances[to];
        let ended = stored.ended_term();
        let primary_lease = me.group.primary_lease_mut();
        primary_lease.adopt_ended_term(ended);
        let voters = if self.disabled == DisabledRule::AgreedVoters {
            primary_lease.voters().clone()
        } else {
            stored.voters.clone()
        };
        let readers_since_ms = *me.readers_since_ms.get_or_insert(self.now_ms);
        if !stored.admits_readers {
            me.readers_since_ms = None;
        }
        let is_settled = readers_since_ms + UNWRITTEN_SETTLED_MS <= self.now_ms
            || self.disabled != DisabledRule::WrittenOrdersWithinBound;
        let admits_readers =
            stored.admits_readers && is_settled || self.disabled == DisabledRule::AdmittedReaders;
        let read = StoredLease { retired: ended, voters, admits_readers };
        primary_lease.record_store_grant(at(self.now_ms), at(asked_ms), era, &read);
        let settled = at(self.now_ms) >= at(me.started_ms) + RESTART_PROMISE_WINDOW;
        let trusted = era == 0
            || is_token_of_era(stored.token, era)
            || settled
            || self.disabled == DisabledRule::OrdersOfEra;
        if asked_ms >= me.started_ms && trusted {
            primary_lease.orders_known();
        }
        if stored.token > me.known_order.token {
            me.known_order = stored.clone();
        }
        me.store_read = Some((asked_ms, stored));
    }

    /// Whether an instance relies on its last read of the store alone, which it does if
    /// the rule [`DisabledRule::GrantsInEra`] is disabled.
    fn trusts_store(&self, number: usize, term: Term) -> bool {
        let me = &self.instances[number];
        let fresh = me
            .store_read
            .as_ref()
            .filter(|(asked_ms, _)| at(*asked_ms) + STORE_LEASE > at(self.now_ms));
        let granted = fresh.is_some_and(|(_, stored)| stored.ended_term() < term);
        let disabled = self.disabled == DisabledRule::GrantsInEra;
        disabled && granted && term > me.group.primary_lease().retired()
    }

    /// Records the order that an instance promised, since a backup may lack it.
    fn record_promised_order(&mut self, number: usize, retire_request: &RetireRequest) {
        let known = &mut self.instances[number].known_order;
        if retire_request.token > known.token {
            *known = StoredOrder {
                token: retire_request.token,
                target: number_of(&retire_request.successor),
                term: retire_request.term + 1,
                holder: None,
                ..known.clone()
            };
        }
    }

    fn acknowledge(&mut self, to: usize, entry: usize, term: Term) {
        let holds = self.instances[to].group.primary_lease().holds(at(self.now_ms), term)
            || self.trusts_store(to, term);
        if !holds && self.disabled != DisabledRule::CheckBeforeAcknowledgement {
            return;
        }
        self.served += 1;
        let voters = self.instances[to].group.primary_lease().voters();
        self.served_to_readers += usize::from(!voters.is_in_each_list(&instance_id(to)));
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
        let missed = self.acknowledged.iter().find(|commit| {
            commit.at_ms < arrived_ms
                && self.servers.survives(commit.entry)
                && !self.servers.has(server, commit.entry)
        });
        if let Some(commit) = missed {
            self.violation = Some(format!(
                "STALE: a read of {arrived_ms} ms at server {server} lacks what term {} \
                acknowledged at {} ms",
                commit.term, commit.at_ms
            ));
        }
    }

    /// Checks that a planned change does not roll back an acknowledged commit.
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
            Some(replacement) => self.continue_replacement(number, replacement),
        }
    }

    fn begin_replacement(&mut self, number: usize) {
        // After a loss, readers need some time to find that they lack the lease, and an order that
        // gets no promises would keep all from the primary.
        let is_slow = self.next_loss_ms.is_some();
        let chance = if is_slow { 2 } else { 3 };
        if !self.random.per_mille(chance) || is_slow && !self.has_voters_on_its_side(number) {
            return;
        }
        // An instance awaits the answer to an order before it begins another replacement.
        let life = self.instances[number].life;
        if self.orders_on_way.values().any(|(by, by_life, _)| (*by, *by_life) == (number, life)) {
            return;
        }
        let Instance { group, known_order, .. } = &self.instances[number];
        let observed = group.highest_observed_term().max(1);
        let (term, token) = if self.disabled == DisabledRule::KnownOrders {
            (observed, self.stored.token)
        } else {
            (observed.max(known_order.ended_term()), known_order.token)
        };
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
        let (written, readers_end, voters) = Default::default();
        let replacement =
            Replacement { step, term, from, planned, target, token, written, readers_end, voters };
        self.instances[number].replacement = Some(replacement);
    }

    fn continue_replacement(&mut self, number: usize, mut replacement: Replacement) {
        let done = match replacement.step.clone() {
            Step::Claim { until_ms } => {
                self.now_ms >= until_ms && !self.claim(number, &mut replacement)
            }
            Step::Collect { tally, until_ms, asked_ms } => {
                self.collect(number, &mut replacement, &tally, until_ms, asked_ms)
            }
            Step::Receive { until_ms } => self.await_successor(number, &mut replacement, until_ms),
            Step::Confirm { tally, asked_ms } => {
                let is_confirmed = tally.has_majority()
                    || self.disabled == DisabledRule::ConfirmedPromises
                    || self.disabled == DisabledRule::Majority;
                let is_late = at(self.now_ms) > at(asked_ms) + ORDER_SEND_LIMIT;
                if is_confirmed && !is_late {
                    let delay = if self.random.per_mille(200) { self.random.below(400) } else { 0 };
                    self.instances[number].used_token = replacement.token;
                    self.sent_count += 1;
                    let arrival = (self.now_ms + delay, self.sent_count);
                    let life = self.instances[number].life;
                    self.orders_on_way.insert(arrival, (number, life, replacement.clone()));
                }
                is_confirmed || is_late
            }
        };
        // The replacement may have been abandoned during the step.
        let given_up = self.instances[number].replacement.is_none();
        self.instances[number].replacement = (!done && !given_up).then_some(replacement);
    }

    /// Takes the duty under a new token or, while the store is unavailable, reuses a token
    /// of the present incarnation. Returns whether that was possible.
    fn claim(&mut self, number: usize, replacement: &mut Replacement) -> bool {
        let me = (number, self.instances[number].life);
        let highest_observed_term = self.instances[number].group.highest_observed_term();
        let last = self.last_order(number);
        let order = DutyOrder { server: server_id(last.target), term: last.term };
        if !order_permits(Some(&order), &server_id(replacement.target), highest_observed_term) {
            return false;
        }
        // Another instance has taken the duty since this one began the replacement.
        let note_duty_holder =
            self.stored.token != replacement.token && self.stored.holder != Some(me);
        if self.store_up && self.instances[number].reaches_store {
            let Some(next) = self.next_order(number).filter(|_| !note_duty_holder) else {
                return false;
            };
            self.observe_era(number, self.era);
            let (target, term) = (replacement.target, replacement.term + 1);
            if self.era > 0 && self.random.per_mille(500) {
                let due_ms = self.now_ms + self.random.below(2_500);
                self.pending_restore = Some((due_ms, self.stored.clone()));
            }
            self.observe_revision(number, self.revision);
            let known_since_ms = self.instances[number].known_revision.1;
            replacement.readers_end = match self.disabled {
                DisabledRule::WaitForReaders => at(0),
                DisabledRule::WaitForFormerReaders if !self.stored.admits_readers => at(0),
                _ => {
                    let admits_readers = self.stored.admits_readers;
                    readers_end(at(self.now_ms), admits_readers, at(known_since_ms))
                }
            };
            self.put(StoredOrder { target, term, ..next });
            self.observe_revision(number, self.revision);
            let written_voters = self.stored.voters.clone();
            let primary_lease = self.instances[number].group.primary_lease_mut();
            primary_lease.adopt_voters(at(self.now_ms), &written_voters);
            self.instances[number].known_order = self.stored.clone();
            replacement.token = self.stored.token;
            replacement.written = Some(Written { at_ms: self.now_ms, era: self.era });
        } else {
            let token = self.reusable_token(number);
            let Some(token) = token.filter(|_| self.replaces_without_store()) else {
                return false;
            };
            replacement.token = token;
        }
        replacement.voters = self.instances[number].group.primary_lease().voters().clone();
        let tally = Self::new_tally(replacement);
        let until_ms = self.now_ms + PROMISE_LIMIT_MS;
        replacement.step = Step::Collect { tally, until_ms, asked_ms: 0 };
        true
    }

    fn new_tally(replacement: &Replacement) -> PromiseTally {
        let ids = (0..INSTANCES).map(instance_id).collect();
        let written_at = at(replacement.written.map_or(0, |written| written.at_ms));
        let voters = replacement.voters.clone();
        PromiseTally::new(voters, ids, written_at, replacement.readers_end)
    }

    /// The token of the present incarnation, if it holds the duty and has ordered nothing
    /// under the token.
    fn reusable_token(&self, number: usize) -> Option<u64> {
        let me = &self.instances[number];
        let ours = me.known_order.holder == Some((number, me.life))
            && me.used_token < me.known_order.token;
        ours.then_some(me.known_order.token)
    }

    /// The last order: the one in the store, or a later one that a backup lacked.
    fn last_order(&self, number: usize) -> StoredOrder {
        let known = &self.instances[number].known_order;
        if known.token > self.stored.token { known.clone() } else { self.stored.clone() }
    }

    /// The record, with the last order, that an instance writes when it takes the duty;
    /// `None` if it may not take it.
    fn next_order(&self, number: usize) -> Option<StoredOrder> {
        let me = &self.instances[number];
        let last = self.last_order(number);
        let mut retired = last.retired;
        let majority_is_needed = self.era > 0 && !is_token_of_era(self.stored.token, self.era);
        if majority_is_needed && self.disabled != DisabledRule::TermsRetiredByMajority {
            // The voters reported in the latest era that the instance has seen, so that
            // must be the store's present one.
            let reported =
                me.group.primary_lease().retired_by_majority().filter(|_| me.era == self.era)?;
            retired = retired.max(reported);
        }
        let token = if self.disabled == DisabledRule::TokensOfEra {
            self.stored.token + 1
        } else {
            (self.stored.token + 1).max(first_token(self.era))
        };
        let known = me.group.primary_lease().voters();
        let is_later = known.version > self.stored.voters.version;
        let voters = if is_later { known.clone() } else { self.stored.voters.clone() };
        Some(StoredOrder { token, holder: Some((number, me.life)), retired, voters, ..last })
    }

    /// Takes the duty again after a restore of the store, with the latest known order.
    fn renew_duty(&mut self, number: usize) {
        let me = &self.instances[number];
        let reaches = self.store_up && me.reaches_store && me.era == self.era && me.era > 0;
        if !reaches || me.replacement.is_some() || is_token_of_era(self.stored.token, self.era) {
            return;
        }
        if let Some(next) = self.next_order(number) {
            self.put(next);
            self.instances[number].known_order = self.stored.clone();
        }
    }

    fn collect(
        &mut self,
        number: usize,
        replacement: &mut Replacement,
        tally: &PromiseTally,
        until_ms: u64,
        asked_ms: u64,
    ) -> bool {
        let is_silent = |voter: &InstanceId| tally.missing().any(|missing| missing == voter);
        let all_promised = replacement.voters.has_all(|voter| !is_silent(voter));
        let ready = match tally.readiness(false) {
            Readiness::From(_) if replacement.written.is_none() && !all_promised => false,
            Readiness::From(from) => {
                from <= at(self.now_ms) || self.disabled == DisabledRule::WaitForUnreachable
            }
            Readiness::TooFewVotes => {
                let written = replacement.written;
                let waited = written.is_some_and(|written| written.at_ms + 900 <= self.now_ms);
                self.disabled == DisabledRule::Majority && waited
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
            let tally = tally.clone();
            let missing: Vec<_> = tally.missing().map(|id| number_of(id)).collect();
            replacement.step = Step::Collect { tally, until_ms, asked_ms: self.now_ms };
            self.request_promises(number, replacement, &missing);
        }
        false
    }

    fn request_promises(&mut self, number: usize, replacement: &Replacement, others: &[usize]) {
        let (life, planned) = (self.instances[number].life, replacement.planned);
        let retire_request = RetireRequest {
            holder: self.order_holder(number),
            life: if self.disabled == DisabledRule::OrderLease { 0 } else { life },
            term: replacement.term,
            token: replacement.token,
            successor: server_id(replacement.target),
            withdrawn: 0,
            written_era: replacement.written.map(|written| written.era).or_else(|| {
                // The voters take it for one that the store has.
                (self.disabled == DisabledRule::WrittenOrders).then_some(self.era)
            }),
            voters: replacement.voters.clone(),
        };
        for other in others {
            let retire_request = retire_request.clone();
            let message = Message::TermEnd { from: number, life, retire_request, planned };
            if *other == number {
                self.send(number, message);
            } else {
                self.send_peer(number, *other, message);
            }
        }
    }

    fn record_promise(
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
            (Step::Collect { tally, .. } | Step::Confirm { tally, .. }, Ok(promise)) => {
                tally.promised(now, &instance_id(from), promise);
            }
            // The voter is asked again.
            (Step::Collect { .. }, Err(Objection::UnsentOrder(_) | Objection::JustStarted)) => {}
            // Another replacement is in progress or has completed.
            (Step::Collect { .. } | Step::Confirm { .. }, Err(_)) => me.replacement = None,
            _ => {}
        }
    }

    fn await_successor(
        &mut self,
        number: usize,
        replacement: &mut Replacement,
        until_ms: u64,
    ) -> bool {
        let side = self.instances[number].side;
        if !self.servers.reachable(side).contains(&replacement.target) {
            return true;
        }
        let target = replacement.target;
        let old: ServerStatus = self.servers.status(replacement.from);
        let has: Position = self.servers.status(target).received;
        let waits = self.disabled != DisabledRule::WaitForSuccessorLog;
        if waits && replacement.planned && has < old.received && self.now_ms < until_ms {
            return false;
        }
        let tally = Self::new_tally(replacement);
        replacement.step = Step::Confirm { tally, asked_ms: self.now_ms };
        let all: Vec<_> = (0..INSTANCES).collect();
        self.request_promises(number, replacement, &all);
        false
    }

    /// The instance that an order belongs to, as the voters are told.
    fn order_holder(&self, number: usize) -> InstanceId {
        if self.disabled == DisabledRule::OrderLease { "".into() } else { instance_id(number) }
    }

    fn carry_out_order(&mut self, number: usize, life: u64, replacement: &Replacement) {
        let target = replacement.target;
        let old: ServerStatus = self.servers.status(replacement.from);
        let has: Position = self.servers.status(target).received;
        let waits = self.disabled != DisabledRule::WaitForSuccessorLog;
        if replacement.token < self.seen_token {
            self.violation = Some(format!(
                "ONE: an order under token {} after one under {}",
                replacement.token, self.seen_token
            ));
        }
        self.seen_token = self.seen_token.max(replacement.token);
        // An order that was not answered can take effect seconds later.
        let unanswered = self.random.per_mille(100);
        let late = if unanswered { self.random.below(5_400) } else { 0 };
        let effect_ms = self.now_ms + 200 + self.random.below(800) + late;
        let planned = replacement.planned && (has >= old.received || !waits);
        let me = (number, life);
        let before = self.orders.insert(replacement.token, me);
        if before.is_some_and(|before| before != me) {
            self.violation =
                Some(format!("ONE: two instances order under token {}", replacement.token));
        }
        self.servers.order(target, replacement.term + 1, effect_ms, planned);
        if !unanswered {
            for other in 0..INSTANCES {
                let message = Message::Settled { token: replacement.token };
                self.sent_count += 1;
                self.in_flight.insert((effect_ms + 5, self.sent_count), (other, message));
            }
        }
    }
}
