//! The choice between two holders by their load.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group_load::ExpectedWait;
use chervilwharf_lib::group_load::LoadReports;
use chervilwharf_lib::group_load::PROBE_EVERY;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::holder_pair::all_refuse;
use chervilwharf_lib::holder_pair::choose_by_load;
use chervilwharf_lib::holder_pair::spare_holder;
use chervilwharf_lib::peer_contact::Reachability;

const OBJECTIVE: Duration = Duration::from_millis(100);

fn holder(id: &str, near: bool) -> Candidate {
    Candidate {
        record: InstanceRecord {
            id: id.into(),
            life: 1,
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: if near { "a" } else { "b" }.into(),
            capacity_millicores: 120,
        },
        reachability: Reachability::Reachable,
        recently_refused: false,
        near,
    }
}

fn served(ms: u64) -> ExpectedWait {
    ExpectedWait::Served(Duration::from_millis(ms))
}

fn refused(ms: u64) -> ExpectedWait {
    ExpectedWait::Refused(Duration::from_millis(ms))
}

/// The holder that is chosen from a near and a far one with these expected waits.
fn chosen(
    affinity: &Affinity,
    near: Option<ExpectedWait>,
    far: Option<ExpectedWait>,
) -> &'static str {
    let candidates = [holder("near", true), holder("far", false)];
    let expected = |candidate: &Candidate| if candidate.near { near } else { far };
    let choice = choose_by_load(&candidates, affinity, OBJECTIVE, expected).expect("one of two");
    assert_eq!(choice.by_load, !choice.holder.near);
    if choice.holder.near { "near" } else { "far" }
}

/// Guards against sessions that stay with a holder of their own domain which refuses them, and
/// against sessions that leave it for a gain smaller than the longer way: 10 ms and a tenth of
/// the objective.
#[test]
fn test_sessions_leave_a_holder_only_for_a_notable_gain() {
    let session = Affinity::Session(7);
    assert_eq!(chosen(&session, Some(refused(300)), Some(served(60))), "far");
    assert_eq!(chosen(&session, Some(refused(300)), None), "far");
    assert_eq!(chosen(&session, Some(refused(300)), Some(refused(100))), "near");
    assert_eq!(chosen(&session, Some(served(20)), Some(served(0))), "near");
    assert_eq!(chosen(&session, Some(served(21)), Some(served(0))), "far");
    assert_eq!(chosen(&session, Some(served(70)), None), "near", "nothing is known of the other");
    assert_eq!(chosen(&session, Some(served(96)), None), "far", "it would be late at the near one");
}

/// Guards against accounts that open connections at a further holder for a shorter wait.
#[test]
fn test_accounts_leave_their_home_only_if_it_refuses() {
    let candidates = [holder("one", true), holder("two", false)];
    let account = Affinity::Account("large".into());
    let home = choose(&candidates, &account).expect("one of two").record.id.clone();
    let choice = |at_home: ExpectedWait| {
        let expected = |candidate: &Candidate| {
            if candidate.record.id == home { Some(at_home) } else { Some(served(0)) }
        };
        let choice = choose_by_load(&candidates, &account, OBJECTIVE, expected);
        choice.expect("one of two").holder.record.id.clone()
    };
    assert_eq!(choice(ExpectedWait::Served(Duration::from_secs(1))), home);
    assert_ne!(choice(ExpectedWait::Refused(Duration::from_secs(1))), home);
}

/// Guards against a choice that changes without reports, as in a fleet of an earlier build or
/// after reports have stopped.
#[test]
fn test_without_reports_the_choice_is_as_before() {
    let candidates: Vec<_> =
        (0..8).map(|index| holder(&format!("h{index}"), index % 4 == 0)).collect();
    for number in 0..50 {
        let account = Affinity::Account(format!("account{number}").into());
        for affinity in [Affinity::Session(number), account] {
            let before = choose(&candidates, &affinity).expect("one of them");
            let choice = choose_by_load(&candidates, &affinity, OBJECTIVE, |_| None);
            let choice = choice.expect("one of them");
            assert_eq!(choice.holder.record.id, before.record.id);
            assert!(!choice.by_load);
        }
    }
}

