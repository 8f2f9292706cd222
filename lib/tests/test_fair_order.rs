//! Order of service among accounts, tiers and priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::fair_order::AccountBacklog;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::fair_order::TURN_LENGTH;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::wait_queue::CLASS_RELIEF;
use chervilwharf_lib::wait_queue::QueuePlace;
use chervilwharf_lib::wait_queue::Rank;
use chervilwharf_lib::wait_queue::Tier;
use chervilwharf_lib::wait_queue::WaitQueue;
use quickcheck::quickcheck;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn rank(tier: Tier, priority: u8, deadline_ms: u64) -> Rank {
    Rank { tier, priority, deadline: at(deadline_ms) }
}

fn usual(deadline_ms: u64) -> Rank {
    rank(Tier::InTime, 1, deadline_ms)
}

fn flow(account: &str, rate_per_s: f64) -> Flow {
    Flow::of(Some(account.into()), Some(QuotaLimit { rate_per_s, burst: 1.0 }))
}

/// Grants a connection to the first request.
fn grant<T: Clone>(queue: &mut WaitQueue<T>) -> Option<T> {
    let (place, _) = queue.iter().next()?;
    queue.grant(place)
}

fn grant_many<T: Clone>(queue: &mut WaitQueue<T>, count: usize) -> Vec<T> {
    (0..count).filter_map(|_| grant(queue)).collect()
}

fn count(served: &[&str], account: &str) -> usize {
    served.iter().filter(|own| **own == account).count()
}

fn tier(late: bool) -> Tier {
    if late { Tier::Late } else { Tier::InTime }
}

quickcheck! {
    /// Guards against a changed order in deployments without client accounts: it is by tier,
    /// priority, deadline and arrival, whatever was granted or removed before.
    fn prop_order_without_accounts_is_by_tier_priority_deadline_and_arrival(
        steps: Vec<(u8, bool, u8, u8)>
    ) -> bool {
        let mut queue = WaitQueue::default();
        let mut expected: BTreeMap<(Rank, usize), QueuePlace> = BTreeMap::new();
        let any = Flow::default();
        for (number, (step, late, priority, deadline)) in steps.into_iter().enumerate() {
            let rank = rank(tier(late), priority % 4, u64::from(deadline % 16));
            let chosen = expected.values().nth(usize::from(deadline) % expected.len().max(1));
            match (step % 8, chosen.copied()) {
                (0, Some(place)) => {
                    queue.remove(place);
                    expected.retain(|_, other| *other != place);
                }
                (1 | 2, Some(place)) => {
                    queue.grant(place);
                    expected.retain(|_, other| *other != place);
                }
                (3, _) => queue.charge(rank, &any),
                _ => {
                    let place = queue.push(rank, &any, (rank, number));
                    expected.insert((rank, number), place);
                }
            }
            let order: Vec<_> = queue.iter().map(|(place, item)| (*item, place)).collect();
            let before = expected.range(..=(rank, usize::MAX)).count();
            if !order.iter().copied().eq(expected.clone())
                || queue.ahead_of(rank, &any).count() != before
                || queue.relieved() != 0
            {
                return false;
            }
        }
        true
    }

    /// Guards against estimates of the wait that count requests which are served later, or
    /// leave out some that are served before.
    fn prop_estimate_counts_exactly_the_requests_that_are_served_before(
        waiting: Vec<(u8, u8, u8)>, granted: u8, own: (u8, u8, u8)
    ) -> bool {
        let mut queue = WaitQueue::default();
        let entry = |(account, priority, deadline): (u8, u8, u8)| {
            let account = account % 5;
            let flow = match account {
                0 => Flow::default(),
                _ => flow(&account.to_string(), f64::from(account)),
            };
            (rank(tier(priority >= 200), priority % 3, u64::from(deadline % 16)), flow)
        };
        for (number, request) in waiting.into_iter().enumerate() {
            let (rank, flow) = entry(request);
            queue.push(rank, &flow, number);
        }
        grant_many(&mut queue, usize::from(granted % 32));
        let (rank, flow) = entry(own);
        let ahead: Vec<usize> = queue.ahead_of(rank, &flow).map(|(_, item)| *item).collect();
        queue.push(rank, &flow, usize::MAX);
        let order: Vec<usize> = queue.iter().map(|(_, item)| *item).collect();
        let served = grant_many(&mut queue, order.len());
        let before: Vec<usize> =
            served.iter().copied().take_while(|item| *item != usize::MAX).collect();
        ahead == before && served == order && queue.is_empty()
    }

    /// Guards against an account that is served more than its weight allows while others
    /// wait: two accounts that always have waiting requests differ from their weights by
    /// two turns at most.
    fn prop_accounts_are_served_in_proportion_to_their_weights(a: u8, b: u8) -> bool {
        let (a, b) = (f64::from(a % 20 + 1), f64::from(b % 20 + 1));
        let mut queue = WaitQueue::default();
        for deadline in 0..400 {
            // All deadlines of the first account are earlier.
            queue.push(usual(deadline), &flow("a", a), "a");
            queue.push(usual(10_000 + deadline), &flow("b", b), "b");
        }
        (1..=400).all(|_| {
            grant(&mut queue);
            let left: Vec<&str> = queue.iter().map(|(_, item)| *item).collect();
            let served = |account| f64::from(400 - u16::try_from(count(&left, account)).unwrap());
            let turns = 2.0 * f64::from(TURN_LENGTH);
            let difference = served("a") / a - served("b") / b;
            difference <= turns / a && -difference <= turns / b
        })
    }
}

