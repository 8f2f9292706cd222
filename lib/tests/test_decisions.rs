//! The smaller decisions: queues, pools, floors, routing, placement, limits.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::admission::Admission;
use chervilwharf_lib::admission::SlotQueue;
use chervilwharf_lib::burn::Alert;
use chervilwharf_lib::burn::BurnCounts;
use chervilwharf_lib::burn::report;
use chervilwharf_lib::classify::StatementClass;
use chervilwharf_lib::classify::comment_hints;
use chervilwharf_lib::classify::split;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::floors::Floors;
use chervilwharf_lib::floors::Freshness;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::ledger;
use chervilwharf_lib::limits::AccountLimits;
use chervilwharf_lib::membership::DatabaseView;
use chervilwharf_lib::placement::Candidate;
use chervilwharf_lib::placement::rank;
use chervilwharf_lib::pool::Checkout;
use chervilwharf_lib::pool::ServerPool;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::protos::Frame;
use chervilwharf_lib::retry::RetryBudget;
use chervilwharf_lib::routing::ReadTarget;
use chervilwharf_lib::routing::Route;
use chervilwharf_lib::routing::choose;
use chervilwharf_lib::succession::RANKING_DEPTH;
use chervilwharf_lib::succession::Succession;
use prost::Message;
use quickcheck::quickcheck;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn test_more_important_requests_get_the_next_slot() {
    let now = Instant::now();
    let mut queue = SlotQueue::new(1);
    assert_eq!(queue.request(now, 5, now + ms(1000)), Admission::Granted);
    let Admission::Queued(low) = queue.request(now, 5, now + ms(1000)) else { panic!() };
    let Admission::Queued(late) = queue.request(now, 1, now + ms(2000)) else { panic!() };
    let Admission::Queued(soon) = queue.request(now, 1, now + ms(1000)) else { panic!() };
    assert_eq!(queue.release(now, ms(1)), [soon]);
    assert_eq!(queue.release(now, ms(1)), [late]);
    assert_eq!(queue.release(now, ms(1)), [low]);
    assert!(queue.release(now, ms(1)).is_empty());
}

#[test]
fn test_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = SlotQueue::new(1);
    queue.request(now, 1, now + ms(10_000));
    // Teach it that a statement takes about 100 ms.
    for _ in 0..100 {
        queue.request(now, 1, now + ms(10_000));
        queue.release(now, ms(100));
    }
    let mut queued = 0;
    let refusal = loop {
        match queue.request(now, 1, now + ms(1000)) {
            Admission::Queued(_) => queued += 1,
            Admission::Refused { retry_after } => break retry_after,
            Admission::Granted => panic!("the slot is taken"),
        }
    };
    assert!((5..=11).contains(&queued), "{queued} were queued");
    assert!(refusal >= ms(800), "{refusal:?}");
}

#[test]
fn test_full_queue_displaces_the_lowest_priority() {
    let now = Instant::now();
    let mut queue = SlotQueue::new(1);
    queue.request(now, 1, now + ms(60_000));
    while let Admission::Queued(_) = queue.request(now, 6, now + ms(60_000)) {}
    assert!(queue.displaced().is_empty());
    assert!(matches!(queue.request(now, 1, now + ms(60_000)), Admission::Queued(_)));
    assert_eq!(queue.displaced().len(), 1);
}

