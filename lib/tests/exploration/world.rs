//! Simulation of instances and servers on a virtual clock. Late and lost messages,
//! pauses, restarts and network partitions are drawn from one seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::config::Config;
use chervilwharf_lib::instance::Gate;
use chervilwharf_lib::instance::Instance;
use chervilwharf_lib::instance::InstanceAction;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::membership::HeartbeatBody;
use chervilwharf_lib::membership::MembershipTiming;
use chervilwharf_lib::membership::PeerInfo;
use chervilwharf_lib::ownership_types::OwnershipAction;
use chervilwharf_lib::ownership_types::OwnershipEvent;
use chervilwharf_lib::ownership_types::OwnershipTiming;
use chervilwharf_lib::position::Position;

use crate::servers::MissingRule;
use crate::servers::Server;
use crate::servers::server_name;

const DATABASE: &str = "db";
const SERVERS: usize = 3;
const INSTANCES: usize = 3;

/// Step of the virtual clock.
const STEP_MS: u64 = 5;

/// Message between instances, or between an instance and a server.
#[derive(Clone, Debug)]
enum Message {
    Control { instance: usize, server: usize, action: OwnershipAction },
    Event { instance: usize, event: OwnershipEvent },
    Heartbeat { from: usize, to: usize, sequence: u64, body: HeartbeatBody },
    HeartbeatReply { to: usize, sequence: u64, body: HeartbeatBody },
    Handover { from: usize, to: usize, term: u64 },
    HandoverEnded { from: usize, accepted: bool },
    Write { instance: usize, server: usize, term: u64, write: u64 },
    Written { instance: usize, term: u64, write: u64, position: Position },
    Read { read: Read, server: usize },
    ReadDone { read: Read, server: usize, applied: Position, seen: BTreeSet<u64> },
    ReplicaState { instance: usize, server: usize },
    ReplicaIs { instance: usize, server: usize, term: u64, received: Position },
}

/// A read in progress.
#[derive(Clone, Debug)]
struct Read {
    instance: usize,
    term: u64,
    /// Number of handovers that the instance had begun when the read started. A
    /// handover starts only once no read is in progress.
    handovers: u32,
    /// Writes that had been acknowledged before the read started.
    expected: BTreeSet<u64>,
    sent_at_ms: u64,
}

struct Node {
    instance: Instance,
    paused_until_ms: u64,
    /// Writes that a server has executed but no replica has confirmed yet, as term,
    /// write and position.
    unconfirmed: Vec<(u64, u64, Position)>,
    handovers: u32,
    /// Number of restarts. Messages to an earlier incarnation are lost.
    incarnation: u32,
}

/// Events counted in a run, so that a test can check that the run did work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub acknowledged: usize,
    pub promotions: usize,
    pub reads: usize,
}

/// Simulation of one run.
pub struct World {
    seed: u64,
    base: Instant,
    now_ms: u64,
    servers: Vec<Server>,
    server_down_until_ms: [u64; SERVERS],
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), (Message, [u32; INSTANCES])>,
    next_message: u64,
    cut: BTreeSet<(usize, usize)>,
    acknowledged: BTreeSet<u64>,
    next_write: u64,
    promoted_by: BTreeMap<u64, usize>,
    rule: MissingRule,
    pub counts: Counts,
    pub violation: Option<String>,
}

fn instance_name(index: usize) -> Arc<str> {
    format!("instance-{index}").into()
}

fn peer_info(index: usize) -> PeerInfo {
    PeerInfo {
        id: instance_name(index),
        address: "".into(),
        admin_address: "".into(),
        failure_domain: format!("domain-{index}").into(),
        leaving: false,
        configuration_version: 1,
    }
}

