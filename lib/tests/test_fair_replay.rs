//! Replays of load that accounts compete for, with and without the fair order.

mod fair_replay;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::wait_queue::CLASS_RELIEF;
use fair_replay::Class;
use fair_replay::Replay;
use fair_replay::Request;
use fair_replay::Source;
use fair_replay::arrivals;

/// Length of a burst of cheap requests.
const BURST: Duration = Duration::from_secs(5);

const LENGTH: Duration = Duration::from_secs(20);

const URGENT: Class = (0, 100, 600);
const USUAL: Class = (1, 400, 1_500);
const CHEAP: Class = (2, 1_000, 3_000);

/// Requests per second that the server can serve: 4 slots, 18 ms for each.
const CAPACITY_PER_S: f64 = 222.0;

/// Connections to the server.
const CONNECTIONS: usize = 56;

const SEED: u64 = 1;

/// 75 accounts with half of 114 % of the capacity. Their limits are 1.6 times of their rate.
fn others(class: Class) -> Vec<Source> {
    let per_s = CAPACITY_PER_S * 1.14 / 2.0 / 75.0;
    let source =
        |index| Source { account: format!("a{index}").into(), weight: per_s * 1.6, class, per_s };
    (0..75).map(source).collect()
}

/// An account at its limit with the other half of the load.
fn hot(class: Class) -> Vec<Source> {
    let per_s = CAPACITY_PER_S * 1.14 / 2.0;
    vec![Source { account: "hot".into(), weight: per_s, class, per_s }]
}

fn replay(sources: &[Source], length: Duration, fair: bool) -> Replay {
    Replay::new(arrivals(sources, length, SEED, fair), CONNECTIONS).run()
}

fn per_account(replay: &Replay, counts: impl Fn(&Request) -> bool) -> BTreeMap<AccountId, f64> {
    let mut sums = BTreeMap::new();
    for request in &replay.requests {
        *sums.entry(request.account.clone()).or_default() += f64::from(u8::from(counts(request)));
    }
    sums
}

/// Mean part of what it is served alone, over the worst tenth of the accounts.
fn worst_tenth(alone: &Replay, beside: &Replay, counts: impl Fn(&Request) -> bool) -> f64 {
    let (alone, beside) = (per_account(alone, &counts), per_account(beside, &counts));
    let mut parts: Vec<f64> =
        alone.iter().map(|(account, sum)| beside[account] / sum.max(1.0)).collect();
    parts.sort_by(f64::total_cmp);
    parts.iter().take(7).sum::<f64>() / 7.0
}

fn ratio(part: usize, whole: usize) -> f64 {
    let number = |count| f64::from(u32::try_from(count).expect("few"));
    number(part) / number(whole.max(1))
}

fn part_in_time(replay: &Replay, select: impl Fn(&Request) -> bool) -> f64 {
    let all: Vec<_> = replay.requests.iter().filter(|request| select(request)).collect();
    let in_time = all.iter().filter(|request| request.is_in_time()).count();
    ratio(in_time, all.len())
}

/// Guards against 75 accounts that are refused because one sends half of the load, and
/// against an order that costs many more connections. Each account has its own connections;
/// there are fewer connections than accounts, as at a holder.
#[test]
fn test_hot_account_leaves_the_others_their_share() {
    let (others, hot) = (others(USUAL), hot(USUAL));
    let run = |fair| {
        let alone = replay(&others, LENGTH, fair);
        let both = replay(&[others.clone(), hot.clone()].concat(), LENGTH, fair);
        let share = worst_tenth(&alone, &both, Request::is_in_time);
        let served = both.requests.iter().filter(|request| request.answered_at.is_some());
        println!(
            "fair {fair}: worst tenth {share:.3}, served {} of {}, hot in time {:.3}, openings \
             {}, without the hot account {}",
            served.count(),
            both.requests.len(),
            part_in_time(&both, |request| &*request.account == "hot"),
            both.openings,
            alone.openings,
        );
        (share, both.openings, alone.openings)
    };
    let (share_before, openings_before, _) = run(false);
    let (share, openings, openings_alone) = run(true);
    assert!(share_before < 0.6, "the load is not hard: {share_before}");
    assert!(share >= 0.9, "{share}");
    // The others are served more often, and need their connections for that.
    assert!(openings < openings_before * 3 / 2 && openings < openings_alone * 5 / 4);
}

/// Guards against urgent requests that are late because of cheap ones, and against cheap
/// ones that are never served in time meanwhile.
#[test]
fn test_burst_of_the_cheapest_class_leaves_the_urgent_in_time() {
    let both = replay(&[others(URGENT), hot(CHEAP)].concat(), BURST, true);
    let urgent = part_in_time(&both, |request| request.class == URGENT);
    let cheap = part_in_time(&both, |request| request.class == CHEAP);
    println!("in time: urgent {urgent:.3}, cheap {cheap:.3}, openings {}", both.openings);
    assert!(urgent >= 0.9, "{urgent}");
    assert!(cheap >= 1.0 / f64::from(CLASS_RELIEF), "{cheap}");
}