#[test]
fn test_hot_account_does_not_delay_one_with_a_single_request() {
    // Guards against requests of 75 accounts that wait behind the backlog of one.
    let mut queue = WaitQueue::default();
    for deadline in 0..100 {
        queue.push(usual(deadline), &flow("hot", 50.0), "hot");
    }
    grant_many(&mut queue, 20);
    queue.push(usual(1_000), &flow("small", 1.0), "small");
    let served = grant_many(&mut queue, TURN_LENGTH as usize + 1);
    assert_eq!(count(&served, "small"), 1, "{served:?}");
}

#[test]
fn test_idle_account_accumulates_no_credit() {
    // Guards against an account that is served alone after a pause, as long as others were
    // served meanwhile.
    let mut queue = WaitQueue::default();
    for deadline in 0..100 {
        queue.push(usual(deadline), &flow("busy", 1.0), "busy");
    }
    grant_many(&mut queue, 60);
    for deadline in 0..40 {
        queue.push(usual(deadline), &flow("paused", 1.0), "paused");
    }
    let served = grant_many(&mut queue, 20);
    assert!(count(&served, "busy") >= 10 - TURN_LENGTH as usize, "{served:?}");
}

#[test]
fn test_disconnected_clients_are_not_charged_to_their_account() {
    // Guards against an account that waits for as long as requests would have taken whose
    // clients have disconnected.
    let mut queue = WaitQueue::default();
    let places: Vec<_> =
        (0..30).map(|deadline| queue.push(usual(deadline), &flow("a", 1.0), "a")).collect();
    for deadline in 0..30 {
        queue.push(usual(deadline), &flow("b", 1.0), "b");
    }
    for place in &places[..20] {
        assert_eq!(queue.remove(*place), Some("a"));
        assert_eq!(queue.remove(*place), None);
    }
    let served = grant_many(&mut queue, 16);
    assert_eq!((count(&served, "a"), count(&served, "b")), (8, 8), "{served:?}");
}

#[test]
fn test_new_limit_applies_to_requests_that_arrive_after_the_change() {
    // Guards against waiting requests that lose their place when an account leaves the
    // configuration, and against new ones that keep the weight of a limit that ended.
    let mut queue = WaitQueue::default();
    for deadline in 0..40 {
        queue.push(usual(deadline), &flow("a", 4.0), "a");
        queue.push(usual(deadline), &flow("b", 1.0), "b");
    }
    let without_limit = Flow::of(Some("a".into()), None);
    for deadline in 100..140 {
        queue.push(usual(deadline), &without_limit, "a");
        queue.push(usual(deadline), &flow("b", 1.0), "b");
    }
    let before = grant_many(&mut queue, 50);
    assert!((38..=42).contains(&count(&before, "a")), "{before:?}");
    let after = grant_many(&mut queue, 50);
    assert!((21..=29).contains(&count(&after, "a")), "{after:?}");
}

#[test]
fn test_accounts_without_waiting_requests_are_forgotten() {
    // Guards against memory that grows with the number of accounts that ever waited.
    let mut queue = WaitQueue::default();
    for number in 0..10_000_u64 {
        let account = number.to_string();
        queue.push(usual(number), &flow(&account, 1.0), account);
        if number >= 5 {
            grant(&mut queue);
        }
    }
    assert!(queue.len() == 5 && queue.flows() < 300, "{} flows", queue.flows());
    grant_many(&mut queue, 5);
    assert_eq!((queue.len(), queue.flows()), (0, 0));
}

