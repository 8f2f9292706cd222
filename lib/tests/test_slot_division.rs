//! Division of the slots of a server among the holders of its group.

use std::collections::HashMap;
use std::time::Duration;

use chervilwharf_lib::concurrency::ConcurrencyLimit;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::slot_division::DEMAND_VALIDITY;
use chervilwharf_lib::slot_division::HolderDemands;
use chervilwharf_lib::slot_division::statement_limit;
use quickcheck::quickcheck;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

quickcheck! {
    /// Guards against holders that together fill the queue of a server, where urgent statements
    /// wait behind all others: with any demands they send at most twice as many statements as the
    /// server has slots, and one more for each holder with little demand.
    fn prop_holders_together_send_about_twice_the_slots(demands: Vec<u8>, slots: u8) -> bool {
        let demands: Vec<f64> = demands.iter().map(|demand| f64::from(*demand) + 0.5).collect();
        let total: f64 = demands.iter().sum();
        let limit = |own: &f64| statement_limit(slots.into(), *own, total - own);
        let limits: Vec<f64> = demands.iter().map(limit).collect();
        let above_one: f64 = limits.iter().filter(|limit| **limit > 1.0).sum();
        limits.iter().all(|limit| *limit >= 1.0) && above_one <= 2.0 * f64::from(slots) + 1e-6
    }
}

/// Guards against slots that stay reserved for a holder that has died, and against demands of
/// instances that do not hold the group any more.
#[test]
fn test_old_demands_do_not_count() {
    let group: GroupId = "db".into();
    let holders: Vec<InstanceId> = vec!["a".into(), "b".into()];
    let mut demands = HolderDemands::default();
    let of_group = |wanted| HashMap::from([(group.clone(), wanted)]);
    demands.observe(at(0), &"a".into(), of_group(6.0));
    demands.observe(at(1_500), &"b".into(), of_group(2.0));
    demands.observe(at(1_500), &"c".into(), of_group(9.0));
    assert!((demands.sum(at(1_900), &group, &holders) - 8.0).abs() < 1e-9);
    assert!((demands.sum(DEMAND_VALIDITY, &group, &holders) - 2.0).abs() < 1e-9);
    demands.keep_only(|id| **id == *"a");
    assert!(demands.sum(at(1_900), &group, &holders[1..]).abs() < 1e-9);
}

/// Guards against a limit that rises far above the part of the slots while that part is small:
/// when it grows, the holder would send a flood of statements. Also guards against a holder
/// with no part at all.
#[test]
fn test_ceiling_bounds_the_limit_and_its_rise() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_ceiling(0.0);
    assert!(limit.allows(0) && !limit.allows(1));
    for _ in 0..100 {
        limit.answered(at(1), 0, at(1), at(50));
    }
    limit.set_ceiling(24.0);
    assert!(limit.allows(2) && !limit.allows(3), "as at first");
}
