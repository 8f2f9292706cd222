//! Replays of load at one server with slots, with the real queue: a reserve of slots for the
//! most urgent requests, and accounts with weights.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::admission::Admission;
use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::admission::SlotQueue;
use chervilwharf_lib::admission::SlotReserve;
use chervilwharf_lib::admission::Ticket;
use chervilwharf_lib::fair_order::Flow;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: usize = 4;

const SEED: u64 = 1;

/// Interval at which requests that cannot be served in time any more leave the queue.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Requests of one account.
#[derive(Clone)]
struct Source {
    name: &'static str,
    flow: Flow,
    priority: Priority,
    deadline: Duration,
    per_s: f64,
    statement_ms: RangeInclusive<u64>,
}

struct Request {
    source: usize,
    arrived_at: Duration,
    statement: Duration,
    /// When it was answered; `None` if it was refused.
    answered_at: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ends(usize),
    Arrives(usize),
    Expiry,
}

/// Runs the requests of `sources` that arrive within `length`.
struct Replay {
    sources: Vec<Source>,
    requests: Vec<Request>,
    queue: SlotQueue,
    waiting: HashMap<Ticket, usize>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    began_at: Instant,
}

impl Replay {
    fn run(sources: &[Source], length: Duration, reserve: SlotReserve) -> Self {
        let mut queue = SlotQueue::new(SLOTS);
        queue.set_reserve(reserve);
        let mut replay = Self {
            sources: sources.to_vec(),
            requests: Vec::new(),
            queue,
            waiting: HashMap::new(),
            events: BinaryHeap::new(),
            began_at: Instant::now(),
        };
        for (index, source) in sources.iter().enumerate() {
            replay.add_arrivals(index, source, length);
        }
        let mut expiry = EXPIRY_INTERVAL;
        while expiry < length * 2 {
            replay.events.push(Reverse((expiry, Event::Expiry)));
            expiry += EXPIRY_INTERVAL;
        }
        while let Some(Reverse((at, event))) = replay.events.pop() {
            replay.handle(at, event);
        }
        replay
    }

