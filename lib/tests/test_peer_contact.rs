//! Tests of the reachability of instances and of the choice of a holder, and a
//! simulation of what a network partition costs instances that have to detect which
//! holders they still reach.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::holders::holders;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::peer_contact::LIVENESS_CHECK_AFTER;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use chervilwharf_lib::peer_contact::PeerContacts;
use chervilwharf_lib::peer_contact::Reachability;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn id(name: &str) -> InstanceId {
    name.into()
}

#[test]
fn test_instance_is_presumed_reachable_until_another_is_unreachable() {
    let mut peer_contacts = PeerContacts::default();
    assert_eq!(peer_contacts.reachability(at(0), &id("a")), Reachability::Reachable);
    peer_contacts.record_answer(at(900), &id("b"));
    assert!(peer_contacts.record_no_answer(at(1_100), at(1_000), &id("a")));
    assert_eq!(peer_contacts.reachability(at(1_100), &id("a")), Reachability::Unreachable);
    // Its last answer is older than the message that "a" did not answer, so it does
    // not prove that "b" is still reachable.
    assert_eq!(peer_contacts.reachability(at(1_100), &id("b")), Reachability::Unverified);
    peer_contacts.record_answer(at(1_150), &id("b"));
    assert_eq!(peer_contacts.reachability(at(1_160), &id("b")), Reachability::Reachable);
    // After the suspicion period, all but the unreachable instance are presumed
    // reachable.
    assert_eq!(peer_contacts.reachability(at(9_000), &id("c")), Reachability::Reachable);
    assert_eq!(peer_contacts.reachability(at(9_000), &id("a")), Reachability::Unreachable);
}

#[test]
fn test_unreachable_instance_is_checked_again_until_it_answers() {
    let mut peer_contacts = PeerContacts::default();
    peer_contacts.record_no_answer(at(1_000), at(900), &id("a"));
    assert!(!peer_contacts.take_due_liveness_check(at(1_100), &id("a")), "it was checked just now");
    assert!(peer_contacts.take_due_liveness_check(at(1_500), &id("a")));
    assert!(!peer_contacts.take_due_liveness_check(at(1_501), &id("a")));
    assert!(peer_contacts.record_answer(at(1_502), &id("a")), "it was unreachable");
    assert!(!peer_contacts.take_due_liveness_check(at(2_500), &id("a")));
}

/// A message without an answer does not make an instance unreachable if it has
/// answered a later one.
#[test]
fn test_instance_that_answered_since_is_not_unreachable() {
    let mut peer_contacts = PeerContacts::default();
    peer_contacts.record_answer(at(1_050), &id("a"));
    assert!(!peer_contacts.record_no_answer(at(1_100), at(1_000), &id("a")));
    assert_ne!(peer_contacts.reachability(at(1_100), &id("a")), Reachability::Unreachable);
}

fn candidate(
    name: &str,
    reachability: Reachability,
    recently_refused: bool,
    near: bool,
) -> Candidate {
    let record = InstanceRecord {
        id: name.into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 120,
    };
    Candidate { record, reachability, recently_refused, near }
}

#[test]
fn test_far_holder_that_can_serve_is_preferred_to_near_ones_that_cannot() {
    let candidates = [
        candidate("unreachable", Reachability::Unreachable, false, true),
        candidate("unable", Reachability::Reachable, true, true),
        candidate("able", Reachability::Reachable, false, false),
    ];
    for key in 0..5 {
        assert_eq!(
            &*choose(&candidates, &Affinity::Session(key)).expect("one of three").record.id,
            "able"
        );
    }
    assert!(choose(&[], &Affinity::Session(0)).is_none());
}

/// Size of the simulated deployment.
const INSTANCES: usize = 195;
const DOMAINS: usize = 5;
const GROUPS: usize = 20;
/// Number of instances on the larger side of the partition, out of each ten.
const LARGER_SIDE_OF_TEN: usize = 7;
/// Round-trip time to another instance.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Time that a holder needs for a statement.
const SERVICE: Duration = Duration::from_millis(20);
/// Time limit of a statement.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Time within which a statement should be answered.
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Duration of the partition.
const PARTITION: Duration = Duration::from_secs(7);
/// Time limit for a new connection if there are no liveness checks.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

fn fleet() -> Vec<InstanceRecord> {
    let record = |number: usize| InstanceRecord {
        id: format!("i{number:03}").into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: format!("d{}", number % DOMAINS).into(),
        capacity_millicores: 120,
    };
    (0..INSTANCES).map(record).collect()
}

fn is_on_larger_side(id: &InstanceId) -> bool {
    let number: usize = id[1..].parse().expect("a number");
    number % 10 < LARGER_SIDE_OF_TEN
}

/// How an instance detects that a holder is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DetectionMethod {
    /// By the timeout of each statement. The result is kept for a second.
    ByStatement,
    /// By liveness checks. The result is kept for the instance.
    ByLivenessCheck,
}

/// Numbers of requests during the partition, by their result.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// All requests.
    requests: usize,
    /// Served within the objective.
    in_time: usize,
    /// Served or given up after the objective.
    late: usize,
    /// Refused within the objective, since no holder was reachable.
    refused: usize,
}

