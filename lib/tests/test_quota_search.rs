//! The order in which an entry instance asks for operations of an account.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota_search::COUNTER_TIMEOUT;
use chervilwharf_lib::quota_search::Counters;
use chervilwharf_lib::quota_search::QUOTA_SEARCH_LIMIT;
use chervilwharf_lib::quota_search::QuotaSearch;
use chervilwharf_lib::quota_search::SkippedCounters;

fn record(id: &str, failure_domain: &str) -> InstanceRecord {
    InstanceRecord {
        id: id.into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: failure_domain.into(),
        capacity_millicores: 120,
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

/// Eight voters in three failure domains: v0, v3 and v6 are in `d0`.
fn voters() -> Vec<InstanceRecord> {
    (0..8).map(|index| record(&format!("v{index}"), &format!("d{}", index % 3))).collect()
}

/// The instances that are asked, in order, if all refuse.
fn order(
    now: Moment,
    voters: &[InstanceRecord],
    keeper: Option<&InstanceRecord>,
    skipped: &SkippedCounters,
) -> Vec<String> {
    let me = record("entry", "d0");
    let mut search = QuotaSearch::new("a".into());
    let counters = Counters { me: &me, holders: voters, keeper, skipped };
    let asked = std::iter::from_fn(|| search.next(now, &counters));
    asked.map(|record| record.id.to_string()).collect()
}

#[test]
fn test_keeper_is_asked_first_then_a_near_share_holder_and_one_more() {
    // Guards against questions to share holders on standby for each operation, and against
    // share holders in other failure domains while there is one nearby.
    let voters = voters();
    let order = order(at(0), &voters, Some(&voters[1]), &SkippedCounters::default());
    assert_eq!(order.len(), 3, "{order:?}");
    assert_eq!(order[0], "v1");
    assert!(["v0", "v3", "v6"].contains(&&*order[1]), "{order:?}");
    assert!(!order[..2].contains(&order[2]), "{order:?}");
}

#[test]
fn test_keeper_that_did_not_answer_is_asked_last() {
    // Guards against searches beyond a partition that wait for the keeper each time.
    let voters = voters();
    let mut skipped = SkippedCounters::default();
    skipped.record_unanswered(at(0), &voters[1].id);
    assert!(!order(at(299), &voters, Some(&voters[1]), &skipped).contains(&"v1".to_owned()));
    let few = &voters[..3];
    let order = order(at(300), few, Some(&voters[1]), &skipped);
    assert_eq!((order.len(), order[2].as_str()), (3, "v1"), "{order:?}");
}

#[test]
fn test_share_holder_on_standby_is_not_asked_until_its_promise_ends() {
    // Guards against two useless questions for each refusal of the keeper.
    let voters = voters();
    let account: AccountId = "a".into();
    let mut skipped = SkippedCounters::default();
    for voter in &voters {
        skipped.record_standby(at(0), &voter.id, &account, at(600));
    }
    assert_eq!(order(at(599), &voters, Some(&voters[1]), &skipped), ["v1"]);
    assert_eq!(order(at(600), &voters, Some(&voters[1]), &skipped).len(), 3);
    // Without a keeper, they are asked who it is.
    assert!(!order(at(599), &voters, None, &skipped).is_empty());
}

#[test]
fn test_counter_without_an_answer_is_skipped_and_then_asked_last() {
    // Guards against searches that use up their time on instances beyond a partition.
    let voters = voters();
    let mut skipped = SkippedCounters::default();
    for voter in &voters[2..] {
        skipped.record_unanswered(at(0), &voter.id);
    }
    assert_eq!(order(at(299), &voters, None, &skipped), ["v0", "v1"]);
    let later = order(at(300), &voters, None, &skipped);
    assert_eq!(later[..2], ["v0", "v1"], "{later:?}");
    assert!(later.len() > 2, "{later:?}");
    skipped.record_answered(&voters[2].id);
    assert!(order(at(300), &voters, Some(&voters[2]), &skipped).contains(&"v2".to_owned()));
}

#[test]
fn test_exhausted_counter_is_asked_again_after_its_retry_time() {
    let voters = voters();
    let account: AccountId = "a".into();
    let mut skipped = SkippedCounters::default();
    skipped.record_exhausted(at(0), &voters[1].id, &account, at(500));
    let keeper = Some(&voters[1]);
    let early = order(at(499), &voters, keeper, &skipped);
    // Another share holder takes the keeper's place.
    assert!(!early.contains(&"v1".to_owned()) && early.len() == 3, "{early:?}");
    assert_eq!(order(at(500), &voters, keeper, &skipped)[0], "v1");
    assert_eq!(skipped.exhausted_until(at(499), &voters[1].id, &account), Some(at(500)));
    assert_eq!(skipped.exhausted_until(at(499), &voters[1].id, &"b".into()), None);
}

#[test]
fn test_search_ends_after_few_counters_and_without_voters() {
    // Guards against operations that are held while many instances are asked.
    let voters = voters();
    assert!(order(at(0), &voters, None, &SkippedCounters::default()).len() <= 4);
    assert!(order(at(0), &[], None, &SkippedCounters::default()).is_empty());
    assert!(COUNTER_TIMEOUT * 2 < QUOTA_SEARCH_LIMIT);
    assert!(QUOTA_SEARCH_LIMIT <= Duration::from_millis(50));
}