    /// A source has the same requests beside any others.
    fn add_arrivals(&mut self, index: usize, source: &Source, length: Duration) {
        let name = source
            .name
            .bytes()
            .fold(0_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
        let mut random = StdRng::seed_from_u64(SEED ^ name.wrapping_mul(0x9E37_79B9));
        let mut at = Duration::ZERO;
        loop {
            let pause = -random.random_range(f64::EPSILON..1.0).ln() / source.per_s;
            at += Duration::from_secs_f64(pause);
            let statement = random.random_range(source.statement_ms.clone());
            if at > length {
                return;
            }
            self.events.push(Reverse((at, Event::Arrives(self.requests.len()))));
            self.requests.push(Request {
                source: index,
                arrived_at: at,
                statement: Duration::from_millis(statement),
                answered_at: None,
            });
        }
    }

    fn handle(&mut self, at: Duration, event: Event) {
        let now = self.began_at + at;
        match event {
            Event::Arrives(index) => {
                let source = &self.sources[self.requests[index].source];
                let deadline = now + source.deadline;
                match self.queue.request_for(now, &source.flow, source.priority, deadline) {
                    Admission::Granted => self.start(at, index),
                    Admission::Queued(ticket) => {
                        self.waiting.insert(ticket, index);
                    }
                    Admission::Refused { .. } => {}
                }
                for (ticket, _) in self.queue.displaced() {
                    self.waiting.remove(&ticket);
                }
            }
            Event::Ends(index) => {
                self.requests[index].answered_at = Some(at);
                let granted = self.queue.release(now, self.requests[index].statement);
                self.start_granted(at, &granted);
            }
            Event::Expiry => {
                for (ticket, _) in self.queue.expire(now) {
                    self.waiting.remove(&ticket);
                }
                let granted = self.queue.grant_waiting(now);
                self.start_granted(at, &granted);
            }
        }
        assert!(self.queue.in_use() <= SLOTS);
        assert_eq!(self.queue.waiting(), self.waiting.len());
    }

    fn start_granted(&mut self, at: Duration, granted: &[Ticket]) {
        for ticket in granted {
            let index = self.waiting.remove(ticket).expect("the request waits");
            self.start(at, index);
        }
    }

    fn start(&mut self, at: Duration, index: usize) {
        let end = at + self.requests[index].statement;
        self.events.push(Reverse((end, Event::Ends(index))));
    }

    fn of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Request> {
        self.requests.iter().filter(move |request| self.sources[request.source].name == name)
    }

    fn served(&self, name: &str) -> usize {
        self.of(name).filter(|request| request.answered_at.is_some()).count()
    }

    /// Fraction of the requests of a source that were answered within `objective`.
    fn part_in_time(&self, name: &str, objective: Duration) -> f64 {
        let is_in_time = |request: &&Request| {
            request.answered_at.is_some_and(|at| at <= request.arrived_at + objective)
        };
        ratio(self.of(name).filter(is_in_time).count(), self.of(name).count())
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let number = |count| f64::from(u32::try_from(count).expect("few"));
    number(part) / number(whole.max(1))
}

/// Guards against urgent requests that are late because all slots run long statements of the
/// cheapest class, and against a reserve that starves that class.
#[test]
fn test_reserve_keeps_the_urgent_in_time_in_a_burst_of_the_cheapest_class() {
    let source = |name, priority, per_s, statement_ms| Source {
        name,
        flow: Flow::default(),
        priority,
        deadline: Duration::from_secs(3),
        per_s,
        statement_ms,
    };
    // A quarter of one slot, and a burst of three times what all slots can serve.
    let sources = [source("urgent", 0, 14.0, 8..=28), source("cheap", 9, 55.0, 40..=400)];
    let objective = Duration::from_millis(60);
    let run = |slots| {
        let reserve = SlotReserve { slots, most_urgent: 0 };
        let replay = Replay::run(&sources, Duration::from_secs(30), reserve);
        let in_time = replay.part_in_time("urgent", objective);
        let served = replay.served("cheap");
        println!(
            "reserve {slots}: urgent in time {in_time:.3} of {}, cheap served {served} of {}",
            replay.of("urgent").count(),
            replay.of("cheap").count()
        );
        (in_time, served)
    };
    let (in_time_without, served_without) = run(0);
    let (in_time, served) = run(1);
    assert!(in_time_without < 0.8, "the load is not hard: {in_time_without}");
    assert!(in_time >= 0.95, "{in_time}");
    // Three of four slots remain for the cheap class.
    assert!(served * 100 >= served_without * 65, "{served} of {served_without}");
}

/// Guards against an account that gets most slots because it sends most requests, and against
/// weights without effect.
#[test]
fn test_weights_divide_slots_beside_a_hot_account() {
    let weighted = |name: &'static str, weight: f64, per_s| Source {
        name,
        flow: Flow::with_weight(name.into(), weight),
        priority: 5,
        deadline: Duration::from_secs(5),
        per_s,
        statement_ms: 8..=28,
    };
    // The slots serve 222 requests a second. The hot account sends three times that; `gold` and
    // `bronze` send more than their fractions of 4/8 and 1/8, `light` less than its 1/8.
    let sources = [
        weighted("hot", 2.0, 660.0),
        weighted("gold", 4.0, 160.0),
        weighted("bronze", 1.0, 60.0),
        weighted("light", 1.0, 10.0),
    ];
    let length = Duration::from_secs(30);
    let objective = Duration::from_millis(250);
    let run = |sources: &[Source]| {
        let replay = Replay::run(sources, length, SlotReserve::default());
        let counts = ["hot", "gold", "bronze", "light"].map(|name| replay.served(name));
        let light = replay.part_in_time("light", objective);
        println!("served {counts:?}, light in time {light:.3} of {}", replay.of("light").count());
        (counts, light)
    };
    let by_deadline = sources.clone().map(|source| Source { flow: Flow::default(), ..source });
    let ([hot_before, ..], light_before) = run(&by_deadline);
    let ([hot, gold, bronze, light], light_in_time) = run(&sources);
    assert!(light_before < 0.1, "the load is not hard: {light_before}");
    assert!(light_in_time >= 0.95, "{light_in_time}");
    assert!(hot * 2 < hot_before, "{hot} of {hot_before}");
    let near = |part: f64, expected: f64| (part / expected - 1.0).abs() < 0.1;
    assert!(near(ratio(gold, hot), 2.0), "{gold} to {hot}");
    assert!(near(ratio(hot, bronze), 2.0), "{hot} to {bronze}");
    assert!(light > 250, "{light}");
}

/// Guards against an order or refusals that change where neither weights nor a reserve are
/// configured: the queue of earlier builds is the model.
#[test]
fn test_without_weights_and_reserve_the_order_is_by_priority_deadline_and_arrival() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let mut queue = SlotQueue::new(2);
        let mut waiting: Vec<(Priority, Instant, Ticket)> = Vec::new();
        let mut in_use = 0;
        for (step, priority, deadline) in steps {
            let priority = priority % 4;
            let deadline = now + Duration::from_millis(60_000 + u64::from(deadline % 8));
            match step % 4 {
                0 | 1 => match queue.request(now, priority, deadline) {
                    Admission::Granted => in_use += 1,
                    Admission::Queued(ticket) => waiting.push((priority, deadline, ticket)),
                    Admission::Refused { .. } => return false,
                },
                2 if in_use > 0 => {
                    waiting.sort();
                    let granted = queue.release(now, Duration::from_millis(1));
                    let next = waiting.first().map(|(.., ticket)| *ticket);
                    if granted != Vec::from_iter(next) {
                        return false;
                    }
                    if next.is_some() {
                        waiting.remove(0);
                    } else {
                        in_use -= 1;
                    }
                }
                _ => {
                    if let Some((.., ticket)) = waiting.pop() {
                        assert!(queue.abandon(ticket));
                    }
                }
            }
            if queue.waiting() != waiting.len() || queue.in_use() != in_use {
                return false;
            }
        }
        true
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a request that waits for ever beside a free slot that it may use, and one
/// that takes a slot that it may not use.
#[test]
fn test_slots_of_the_reserve_go_to_the_most_urgent_only() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let deadline = now + Duration::from_secs(60);
        let mut queue = SlotQueue::new(3);
        queue.set_reserve(SlotReserve { slots: 1, most_urgent: 2 });
        let mut waiting: HashMap<Ticket, Priority> = HashMap::new();
        for (step, priority) in steps {
            let priority = priority % 6;
            let free_before = 3 - queue.in_use();
            let mut granted = Vec::new();
            match step % 3 {
                0 => match queue.request(now, priority, deadline) {
                    Admission::Granted => {
                        if priority > 2 && free_before <= 1 {
                            return false;
                        }
                    }
                    Admission::Queued(ticket) => {
                        waiting.insert(ticket, priority);
                    }
                    Admission::Refused { .. } => return false,
                },
                1 if queue.in_use() > 0 => granted = queue.release(now, Duration::from_millis(1)),
                _ => {
                    if let Some(ticket) = waiting.keys().min().copied() {
                        waiting.remove(&ticket);
                        assert!(queue.abandon(ticket));
                    }
                }
            }
            for ticket in granted {
                let priority = waiting.remove(&ticket).expect("the request waits");
                if priority > 2 && queue.in_use() > 2 {
                    return false;
                }
            }
            let free = 3 - queue.in_use();
            let urgent_waits = waiting.values().any(|priority| *priority <= 2);
            if (urgent_waits && free > 0) || (!waiting.is_empty() && free > 1) {
                return false;
            }
        }
        true
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a full queue of one account that refuses the requests of others.
#[test]
fn test_request_of_another_account_displaces_the_last_one_of_a_long_backlog() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let mut queue = SlotQueue::new(1);
    let flow = |account: &str| Flow::with_weight(account.into(), 1.0);
    let mut last = None;
    loop {
        match queue.request_for(now, &flow("hot"), 5, deadline) {
            Admission::Granted => {}
            Admission::Queued(ticket) => last = Some(ticket),
            Admission::Refused { .. } => break,
        }
    }
    let waiting = queue.waiting();
    assert!(queue.displaced().is_empty());
    let admission = queue.request_for(now, &flow("light"), 5, deadline);
    assert!(matches!(admission, Admission::Queued(_)), "{admission:?}");
    let displaced: Vec<_> = queue.displaced().iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(displaced, Vec::from_iter(last));
    assert_eq!(queue.waiting(), waiting);
}