fn configuration() -> Config {
    let servers: Vec<_> = (0..SERVERS)
        .map(|index| {
            serde_json::json!({
                "id": server_name(index), "address": "127.0.0.1:1",
                "failure_domain": format!("domain-{index}"),
            })
        })
        .collect();
    let value = serde_json::json!({
        "failure_domains": ["domain-0", "domain-1", "domain-2"],
        "databases": { DATABASE: { "servers": servers } },
        "services": {}, "accounts": {},
    });
    serde_json::from_value(value).expect("a valid configuration")
}

fn new_node(index: usize, now: Instant, incarnation: u32) -> Node {
    let timing = MembershipTiming::default();
    let life = incarnation.to_string();
    let instance = Instance::new(peer_info(index), &life, timing, OwnershipTiming::default());
    instance.configure(&configuration(), 1);
    let others = (0..INSTANCES).filter(|other| *other != index).map(peer_info);
    instance.membership().add_peers(now, others);
    Node { instance, paused_until_ms: 0, unconfirmed: Vec::new(), handovers: 0, incarnation }
}

impl World {
    pub fn new(seed: u64, rule: MissingRule) -> Self {
        let base = Instant::now();
        Self {
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            base,
            now_ms: 0,
            servers: vec![Server::default(); SERVERS],
            server_down_until_ms: [0; SERVERS],
            nodes: (0..INSTANCES).map(|index| new_node(index, base, 0)).collect(),
            queue: BTreeMap::new(),
            next_message: 0,
            cut: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            next_write: 1,
            promoted_by: BTreeMap::new(),
            rule,
            counts: Counts::default(),
            violation: None,
        }
    }