/// Guards against all sessions of an overloaded holder that move to the same other one, which is
/// then overloaded in turn, and against moves to holders that refuse or are unreachable.
#[test]
fn test_second_candidates_are_spread_over_the_holders_with_capacity() {
    let mut candidates: Vec<_> =
        (0..8).map(|index| holder(&format!("h{index}"), index == 0)).collect();
    candidates[1].reachability = Reachability::Unreachable;
    candidates[2].recently_refused = true;
    let expected = |candidate: &Candidate| match &*candidate.record.id {
        "h0" | "h3" => Some(refused(200)),
        _ => Some(served(5)),
    };
    let second = |number| {
        let choice = choose_by_load(&candidates, &Affinity::Session(number), OBJECTIVE, expected);
        choice.expect("one of them").holder.record.id.clone()
    };
    let seconds: BTreeSet<_> = (0..100).map(second).collect();
    let seconds: Vec<&str> = seconds.iter().map(|id| &**id).collect();
    assert_eq!(seconds, ["h4", "h5", "h6", "h7"]);
    let none = spare_holder(&candidates, &Affinity::Session(0), |_| Some(refused(10)));
    assert!(none.is_none(), "every holder would refuse");
}

/// Guards against refusals at once while a holder could serve the request: it is expected to, or
/// its load is not known.
#[test]
fn test_requests_are_refused_at_once_only_if_every_holder_would() {
    let mut candidates = vec![holder("one", true), holder("two", false), holder("three", false)];
    let load = |third| {
        move |candidate: &Candidate| match &*candidate.record.id {
            "one" => Some(refused(200)),
            "two" => Some(refused(50)),
            _ => third,
        }
    };
    assert!(all_refuse(&candidates, load(Some(served(400)))).is_none());
    assert!(all_refuse(&candidates, load(None)).is_none());
    let all = all_refuse(&candidates, load(Some(refused(700)))).expect("all refuse");
    assert_eq!((&*all.shortest.record.id, all.holders), ("two", 3));
    candidates[2].reachability = Reachability::Unreachable;
    let all = all_refuse(&candidates, load(None)).expect("all reachable ones refuse");
    assert_eq!(all.holders, 2);
    assert!(all_refuse(&[], load(None)).is_none());
}

/// Guards against callers that were refused together and return together: their Retry-After times
/// cover the time that the backlogs need evenly.
#[test]
fn test_callers_that_were_refused_return_spread_over_time() {
    let candidates = [holder("one", true), holder("two", false)];
    let expected = |candidate: &Candidate| Some(refused(if candidate.near { 100 } else { 600 }));
    let all = all_refuse(&candidates, expected).expect("both refuse");
    let mut by_100_ms = [0; 7];
    for number in 0..500_u32 {
        let after = all.retry_after((f64::from(number) + 0.5) / 500.0);
        by_100_ms[usize::try_from(after.as_millis() / 100).expect("short")] += 1;
    }
    assert_eq!(by_100_ms, [0, 100, 100, 100, 100, 100, 0]);
    let empty = all_refuse(&candidates, |_| Some(refused(0))).expect("both refuse");
    assert!(empty.retry_after(0.0) > Duration::ZERO);
}

/// Guards against entries that never learn that an overload ended, because they send nothing to
/// the holders any more.
#[test]
fn test_one_of_eight_requests_is_sent_although_all_holders_refuse() {
    let mut reports = LoadReports::default();
    let (hot, other) = ("hot".into(), "other".into());
    let sent = (0..80).filter(|_| reports.take_probe(&hot)).count();
    assert_eq!((sent, PROBE_EVERY), (10, 8));
    assert!(!reports.take_probe(&other), "groups are counted separately");
}
