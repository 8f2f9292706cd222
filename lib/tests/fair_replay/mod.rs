//! Replays load of many accounts at one server, with the real queue, admission and choice of
//! connections. The model has a server with slots, and connections that belong to accounts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::account_rates::AccountRates;
use chervilwharf_lib::fair_order::AccountBacklog;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::load_shedding::QueueDecision;
use chervilwharf_lib::load_shedding::WaitForecast;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::Choice;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_choice::PoolView;
use chervilwharf_lib::server_choice::choose;
use chervilwharf_lib::statement_timing;
use chervilwharf_lib::wait_estimator::SubQueue;
use chervilwharf_lib::wait_estimator::WaitEstimator;
use chervilwharf_lib::wait_queue::QueuePlace;
use chervilwharf_lib::wait_queue::Rank;
use chervilwharf_lib::wait_queue::Tier;
use chervilwharf_lib::wait_queue::WaitQueue;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVER: &str = "primary";
const SLOTS: usize = 4;
const OPENING: Duration = Duration::from_millis(12);
const REPLACE_DELAY: Duration = Duration::from_millis(40);
const LATE_RESERVE: Duration = Duration::from_millis(100);

/// A class of requests: priority, objective and deadline in milliseconds.
pub type Class = (u8, u64, u64);

/// Requests of one account in one class.
#[derive(Clone)]
pub struct Source {
    pub account: AccountId,
    /// Rate of the account's limit.
    pub weight: f64,
    pub class: Class,
    pub per_s: f64,
}

#[derive(Clone)]
pub struct Request {
    pub account: AccountId,
    pub class: Class,
    pub arrived_at: Moment,
    /// When it was answered; `None` if it was refused.
    pub answered_at: Option<Moment>,
    pub refused_at: Option<Moment>,
    flow: Flow,
    work: Duration,
    waits: Option<Waits>,
    began_at: Moment,
}

#[derive(Clone, Copy)]
struct Waits {
    place: QueuePlace,
    tier: Tier,
    since: Moment,
    ahead: usize,
    granted_before: usize,
}

impl Request {
    pub fn is_in_time(&self) -> bool {
        let objective = Duration::from_millis(self.class.1);
        self.answered_at.is_some_and(|at| at <= self.arrived_at + objective)
    }

    fn rank(&self, tier: Tier) -> Rank {
        let deadline = self.arrived_at + Duration::from_millis(self.class.2);
        Rank { tier, priority: self.class.0, deadline }
    }

    fn until(&self, tier: Tier) -> Moment {
        let objective = Duration::from_millis(self.class.1);
        match tier {
            Tier::InTime => self.arrived_at + statement_timing::max_wait(objective),
            Tier::Late => self.rank(tier).deadline.saturating_sub(LATE_RESERVE),
        }
    }
}

/// Requests of `sources` for `length`. A source has the same requests beside any others.
pub fn arrivals(sources: &[Source], length: Duration, seed: u64, fair: bool) -> Vec<Request> {
    let mut requests = Vec::new();
    for source in sources {
        let name = source.account.bytes().fold(u64::from(source.class.0), |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(byte.into())
        });
        let mut random = StdRng::seed_from_u64(seed ^ name.wrapping_mul(0x9E37_79B9));
        let limit = QuotaLimit { rate_per_s: source.weight, burst: 1.0 };
        let own = Flow::of(Some(source.account.clone()), Some(limit));
        let mut at = Duration::ZERO;
        loop {
            let pause = -random.random_range(f64::EPSILON..1.0).ln() / source.per_s;
            at += Duration::from_secs_f64(pause);
            let work = Duration::from_millis(random.random_range(8..=28));
            if at > length {
                break;
            }
            requests.push(Request {
                account: source.account.clone(),
                class: source.class,
                arrived_at: at,
                answered_at: None,
                refused_at: None,
                flow: if fair { own.clone() } else { Flow::default() },
                work,
                waits: None,
                began_at: at,
            });
        }
    }
    requests.sort_by_key(|request| request.arrived_at);
    requests
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Statement(usize),
    Opening(AccountId),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Ends(Job),
    StopsWaiting(usize, Tier),
}

pub struct Replay {
    pub requests: Vec<Request>,
    pub openings: usize,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, usize, Event)>>,
    next_event: usize,
    at_server: VecDeque<Job>,
    busy: usize,
    group: Group,
    queue: WaitQueue<usize>,
    estimator: WaitEstimator,
    rates: AccountRates,
    service_time: Duration,
    granted: usize,
    pool: PoolView,
    idle: Vec<AccountId>,
    by_account: HashMap<AccountId, usize>,
    opening: HashMap<AccountId, usize>,
}

