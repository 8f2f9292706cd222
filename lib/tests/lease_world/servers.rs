//! The simulated servers of one group. A primary continues to lead after another one was
//! promoted, until it has been able to reach the new one for a second.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::position::Position;

use super::Random;

const SERVERS: usize = 3;
const STEP_DOWN_DELAY_MS: u64 = 1_000;

pub fn server_id(number: usize) -> TargetId {
    format!("s{number}").into()
}

pub fn listed() -> Vec<ServerInfo> {
    let info = |number| ServerInfo {
        id: server_id(number),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        leads: number == 0,
        start: "".into(),
    };
    (0..SERVERS).map(info).collect()
}

/// A commit. Logs refer to it by its index in [`Servers`].
struct Entry {
    term: Term,
    /// Whether a later term had begun when the commit was made.
    after_successor: bool,
}

#[derive(Clone)]
struct Server {
    up: bool,
    /// The side of the partition that the server is on. Instances on the other side
    /// cannot reach it.
    side: usize,
    leads: bool,
    term: Term,
    log: Vec<usize>,
    /// When a replaced primary steps down; `None` before it can reach its successor.
    steps_down_ms: Option<u64>,
}

struct Order {
    target: usize,
    term: Term,
    effect_ms: u64,
    planned: bool,
}

/// A promotion that took effect.
pub struct Promoted {
    pub server: usize,
    pub term: Term,
    pub planned: bool,
}

pub struct Servers {
    all: Vec<Server>,
    entries: Vec<Entry>,
    orders: Vec<Order>,
    /// The server that leads in the highest term.
    current: usize,
}

impl Servers {
    pub fn new() -> Self {
        let server = Server {
            up: true,
            side: 0,
            leads: false,
            term: 1,
            log: Vec::new(),
            steps_down_ms: None,
        };
        let mut servers = vec![server; SERVERS];
        servers[0].leads = true;
        Self { all: servers, entries: Vec::new(), orders: Vec::new(), current: 0 }
    }

    pub fn inject_faults(&mut self, random: &mut Random) {
        let number = usize::try_from(random.below(SERVERS as u64)).unwrap();
        if random.per_mille(1) {
            self.all[number].up ^= true;
        }
        if random.per_mille(3) {
            self.all[number].side = usize::from(random.per_mille(300));
        }
    }

    /// Divides the servers between the sides of a partition, at random or so that the primary is
    /// alone on the first one.
    pub fn divide(&mut self, random: &mut Random) {
        let is_primary_alone = random.per_mille(500);
        for (number, server) in self.all.iter_mut().enumerate() {
            let is_apart =
                if is_primary_alone { number != self.current } else { random.per_mille(500) };
            server.side = usize::from(is_apart);
        }
    }

    /// Starts all servers that are down, and ends the partition between them.
    pub fn unite(&mut self) {
        for server in &mut self.all {
            (server.up, server.side) = (true, 0);
        }
    }

    /// Stops the present primary.
    pub fn fail_primary(&mut self) {
        self.all[self.current].up = false;
    }

    /// Carries out a due order, replicates the log of the current primary and makes old
    /// primaries step down.
    pub fn step(&mut self, now_ms: u64) -> Option<Promoted> {
        let due = self.orders.iter().position(|order| order.effect_ms <= now_ms);
        let promoted = due.map(|due| self.orders.remove(due)).and_then(|o| self.promote(&o));
        let current = self.current;
        for number in 0..SERVERS {
            let joined = self.all[number].side == self.all[current].side
                && self.all[number].up
                && self.all[current].up;
            if number == current || !joined {
                continue;
            }
            if self.all[number].leads {
                let at_ms =
                    *self.all[number].steps_down_ms.get_or_insert(now_ms + STEP_DOWN_DELAY_MS);
                if at_ms > now_ms {
                    continue;
                }
            }
            let (log, term) = (self.all[current].log.clone(), self.all[current].term);
            let server = &mut self.all[number];
            server.leads = false;
            server.term = term;
            // A replica receives at most two entries per step.
            let common = server.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            server.log.truncate(common);
            server.log.extend(log.iter().skip(common).take(2));
        }
        promoted
    }

    fn promote(&mut self, order: &Order) -> Option<Promoted> {
        let already_leads = self.all[order.target].leads && order.target == self.current;
        if !self.all[order.target].up || already_leads {
            return None;
        }
        let term = self.all[self.current].term + 1;
        self.current = order.target;
        let server = &mut self.all[order.target];
        server.leads = true;
        server.term = term;
        server.steps_down_ms = None;
        let planned = order.planned && order.term == term;
        Some(Promoted { server: order.target, term, planned })
    }

    pub fn order(&mut self, target: usize, term: Term, effect_ms: u64, planned: bool) {
        self.orders.push(Order { target, term, effect_ms, planned });
    }

    pub fn reachable(&self, side: usize) -> Vec<usize> {
        let reachable = |number: &usize| {
            let server = &self.all[*number];
            server.up && server.side == side
        };
        (0..SERVERS).filter(reachable).collect()
    }

    /// Whether a primary of `term` is reachable on a side of the partition.
    pub fn primary_answers(&self, side: usize, term: Term) -> bool {
        let leads = |number: &usize| self.all[*number].leads && self.all[*number].term == term;
        self.reachable(side).iter().any(leads)
    }

    pub fn status(&self, number: usize) -> ServerStatus {
        let server = &self.all[number];
        let received = self.last(number);
        ServerStatus {
            leads: server.leads,
            term: server.term,
            received,
            applied: received,
            lag: Duration::ZERO,
        }
    }

    fn last(&self, number: usize) -> Position {
        let log = &self.all[number].log;
        let term = log.last().map_or(0, |entry| self.entries[*entry].term);
        Position::new(term, log.len() as u64)
    }

    /// The reachable replica with the last log position.
    pub fn best_replica(&self, side: usize, from: Option<usize>) -> Option<usize> {
        let reachable = self.reachable(side).into_iter();
        let able = reachable.filter(|number| Some(*number) != from && !self.all[*number].leads);
        able.max_by_key(|number| self.last(*number))
    }

    /// Commits at a server; `None` if it is down or does not take itself for the primary.
    pub fn commit(&mut self, number: usize) -> Option<usize> {
        if !self.all[number].up || !self.all[number].leads {
            return None;
        }
        let entry = self.entries.len();
        let term = self.all[number].term;
        self.entries.push(Entry { term, after_successor: number != self.current });
        self.all[number].log.push(entry);
        Some(entry)
    }

    pub fn was_committed_after_successor(&self, entry: usize) -> bool {
        self.entries[entry].after_successor
    }

    pub fn is_up(&self, number: usize) -> bool {
        self.all[number].up
    }

    /// Whether the current primary has a commit, so that no promotion rolled it back.
    pub fn survives(&self, entry: usize) -> bool {
        self.all[self.current].log.contains(&entry)
    }

    pub fn has(&self, number: usize, entry: usize) -> bool {
        self.all[number].log.contains(&entry)
    }
}