/// An instance that sends statements to holders. It has no observations from before
/// the partition, which begins at time 0.
struct SendingInstance<'a> {
    record: &'a InstanceRecord,
    peer_contacts: PeerContacts,
    /// Unreachable holders without liveness checks, each with the time until which
    /// the result is kept.
    forgotten_at: HashMap<InstanceId, Moment>,
    /// Virtual time of the current request.
    now: Moment,
}

impl<'a> SendingInstance<'a> {
    fn new(record: &'a InstanceRecord) -> Self {
        let (peer_contacts, forgotten_at) = (PeerContacts::default(), HashMap::new());
        Self { record, peer_contacts, forgotten_at, now: Moment::ZERO }
    }

    fn reaches(&self, id: &InstanceId) -> bool {
        is_on_larger_side(id) == is_on_larger_side(&self.record.id)
    }

    fn reachability(&self, method: DetectionMethod, id: &InstanceId) -> Reachability {
        match method {
            DetectionMethod::ByLivenessCheck => self.peer_contacts.reachability(self.now, id),
            DetectionMethod::ByStatement => match self.forgotten_at.get(id) {
                Some(until) if *until > self.now => Reachability::Unreachable,
                _ => Reachability::Reachable,
            },
        }
    }

    fn candidates(
        &self,
        method: DetectionMethod,
        holders: &[InstanceRecord],
        tried: &[InstanceId],
    ) -> Vec<Candidate> {
        let untried = holders.iter().filter(|record| !tried.contains(&record.id));
        let others = untried.filter(|record| record.id != self.record.id);
        let candidate = |record: &InstanceRecord| Candidate {
            reachability: self.reachability(method, &record.id),
            recently_refused: false,
            near: record.failure_domain == self.record.failure_domain,
            record: record.clone(),
        };
        others.map(candidate).collect()
    }

    /// Sends liveness checks to instances and waits for the first answer. Returns
    /// whether there was one.
    fn check_liveness(&mut self, checked: &[InstanceId]) -> bool {
        let reached = checked.iter().any(|id| self.reaches(id));
        for id in checked {
            if self.reaches(id) {
                self.peer_contacts.record_answer(self.now, id);
            } else {
                self.peer_contacts.record_no_answer(self.now + LIVENESS_TIMEOUT, self.now, id);
            }
        }
        if !checked.is_empty() {
            self.now += if reached { ROUND_TRIP } else { LIVENESS_TIMEOUT };
        }
        reached
    }

    /// Processes a request that arrives at `now`. Returns whether it was served.
    fn request(&mut self, method: DetectionMethod, holders: &[InstanceRecord], key: u32) -> bool {
        let give_up_at = self.now + TIMEOUT;
        let mut tried = Vec::new();
        while self.now < give_up_at {
            let candidates = self.candidates(method, holders, &tried);
            let Some(chosen) = choose(&candidates, &Affinity::Session(key)) else {
                return false;
            };
            let id = chosen.record.id.clone();
            match (method, chosen.reachability) {
                (DetectionMethod::ByLivenessCheck, Reachability::Unverified) => {
                    let all: Vec<_> = candidates.iter().map(|c| c.record.id.clone()).collect();
                    self.check_liveness(&all);
                }
                (DetectionMethod::ByLivenessCheck, Reachability::Unreachable) => {
                    let now = self.now;
                    let ids = candidates.iter().map(|c| c.record.id.clone());
                    let due: Vec<_> = ids
                        .filter(|id| self.peer_contacts.take_due_liveness_check(now, id))
                        .collect();
                    if !self.check_liveness(&due) {
                        return false;
                    }
                }
                _ if self.reaches(&id) => {
                    self.peer_contacts.record_answer(self.now, &id);
                    self.now += ROUND_TRIP + SERVICE;
                    return true;
                }
                _ => {
                    self.wait_for_unreachable(method, &id);
                    tried.push(id);
                }
            }
        }
        false
    }

    fn wait_for_unreachable(&mut self, method: DetectionMethod, id: &InstanceId) {
        let sent_at = self.now;
        match method {
            DetectionMethod::ByStatement => {
                self.now += CONNECT_LIMIT;
                self.forgotten_at.insert(id.clone(), self.now + Duration::from_secs(1));
            }
            DetectionMethod::ByLivenessCheck => {
                self.now += LIVENESS_CHECK_AFTER + LIVENESS_TIMEOUT;
                self.peer_contacts.record_no_answer(self.now, sent_at, id);
            }
        }
    }
}