    fn random(&mut self, limit: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) % limit
    }

    fn index(&mut self, limit: usize) -> usize {
        usize::try_from(self.random(limit as u64)).expect("small")
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Sends a message. Most arrive within 6 ms, some later, and 1 % are lost.
    fn send(&mut self, message: Message) {
        let delay_ms = match self.random(100) {
            0 => return,
            1..=3 => 50 + self.random(2000),
            4..=20 => 10 + self.random(60),
            _ => self.random(6),
        };
        let due = (self.now_ms + delay_ms, self.next_message);
        self.next_message += 1;
        let incarnations = std::array::from_fn(|index| self.nodes[index].incarnation);
        self.queue.insert(due, (message, incarnations));
    }

    fn record_violation(&mut self, what: &str) {
        self.violation.get_or_insert(format!("at {} ms: {what}", self.now_ms));
    }

    /// Runs for a virtual time, or until an invariant is violated.
    pub fn run(&mut self, duration: Duration) {
        let end_ms = u64::try_from(duration.as_millis()).expect("short");
        while self.now_ms < end_ms && self.violation.is_none() {
            self.now_ms += STEP_MS;
            self.inject_fault();
            self.replicate();
            self.deliver();
            for index in 0..INSTANCES {
                if !self.is_paused(index) {
                    self.step_instance(index);
                }
            }
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.nodes[index].paused_until_ms > self.now_ms
    }

    fn inject_fault(&mut self) {
        match self.random(1200) {
            0 => {
                let index = self.index(INSTANCES);
                let pause_ms = 100 + self.random(3000);
                self.nodes[index].paused_until_ms = self.now_ms + pause_ms;
            }
            1 => {
                let index = self.index(INSTANCES);
                let incarnation = self.nodes[index].incarnation + 1;
                self.nodes[index] = new_node(index, self.now(), incarnation);
            }
            2 => {
                let index = self.index(SERVERS);
                let down_ms = 100 + self.random(3000);
                self.server_down_until_ms[index] = self.now_ms + down_ms;
            }
            3 => {
                // Node numbers: the servers come first, then the instances.
                let nodes = SERVERS + INSTANCES;
                let (a, b) = (self.index(nodes), self.index(nodes));
                self.cut.insert((a.min(b), a.max(b)));
            }
            4..=6 => self.cut.clear(),
            _ => {}
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn reaches(&self, instance: usize, server: usize) -> bool {
        !self.is_cut(SERVERS + instance, server) && self.server_down_until_ms[server] <= self.now_ms
    }

    fn replicate(&mut self) {
        for index in 0..SERVERS {
            self.servers[index].since_primary_contact_ms += STEP_MS;
            let Some(primary) = self.servers[index].follows else {
                continue;
            };
            let down = self.server_down_until_ms[index].max(self.server_down_until_ms[primary]);
            if down > self.now_ms || self.is_cut(index, primary) || self.random(3) == 0 {
                continue;
            }
            let limit = self.index(4);
            let source = self.servers[primary].clone();
            self.servers[index].replicate(&source, limit, self.rule);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now_ms || self.violation.is_some() {
                break;
            }
            let (message, incarnations) = entry.remove();
            self.receive(&message, incarnations);
        }
    }

    /// Whether an instance processes a message now: it has not restarted since the
    /// message was sent, and is not paused. A paused instance gets the message at
    /// the end of its pause.
    fn accepts(&mut self, index: usize, message: &Message, incarnations: [u32; INSTANCES]) -> bool {
        if self.nodes[index].incarnation != incarnations[index] {
            return false;
        }
        if !self.is_paused(index) {
            return true;
        }
        let due = (self.nodes[index].paused_until_ms, self.next_message);
        self.next_message += 1;
        self.queue.insert(due, (message.clone(), incarnations));
        false
    }

    fn receive(&mut self, message: &Message, incarnations: [u32; INSTANCES]) {
        match message.clone() {
            Message::Control { instance, server, action } => {
                self.control(instance, server, action);
            }
            Message::Event { instance, event } => {
                if self.accepts(instance, message, incarnations) {
                    self.ownership(instance, event);
                }
            }
            Message::Heartbeat { from, to, sequence, body } => {
                if self.is_cut(SERVERS + from, SERVERS + to) {
                    return;
                }
                if self.accepts(to, message, incarnations) {
                    self.event(to, InstanceEvent::Heartbeat(body));
                    let body = self.nodes[to].instance.heartbeat_body();
                    self.send(Message::HeartbeatReply { to: from, sequence, body });
                }
            }
            Message::HeartbeatReply { to, sequence, body } => {
                if self.accepts(to, message, incarnations) {
                    self.event(to, InstanceEvent::HeartbeatAnswered { sequence, body });
                }
            }
            Message::Handover { from, to, term } => {
                if self.accepts(to, message, incarnations) {
                    let database = DATABASE.into();
                    self.event(to, InstanceEvent::HandoverOffered { database, term });
                    // Half of the answers report a failure although the offer was
                    // accepted.
                    let accepted = self.random(2) == 0;
                    self.send(Message::HandoverEnded { from, accepted });
                }
            }
            Message::HandoverEnded { from, accepted } => {
                if self.accepts(from, message, incarnations) {
                    let database = DATABASE.into();
                    self.event(from, InstanceEvent::HandoverEnded { database, accepted });
                }
            }
            Message::Write { instance, server, term, write } => {
                if !self.reaches(instance, server) {
                    return;
                }
                if let Some(position) = self.servers[server].write(term, write, self.rule) {
                    self.send(Message::Written { instance, term, write, position });
                }
            }
            Message::Written { instance, term, write, position } => {
                if self.accepts(instance, message, incarnations) {
                    self.nodes[instance].unconfirmed.push((term, write, position));
                }
            }
            Message::Read { read, server } => {
                let state = &self.servers[server];
                let allowed = self.rule == MissingRule::TermCheck || state.term == read.term;
                if self.reaches(read.instance, server) && allowed {
                    let seen = state.log.iter().filter_map(|entry| entry.write).collect();
                    let applied = state.state().applied;
                    self.send(Message::ReadDone { read, server, applied, seen });
                }
            }
            Message::ReadDone { read, server, applied, seen } => {
                if self.accepts(read.instance, message, incarnations) {
                    let sent_at = self.base + Duration::from_millis(read.sent_at_ms);
                    self.nodes[read.instance].instance.with_database(DATABASE, |state| {
                        let server = server_name(server);
                        state.ownership.answered(&server, read.term, sent_at, applied);
                    });
                    self.answer_read(&read, &seen);
                }
            }
            Message::ReplicaState { instance, server } => {
                if self.reaches(instance, server) {
                    let state = self.servers[server].state();
                    let (term, received) = (state.term, state.received);
                    self.send(Message::ReplicaIs { instance, server, term, received });
                }
            }
            Message::ReplicaIs { instance, server, term, received } => {
                if self.accepts(instance, message, incarnations) {
                    self.nodes[instance].instance.with_database(DATABASE, |state| {
                        state.ownership.received(&server_name(server), term, received);
                    });
                }
            }
        }
    }

    fn control(&mut self, instance: usize, server: usize, action: OwnershipAction) {
        if !self.reaches(instance, server) {
            return;
        }
        let owner = self.nodes[instance].instance.holder().clone();
        let id = server_name(server);
        let event = match action {
            OwnershipAction::Fence { term, .. } => {
                let result = self.servers[server].fence(term, &owner);
                OwnershipEvent::Fenced { server: id, term, result }
            }
            OwnershipAction::Promote { term, .. } => {
                let result = self.servers[server].promote(term, &owner, self.rule);
                if result.is_ok() {
                    self.record_promotion(term, instance, server);
                }
                OwnershipEvent::Promoted { server: id, term, result }
            }
            OwnershipAction::Follow { term, primary, .. } => {
                let primary = (0..SERVERS).find(|index| server_name(*index) == primary);
                self.servers[server].follow(term, &owner, primary.expect("a known server"));
                return;
            }
            OwnershipAction::Probe { sequence, .. } => {
                let state = Some(self.servers[server].state());
                OwnershipEvent::Probed { server: id, sequence, state }
            }
            _ => return,
        };
        self.send(Message::Event { instance, event });
    }

    fn record_promotion(&mut self, term: u64, instance: usize, server: usize) {
        self.counts.promotions += 1;
        let first = *self.promoted_by.entry(term).or_insert(instance);
        if first != instance {
            self.record_violation(&format!("two owners promoted in term {term}"));
        }
        let lost = self.acknowledged.iter().find(|write| !self.servers[server].has(**write));
        if let Some(write) = lost.copied() {
            self.record_violation(&format!("acknowledged write {write} is not at the new primary"));
        }
    }

    fn ownership(&mut self, index: usize, event: OwnershipEvent) {
        let database = DATABASE.into();
        self.event(index, InstanceEvent::Ownership { database, event });
    }

    fn event(&mut self, index: usize, event: InstanceEvent) {
        let now = self.now();
        let actions = self.nodes[index].instance.handle(now, event);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: InstanceAction) {
        match action {
            InstanceAction::Ownership { action, .. } => {
                let server = match &action {
                    OwnershipAction::Fence { server, .. }
                    | OwnershipAction::Promote { server, .. }
                    | OwnershipAction::Follow { server, .. }
                    | OwnershipAction::Probe { server, .. } => server.clone(),
                    _ => return,
                };
                let server = (0..SERVERS).find(|index| server_name(*index) == server);
                let server = server.expect("a known server");
                self.send(Message::Control { instance: index, server, action });
            }
            InstanceAction::SendHeartbeat { peer, sequence, body } => {
                let to = (0..INSTANCES).find(|index| instance_name(*index) == peer.id);
                let to = to.expect("a known instance");
                self.send(Message::Heartbeat { from: index, to, sequence, body });
            }
            InstanceAction::HandOver { term, to, .. } => {
                let to = (0..INSTANCES).find(|index| instance_name(*index) == to);
                let to = to.expect("a known instance");
                self.begin_handover(index);
                self.send(Message::Handover { from: index, to, term });
                // The sender can also see the offer fail, by its timeout or, much
                // sooner, by a broken connection.
                self.send(Message::HandoverEnded { from: index, accepted: false });
            }
            _ => {}
        }
    }

    /// Stops the work of an instance before it offers a handover, as the daemon
    /// does: no new work starts, and work in progress has ended.
    fn begin_handover(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.handovers += 1;
        node.unconfirmed.clear();
        node.instance.with_database(DATABASE, |state| state.gate = Gate::Closed);
    }

    fn step_instance(&mut self, index: usize) {
        if self.now_ms % 20 == 0 {
            self.event(index, InstanceEvent::Tick);
        }
        self.acknowledge(index);
        let serving = self.nodes[index]
            .instance
            .with_database(DATABASE, |state| {
                state.ownership.serving().filter(|_| state.gate != Gate::Closed)
            })
            .flatten();
        let Some((term, primary)) = serving else {
            return;
        };
        let server = (0..SERVERS).find(|index| server_name(*index) == primary).expect("known");
        let now = self.now();
        self.nodes[index].instance.with_database(DATABASE, |state| state.ownership.requested(now));
        if self.random(4) == 0 {
            let write = self.next_write;
            self.next_write += 1;
            self.send(Message::Write { instance: index, server, term, write });
        }
        if self.random(4) == 0 {
            let expected = self.acknowledged.clone();
            let handovers = self.nodes[index].handovers;
            let sent_at_ms = self.now_ms;
            let read = Read { instance: index, term, handovers, expected, sent_at_ms };
            self.send(Message::Read { read, server });
        }
        for replica in 0..SERVERS {
            if replica != server && self.random(3) == 0 {
                self.send(Message::ReplicaState { instance: index, server: replica });
            }
        }
    }

    /// Acknowledges the confirmed writes of an instance, as the daemon does.
    fn acknowledge(&mut self, index: usize) {
        let now = self.now();
        let unconfirmed = std::mem::take(&mut self.nodes[index].unconfirmed);
        for (term, write, position) in unconfirmed {
            let rule = self.rule;
            let servers = &self.servers;
            let verdict = self.nodes[index].instance.with_database(DATABASE, |state| {
                let (own, _) = state.ownership.serving()?;
                if own != term {
                    return None;
                }
                let confirmed = match rule {
                    MissingRule::ConfirmWait => true,
                    MissingRule::ConfirmInOwnTerm => {
                        // Compares only the length of the replica logs, not the
                        // term of their entries.
                        let longest = servers
                            .iter()
                            .filter(|server| !server.is_primary)
                            .map(|server| server.log.len());
                        longest.max().unwrap_or(0) as u64 >= position.index
                    }
                    _ => state.ownership.confirmed() >= position,
                };
                let current =
                    rule == MissingRule::RecentConfirmation || state.ownership.is_current(now);
                Some(confirmed && current)
            });
            match verdict.flatten() {
                Some(true) => {
                    self.counts.acknowledged += 1;
                    self.acknowledged.insert(write);
                }
                Some(false) => self.nodes[index].unconfirmed.push((term, write, position)),
                None => {}
            }
        }
    }

    fn answer_read(&mut self, read: &Read, seen: &BTreeSet<u64>) {
        let now = self.now();
        let rule = self.rule;
        let node = &self.nodes[read.instance];
        if node.handovers != read.handovers {
            return;
        }
        let allowed = node.instance.with_database(DATABASE, |state| {
            let serving = state.ownership.serving().is_some_and(|(own, _)| own == read.term);
            serving && (rule == MissingRule::RecentConfirmation || state.ownership.is_current(now))
        });
        if allowed != Some(true) {
            return;
        }
        self.counts.reads += 1;
        if let Some(write) = read.expected.difference(seen).next() {
            self.record_violation(&format!("a fresh read missed the acknowledged write {write}"));
        }
    }
}