#[test]
fn test_account_that_was_passed_over_does_not_block_the_others_later() {
    // Guards against an account that is served alone for as long as it waited for a
    // connection of its own, and against others that wait for it meanwhile.
    let mut queue = WaitQueue::default();
    for deadline in 0..200 {
        queue.push(usual(deadline), &flow("a", 1.0), "a");
        queue.push(usual(deadline), &flow("b", 1.0), "b");
    }
    for _ in 0..100 {
        let served = queue.iter().find(|(_, account)| **account == "b").map(|(place, _)| place);
        assert_eq!(queue.grant(served.expect("waits")), Some("b"));
    }
    // The present turn, the greatest lag (as long as a turn) and the next turn.
    let most_in_a_row = 3 * TURN_LENGTH as usize;
    let served = grant_many(&mut queue, most_in_a_row + 1);
    assert!(count(&served, "b") >= 1, "{served:?}");
    queue.push(usual(0), &flow("new", 1.0), "new");
    assert_eq!(count(&grant_many(&mut queue, most_in_a_row + 1), "new"), 1);
    let served = grant_many(&mut queue, 4 * TURN_LENGTH as usize);
    assert!(count(&served, "b") >= TURN_LENGTH as usize, "{served:?}");
}

#[test]
fn test_request_served_at_once_counts_for_its_account() {
    // Guards against an account that gets a connection at once for some of its requests, and
    // in addition as many in its turn as others.
    let mut queue = WaitQueue::default();
    for deadline in 0..20 {
        queue.push(usual(deadline), &flow("a", 1.0), "a");
        queue.push(usual(deadline), &flow("b", 1.0), "b");
    }
    for _ in 0..8 {
        queue.charge(usual(0), &flow("a", 1.0));
    }
    let served = grant_many(&mut queue, 8);
    assert_eq!(count(&served, "b"), 8, "{served:?}");
}

#[test]
fn test_lowest_priority_gets_one_in_eight_while_urgent_requests_wait() {
    // Guards against requests of the lowest priority that get no connection as long as more
    // urgent ones wait, and against a relief of requests that are late already.
    for (tier, expected) in [(Tier::InTime, 5), (Tier::Late, 0)] {
        let mut queue = WaitQueue::default();
        for deadline in 0..50 {
            queue.push(rank(tier, 0, deadline), &flow("a", 1.0), "urgent");
            queue.push(rank(tier, 1, deadline), &flow("a", 1.0), "usual");
            queue.push(rank(tier, 2, deadline), &flow("b", 1.0), "cheap");
        }
        let served = grant_many(&mut queue, 5 * CLASS_RELIEF as usize);
        assert_eq!(count(&served, "cheap"), expected);
        assert_eq!(count(&served, "urgent"), 40 - expected);
        assert_eq!(queue.relieved(), expected as u64);
    }
}

#[test]
fn test_requests_without_an_account_are_not_relieved() {
    // Guards against samples of the servers' state, which have the lowest priority, that get
    // the connections meant for the lowest priority of clients.
    let mut queue = WaitQueue::default();
    for deadline in 0..50 {
        queue.push(rank(Tier::InTime, 0, deadline), &flow("a", 1.0), "urgent");
        queue.push(rank(Tier::InTime, 2, deadline), &flow("a", 1.0), "cheap");
        queue.push(rank(Tier::InTime, 255, deadline), &Flow::default(), "sample");
    }
    let served = grant_many(&mut queue, 16);
    assert_eq!((count(&served, "cheap"), count(&served, "sample")), (2, 0));
}

#[test]
fn test_account_gets_half_of_the_places_while_others_wait() {
    // Guards against an account whose requests take all places in the queue, so that those
    // of others are refused.
    let mut queue = WaitQueue::default();
    for deadline in 0..5 {
        queue.push(usual(deadline), &flow("hot", 1.0), "hot");
    }
    let hot = "hot".into();
    assert!(!queue.others_wait(Tier::InTime, 1, &hot));
    queue.push(usual(0), &Flow::default(), "without an account");
    queue.push(rank(Tier::Late, 1, 0), &flow("a", 1.0), "in another tier");
    assert!(!queue.others_wait(Tier::InTime, 1, &hot));
    queue.push(usual(0), &flow("a", 1.0), "a");
    assert!(queue.others_wait(Tier::InTime, 1, &hot));
    let own = queue.of_account(Tier::InTime, 1, &hot).count();
    // Ten places: 75 ms at 7 ms for each.
    let backlog = AccountBacklog {
        own,
        others_wait: true,
        expected_wait: at(42),
        wait_per_place: at(7),
        max_wait: at(75),
    };
    assert_eq!(backlog.refuse_after(), Some(at(42)), "the time of its own backlog");
    assert_eq!(AccountBacklog { own: 4, ..backlog }.refuse_after(), None);
    assert_eq!(AccountBacklog { others_wait: false, ..backlog }.refuse_after(), None);
    let slow = AccountBacklog { own: 0, wait_per_place: at(500), ..backlog };
    assert_eq!(slow.refuse_after(), None, "one place belongs to each account");
}