impl Replay {
    pub fn new(requests: Vec<Request>, budget: usize) -> Self {
        let mut group = Group::default();
        group.set_servers(
            Duration::ZERO,
            vec![ServerInfo {
                id: SERVER.into(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                failure_domain: "a".into(),
                slots: SLOTS,
                draining: false,
                leads: true,
                start: "".into(),
            }],
        );
        Self {
            requests,
            openings: 0,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            next_event: 0,
            at_server: VecDeque::new(),
            busy: 0,
            group,
            queue: WaitQueue::default(),
            estimator: WaitEstimator::default(),
            rates: AccountRates::default(),
            service_time: Duration::from_millis(18),
            granted: 0,
            pool: PoolView { budget, ..PoolView::default() },
            idle: Vec::new(),
            by_account: HashMap::new(),
            opening: HashMap::new(),
        }
    }

    pub fn run(mut self) -> Self {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].arrived_at, Event::Arrives(index));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrives(index) => self.arrive(index),
                Event::Ends(job) => self.end(job),
                Event::StopsWaiting(index, tier) => self.stop_waiting(index, tier),
            }
            self.assign();
            self.start_jobs();
        }
        self
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn start_jobs(&mut self) {
        while self.busy < SLOTS {
            let Some(job) = self.at_server.pop_front() else {
                return;
            };
            self.busy += 1;
            let time = match &job {
                Job::Statement(index) => self.requests[*index].work,
                Job::Opening(_) => OPENING,
            };
            self.schedule(self.now + time, Event::Ends(job));
        }
    }

    fn end(&mut self, job: Job) {
        self.busy -= 1;
        match job {
            Job::Statement(index) => {
                let running = self.group.server(SERVER).map_or(0, |view| view.running);
                self.group.end_running(SERVER);
                let request = &mut self.requests[index];
                request.answered_at = Some(self.now);
                let took = self.now.saturating_sub(request.began_at);
                let objective = Duration::from_millis(request.class.1);
                let slow = statement_timing::slow_threshold(objective);
                self.pool.limit.answered(self.now, running, took, slow);
                self.service_time = (self.service_time * 15 + took) / 16;
                self.idle.push(request.account.clone());
            }
            Job::Opening(account) => {
                self.pool.opening -= 1;
                self.pool.open += 1;
                *self.opening.get_mut(&account).expect("being opened") -= 1;
                self.idle.push(account);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = self.requests[index].clone();
        self.rates.observe(self.now, &request.account);
        let rank = request.rank(Tier::InTime);
        let choice = self.choose(&request, Duration::ZERO);
        let same = |ahead: &usize| self.requests[*ahead].account == request.account;
        let contested = self.queue.ahead_of(rank, &request.flow).any(|(_, ahead)| same(ahead));
        if matches!(choice, Choice::Idle(_)) && !contested {
            self.queue.charge(rank, &request.flow);
            return self.send(index);
        }
        let max_wait = request.until(Tier::InTime).saturating_sub(self.now);
        self.admit_and_wait(index, max_wait);
    }

    fn admit_and_wait(&mut self, index: usize, max_wait: Duration) {
        let request = self.requests[index].clone();
        let Some(tier) = self.admit(&request, max_wait) else {
            self.requests[index].refused_at = Some(self.now);
            return;
        };
        let ahead = self.ahead(&request, tier);
        let place = self.queue.push(request.rank(tier), &request.flow, index);
        let (since, granted_before) = (self.now, self.granted);
        self.requests[index].waits = Some(Waits { place, tier, since, ahead, granted_before });
        self.schedule(request.until(tier), Event::StopsWaiting(index, tier));
    }

    fn ahead(&self, request: &Request, tier: Tier) -> usize {
        let ahead = self.queue.ahead_of(request.rank(tier), &request.flow);
        ahead.filter(|(rank, _)| rank.tier == tier).count()
    }

    fn sub_queue(request: &Request, tier: Tier) -> SubQueue {
        SubQueue { class: Need::Leader.class(), tier, priority: request.class.0 }
    }

    fn admit(&self, request: &Request, max_wait: Duration) -> Option<Tier> {
        let (ahead, late_waiting) =
            (self.ahead(request, Tier::InTime), self.ahead(request, Tier::Late));
        let measured = |tier, ahead| {
            self.estimator.expected_wait(self.now, Self::sub_queue(request, tier), ahead)
        };
        let places = f64::from(u32::try_from(ahead + 1).expect("few"));
        let computed = self.service_time.mul_f64(places / self.pool.limit.value());
        let forecast = WaitForecast {
            in_time: measured(Tier::InTime, ahead).or(Some(computed)),
            late: measured(Tier::Late, late_waiting),
            late_waiting,
            max_wait,
            time_left: request.until(Tier::Late).saturating_sub(self.now),
        };
        let QueueDecision::Wait(tier) = forecast.decide() else {
            return None;
        };
        let (ahead, max_wait) = match tier {
            Tier::InTime => (ahead, forecast.max_wait),
            Tier::Late => (late_waiting, forecast.time_left),
        };
        let pace = self.estimator.wait_per_place(self.now, Self::sub_queue(request, tier));
        let (Some(wait_per_place), Some(account)) = (pace, request.flow.account()) else {
            return Some(tier);
        };
        let backlog = AccountBacklog {
            own: self.queue.of_account(tier, request.class.0, account).count(),
            others_wait: self.queue.others_wait(tier, request.class.0, account),
            expected_wait: wait_per_place * u32::try_from(ahead).expect("few"),
            wait_per_place,
            max_wait,
        };
        backlog.refuse_after().is_none().then_some(tier)
    }

    fn stop_waiting(&mut self, index: usize, tier: Tier) {
        let Some(waits) = self.requests[index].waits.filter(|waits| waits.tier == tier) else {
            return;
        };
        self.queue.remove(waits.place);
        self.requests[index].waits = None;
        let passed = self.granted - waits.granted_before;
        let ahead = match tier {
            Tier::InTime if self.requests[index].flow.account().is_some() => {
                waits.ahead.max(passed)
            }
            Tier::InTime => waits.ahead,
            Tier::Late => 0,
        };
        self.observe(index, waits, ahead);
        match tier {
            Tier::InTime => self.admit_and_wait(index, Duration::ZERO),
            Tier::Late => self.requests[index].refused_at = Some(self.now),
        }
    }

    fn observe(&mut self, index: usize, waits: Waits, ahead: usize) {
        let sub_queue = Self::sub_queue(&self.requests[index], waits.tier);
        self.estimator.observe(self.now, sub_queue, ahead, self.now.saturating_sub(waits.since));
    }

    fn send(&mut self, index: usize) {
        let account = &self.requests[index].account;
        let own = self.idle.iter().rposition(|idle| idle == account).expect("idle");
        self.idle.swap_remove(own);
        self.group.begin_running(SERVER);
        self.requests[index].began_at = self.now;
        self.at_server.push_back(Job::Statement(index));
    }

    fn choose(&self, request: &Request, waited: Duration) -> Choice {
        let idle = self.idle.iter().filter(|idle| **idle == request.account).count();
        let others = self.idle.len() - idle;
        let view = PoolView {
            idle,
            replaceable: self.victim(waited).map_or(0, |_| others),
            own: self.by_account.get(&request.account).copied().unwrap_or(0),
            taking_slots: self.pool.opening,
            ..self.pool.clone()
        };
        choose(&self.group, self.now, &Need::Server(SERVER.into()), |_| view.clone())
    }

    fn victim(&self, waited: Duration) -> Option<usize> {
        let mut same: HashMap<&str, u32> = HashMap::new();
        for idle in &self.idle {
            *same.entry(idle).or_default() += 1;
        }
        let waiting: HashSet<&str> =
            self.queue.items().map(|index| &*self.requests[*index].account).collect();
        let rate =
            |account: &AccountId| self.rates.of(self.now, account) / f64::from(same[&**account]);
        let usable = self.idle.iter().enumerate();
        let usable =
            usable.filter(|(_, idle)| waited >= REPLACE_DELAY || !waiting.contains(&***idle));
        let least = usable.min_by(|(_, a), (_, b)| rate(a).total_cmp(&rate(b)));
        least.map(|(index, _)| index)
    }

    fn assign(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut being_opened = self.opening.clone();
        let places: Vec<_> = self.queue.iter().map(|(place, index)| (place, *index)).collect();
        for (place, index) in places {
            let request = self.requests[index].clone();
            let waits = request.waits.expect("waits");
            let waited = self.now.saturating_sub(waits.since);
            match self.choose(&request, waited) {
                Choice::Idle(_) => {
                    self.queue.grant(place);
                    let passed = self.granted - waits.granted_before;
                    self.granted += 1;
                    let fair = request.flow.account().is_some();
                    let ahead = if fair { waits.ahead.max(passed) } else { waits.ahead };
                    self.observe(index, waits, ahead);
                    self.requests[index].waits = None;
                    self.send(index);
                }
                Choice::Open(_) => {
                    let expected = being_opened.entry(request.account.clone()).or_default();
                    if *expected > 0 {
                        *expected -= 1;
                    } else {
                        self.open(request.account);
                    }
                }
                Choice::Replace(_) => {
                    let victim = self.victim(waited).expect("chosen");
                    let closed = self.idle.swap_remove(victim);
                    self.pool.open -= 1;
                    *self.by_account.get_mut(&closed).expect("open") -= 1;
                    self.open(request.account);
                }
                Choice::Wait => {}
            }
        }
    }

    fn open(&mut self, account: AccountId) {
        self.openings += 1;
        self.pool.opening += 1;
        *self.by_account.entry(account.clone()).or_default() += 1;
        *self.opening.entry(account.clone()).or_default() += 1;
        self.at_server.push_back(Job::Opening(account));
    }
}