/// Simulates the partition for all instances on the smaller side.
fn simulate_partition(method: DetectionMethod, seed: u64) -> Outcome {
    let fleet = fleet();
    let mut rng = StdRng::seed_from_u64(seed);
    let list = |group| holders(&GroupId::from(format!("g{group}")), 88, GROUPS, &fleet);
    let lists: Vec<_> = (0..GROUPS).map(list).collect();
    let mut outcome = Outcome::default();
    for record in fleet.iter().filter(|record| !is_on_larger_side(&record.id)) {
        let mut sender = SendingInstance::new(record);
        let mut arrived_at = Moment::ZERO;
        while arrived_at < PARTITION {
            // On average ten requests a second.
            arrived_at += at(rng.random_range(1..200));
            sender.now = arrived_at;
            let holders = &lists[rng.random_range(0..GROUPS)];
            let served = sender.request(method, holders, rng.random_range(0..1_000));
            let in_time = sender.now <= arrived_at + OBJECTIVE;
            outcome.requests += 1;
            outcome.in_time += usize::from(served && in_time);
            outcome.refused += usize::from(!served && in_time);
            outcome.late += usize::from(!in_time);
        }
    }
    outcome
}

/// Guards against late requests on the smaller side of a partition, although nearly
/// every group has a reachable holder: 195 instances and 20 groups of eight holders
/// are split 70 to 30 for seven seconds. Most requests are late if each statement
/// waits for unreachable holders by its own timeout and the result is discarded
/// after a second.
#[test]
fn test_partition_delays_only_requests_without_reachable_holder() {
    for seed in 0..5 {
        let by_statement = simulate_partition(DetectionMethod::ByStatement, seed);
        let by_liveness_check = simulate_partition(DetectionMethod::ByLivenessCheck, seed);
        assert!(
            by_liveness_check.late * 100 < by_liveness_check.requests * 3,
            "seed {seed}: {by_liveness_check:?}"
        );
        assert!(
            by_liveness_check.in_time * 100 > by_liveness_check.requests * 90,
            "seed {seed}: {by_liveness_check:?}"
        );
        assert!(by_statement.late > by_liveness_check.late * 5, "seed {seed}: {by_statement:?}");
    }
}

/// Guards against accounts that need a connection at each of eight holders, so that
/// servers spend their slots on opening connections. That happens if the sessions of
/// an account use any holder in their failure domain.
#[test]
fn test_account_has_one_home_that_moves_only_when_it_goes() {
    let holders: Vec<_> =
        (0..8).map(|index| holder(&format!("h{index}"), index % 3 == 0)).collect();
    let home = |candidates: &[Candidate], account: &str| {
        let affinity = Affinity::Account(account.into());
        choose(candidates, &affinity).expect("one of them").record.id.clone()
    };
    let mut homes = std::collections::BTreeMap::new();
    for number in 0..76 {
        let account = format!("account{number}");
        let at_home = home(&holders, &account);
        *homes.entry(at_home.clone()).or_insert(0) += 1;
        let without: Vec<_> =
            holders.iter().filter(|other| *other.record.id != *"h3").cloned().collect();
        let moved = home(&without, &account);
        assert_eq!(moved != at_home, &*at_home == "h3", "{account}");
        // An unreachable home holder is not chosen.
        let mut unreachable = holders.clone();
        for candidate in unreachable.iter_mut().filter(|other| other.record.id == at_home) {
            candidate.reachability = Reachability::Unreachable;
        }
        assert_ne!(home(&unreachable, &account), at_home);
    }
    assert_eq!(homes.len(), 8, "{homes:?}");
    assert!(homes.values().all(|count| (3..=20).contains(count)), "{homes:?}");
}

fn holder(id: &str, near: bool) -> Candidate {
    let record = InstanceRecord {
        id: id.into(),
        life: 1,
        peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 120,
    };
    Candidate { record, reachability: Reachability::Reachable, recently_refused: false, near }
}

/// Guards against a restarted instance that gets no statements for 400 ms after it accepts
/// connections again, and against liveness checks of all instances because the process of one
/// is being started.
#[test]
fn test_instance_that_refuses_connections_is_checked_again_soon_and_raises_no_suspicion() {
    let mut peer_contacts = PeerContacts::default();
    assert!(peer_contacts.record_refused_connection(at(1_000), &id("a")));
    assert!(peer_contacts.is_starting(at(1_000), &id("a")));
    assert_eq!(peer_contacts.reachability(at(1_000), &id("a")), Reachability::Unreachable);
    assert_eq!(peer_contacts.reachability(at(1_000), &id("b")), Reachability::Reachable);
    assert!(!peer_contacts.take_due_liveness_check(at(1_010), &id("a")), "it was checked just now");
    assert!(peer_contacts.take_due_liveness_check(at(1_040), &id("a")));
    assert!(!peer_contacts.record_refused_connection(at(1_041), &id("a")), "it was unreachable");
    assert!(peer_contacts.record_answer(at(1_080), &id("a")));
    assert!(!peer_contacts.is_starting(at(1_081), &id("a")));
}

/// Guards against frequent liveness checks of an instance that has been stopped for good.
#[test]
fn test_instance_that_refuses_connections_for_long_no_longer_counts_as_starting() {
    let mut peer_contacts = PeerContacts::default();
    for step in 0..100 {
        peer_contacts.record_refused_connection(at(1_000 + step * 40), &id("a"));
    }
    assert!(!peer_contacts.is_starting(at(5_000), &id("a")));
    assert!(!peer_contacts.take_due_liveness_check(at(5_100), &id("a")));
    assert!(peer_contacts.take_due_liveness_check(at(5_400), &id("a")));
}