#[test]
fn test_slots_never_exceed_their_number_and_none_is_lost() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut queue = SlotQueue::new(3);
        let mut holders: usize = 0;
        let mut waiting = BTreeSet::new();
        for (what, priority) in steps {
            match what % 3 {
                0 => match queue.request(now, priority, now + ms(60_000)) {
                    Admission::Granted => holders += 1,
                    Admission::Queued(ticket) => {
                        waiting.insert(ticket);
                    }
                    Admission::Refused { .. } => {}
                },
                1 if holders > 0 => {
                    let granted = queue.release(now, ms(1));
                    holders = holders - 1 + granted.len();
                    for ticket in granted {
                        assert!(waiting.remove(&ticket));
                    }
                }
                _ => {
                    if let Some(ticket) = waiting.pop_first() {
                        assert!(queue.abandon(ticket));
                    }
                }
            }
            if queue.in_use() != holders || holders > 3 {
                return false;
            }
            // Nobody waits while a slot is free.
            if holders < 3 && queue.waiting() > 0 {
                return false;
            }
        }
        true
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn test_pool_never_opens_more_than_its_cap() {
    fn property(steps: Vec<u8>) -> bool {
        let start = Instant::now();
        let mut pool = ServerPool::new(5, ms(1));
        let (mut opening, mut used) = (0_usize, Vec::new());
        for (at, step) in steps.into_iter().enumerate() {
            let now = start + ms(at as u64 * 2);
            match step % 5 {
                0 | 1 => match pool.checkout(now) {
                    Checkout::Reuse(id) => used.push(id),
                    Checkout::Open => opening += 1,
                    Checkout::Wait(_) => {}
                },
                2 if opening > 0 => {
                    opening -= 1;
                    used.push(pool.opened());
                }
                3 if opening > 0 => {
                    opening -= 1;
                    pool.open_failed();
                }
                _ => match used.pop() {
                    Some(id) if step % 2 == 0 => pool.give_back(id, now),
                    Some(_) => pool.closed(),
                    None => {}
                },
            }
            if pool.open_count() + opening > 5 {
                return false;
            }
        }
        true
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn test_own_writes_raise_only_the_own_floor() {
    let now = Instant::now();
    let mut floors = Floors::new(Position::new(1, 1));
    floors.raise(&"a".into(), Position::new(1, 7));
    floors.acknowledged(Position::new(1, 9));
    let floor = |account: &str, freshness| floors.floor(now, &account.into(), freshness);
    assert_eq!(floor("a", Freshness::OwnWrites), Some(Position::new(1, 7)));
    assert_eq!(floor("b", Freshness::OwnWrites), Some(Position::new(1, 1)));
    assert_eq!(floor("b", Freshness::Fresh), Some(Position::new(1, 9)));
}

#[test]
fn test_read_of_a_stated_age_needs_a_sample_young_enough() {
    let start = Instant::now();
    let mut floors = Floors::new(Position::ZERO);
    floors.sample(start, Position::new(1, 10));
    floors.sample(start + ms(1000), Position::new(1, 20));
    let floor = |at, age| floors.floor(start + ms(at), &"a".into(), Freshness::MaxAge(ms(age)));
    assert_eq!(floor(1500, 2000), Some(Position::new(1, 10)));
    assert_eq!(floor(1500, 1000), Some(Position::new(1, 20)));
    assert_eq!(floor(1500, 400), None);
}

#[test]
fn test_promotion_raises_all_floors_to_its_first_entry() {
    let mut floors = Floors::new(Position::new(1, 1));
    floors.raise(&"a".into(), Position::new(1, 99));
    floors.promoted(Position::new(2, 50));
    let floor = floors.floor(Instant::now(), &"a".into(), Freshness::OwnWrites);
    assert_eq!(floor, Some(Position::new(2, 50)));
}

#[test]
fn test_read_goes_to_a_replica_that_has_the_floor_or_to_the_primary() {
    let target = |id: &str, index, usable, in_flight| ReadTarget {
        id: id.into(),
        failure_domain: "far".into(),
        applied: Position::new(1, index),
        usable,
        in_flight,
        slots: 3,
    };
    let near = "near".into();
    let floor = Some(Position::new(1, 10));
    let behind = [target("a", 9, true, 0), target("b", 12, false, 0)];
    assert_eq!(choose(&behind, floor, &near, &[]), Route::Primary);
    let busy = [target("a", 10, true, 7), target("b", 12, true, 0)];
    assert_eq!(choose(&busy, floor, &near, &[]), Route::Replica("b".into()));
    assert_eq!(choose(&busy, floor, &near, &["b".into()]), Route::Replica("a".into()));
    assert_eq!(choose(&busy, None, &near, &[]), Route::Primary);
}

#[test]
fn test_only_the_databases_of_a_lost_instance_move() {
    let candidate = |n: usize| Candidate {
        id: format!("instance-{n}").into(),
        failure_domain: format!("domain-{}", n % 3).into(),
    };
    let all: Vec<_> = (0..8).map(candidate).collect();
    let without: Vec<_> = all.iter().filter(|c| &*c.id != "instance-3").cloned().collect();
    let mut moved = 0;
    for database in 0..1000 {
        let key = format!("database-{database}");
        let before = rank(&key, &all, None).remove(0);
        let after = rank(&key, &without, None).remove(0);
        if &*before == "instance-3" {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((80..=170).contains(&moved), "{moved} of 1000 databases moved");
}

#[test]
fn test_retries_stay_within_their_share() {
    let mut budget = RetryBudget::new(10, 5);
    let burst = std::iter::repeat_with(|| budget.try_retry()).take_while(|ok| *ok).count();
    assert_eq!(burst, 5);
    (0..100).for_each(|_| budget.record_request());
    let earned = std::iter::repeat_with(|| budget.try_retry()).take_while(|ok| *ok).count();
    assert_eq!(earned, 5);
}

#[test]
fn test_account_over_its_rate_gets_time_until_next_request() {
    let now = Instant::now();
    let mut limits = AccountLimits::new(now, 10);
    (0..10).for_each(|_| limits.try_request(now, 10).unwrap());
    let wait = limits.try_request(now, 10).unwrap_err();
    assert_eq!(wait.as_millis(), 100);
    limits.try_request(now + ms(101), 10).unwrap();
}

#[test]
fn test_statements_are_classified() {
    let class = |sql: &str| split(sql).unwrap().remove(0).1;
    let reads =
        ["SELECT 1", "select * from t where a = $1", "WITH x AS (SELECT 1) SELECT * FROM x"];
    for sql in reads {
        assert_eq!(class(sql), StatementClass::Read, "{sql}");
    }
    let writes = [
        "INSERT INTO t VALUES (1)",
        "UPDATE t SET a = 1",
        "DELETE FROM t",
        "SELECT * FROM t FOR UPDATE",
        "SELECT nextval('s')",
        "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x",
        "CREATE TABLE t (a INT)",
    ];
    for sql in writes {
        assert_eq!(class(sql), StatementClass::Write, "{sql}");
    }
    assert_eq!(class("BEGIN"), StatementClass::Begin);
    assert_eq!(class("commit"), StatementClass::Commit);
    assert_eq!(class(" ; "), StatementClass::Empty);
}

#[test]
fn test_hints_are_read_from_the_last_comment() {
    let hints = comment_hints("SELECT 1 /*request_id='a%2Cb',max_age_ms='500'*/;");
    assert_eq!(hints.request_id.as_deref(), Some("a,b"));
    assert_eq!(hints.freshness, Some(Freshness::MaxAge(ms(500))));
    assert_eq!(comment_hints("SELECT '/*request_id=1*/'").request_id, None);
}

#[test]
fn test_only_the_same_statement_has_the_same_digest() {
    let digest =
        |sql: &str, parameters: &[Option<&[u8]>]| ledger::digest(sql, parameters.iter().copied());
    let one = digest("A", &[Some(b"x"), None]);
    assert_eq!(one, digest("A", &[Some(b"x"), None]));
    assert_ne!(one, digest("A", &[None, Some(b"x")]));
    assert_ne!(digest("A", &[Some(b"xy")]), digest("A", &[Some(b"x"), Some(b"y")]));
}

#[test]
fn test_id_past_its_retention_is_expired() {
    let id = uuid::Uuid::now_v7().to_string();
    let made = ledger::made_at(&id).unwrap();
    assert!(!ledger::is_expired(&id, made + ledger::RETENTION));
    assert!(ledger::is_expired(&id, made + ledger::RETENTION + ms(1000)));
    assert!(!ledger::is_expired("charge-17", made + ledger::RETENTION * 100));
}

#[test]
fn test_every_error_kind_has_a_name_of_its_own() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_name(kind.name()), kind);
        assert_eq!(kind.rule().sqlstate.len(), 5);
    }
}

#[test]
fn test_burn_pages_only_when_both_windows_burn() {
    let mut counts = BurnCounts::default();
    let now = Duration::from_secs(1_000_000);
    for second in 0..3600 {
        counts.record(Duration::from_secs(1_000_000 - 3600 + second), None);
    }
    assert_eq!(report("s", 0.999, &counts, now).alert, Alert::None);
    for _ in 0..200 {
        counts.record(now, Some((ErrorKind::NoPrimary, "db1")));
    }
    // A refusal by the server is the caller's own and burns nothing.
    counts.record(now, Some((ErrorKind::ServerRefused, "db1")));
    let burn = report("s", 0.999, &counts, now);
    assert_eq!(burn.alert, Alert::Page);
    assert_eq!(&*burn.windows[0].causes[0].0, "no_primary at db1");
    assert_eq!(burn.windows[0].bad, 200);
}

/// The kept rankings are those one would get by ranking everything anew.
#[test]
fn test_succession_matches_full_ranking_after_every_membership_change() {
    fn property(changes: Vec<(bool, u8)>) -> bool {
        let me: InstanceId = "instance-0".into();
        let domain = |n: u8| -> Arc<str> { format!("domain-{}", n % 3).into() };
        let view = |n: u8| DatabaseView { id: format!("db{n}").into(), near: Some(domain(n)) };
        let views: Vec<_> = (0..20).map(view).collect();
        let mut succession = Succession::new(me.clone());
        succession.set_databases(&views);
        let mut present = BTreeSet::new();
        for (joins, number) in changes {
            let number = number % 12;
            let id: InstanceId = format!("instance-{number}").into();
            if joins {
                succession.add(&id, &domain(number));
                present.insert(number);
            } else {
                succession.remove(&id);
                present.remove(&number);
            }
            let candidates: Vec<_> = present
                .iter()
                .map(|n| Candidate {
                    id: format!("instance-{n}").into(),
                    failure_domain: domain(*n),
                })
                .collect();
            for view in &views {
                let all = rank(&view.id, &candidates, view.near.as_ref());
                let place = all.iter().take(RANKING_DEPTH).position(|id| *id == me);
                if succession.own_rank(&view.id, None) != place {
                    return false;
                }
                if succession.best(&view.id, view.near.as_ref()) != all.first().cloned() {
                    return false;
                }
                if succession.mine().any(|id| *id == view.id) != place.is_some() {
                    return false;
                }
            }
        }
        true
    }
    quickcheck::quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}

quickcheck! {
    fn prop_any_bytes_decode_or_are_refused(bytes: Vec<u8>) -> bool {
        match Frame::decode(bytes.as_slice()) {
            Ok(frame) => Frame::decode(frame.encode_to_vec().as_slice()).is_ok(),
            Err(_) => true,
        }
    }

    fn prop_any_text_is_classified_or_refused(sql: String) -> bool {
        let _ = comment_hints(&sql);
        split(&sql).is_ok_and(|parts| !parts.is_empty()) || split(&sql).is_err()
    }

    fn prop_floors_never_fall_within_a_term(raises: Vec<(bool, u16)>) -> bool {
        let mut floors = Floors::new(Position::new(1, 0));
        let (account, now) = ("a".into(), Instant::now());
        let mut last = Position::ZERO;
        for (is_read, index) in raises {
            let position = Position::new(1, u64::from(index));
            if is_read { floors.raise(&account, position) } else { floors.acknowledged(position) }
            let Some(floor) = floors.floor(now, &account, Freshness::Fresh) else { return false };
            if floor < last {
                return false;
            }
            last = floor;
        }
        true
    }
}
