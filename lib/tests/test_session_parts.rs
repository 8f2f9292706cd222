//! Layout of connections, the list of servers, and the plan of a stop.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::connection_setup::ConnectionSetup;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::revision::Revision;
use chervilwharf_lib::server_list::ServerList;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::stop_plan::StopPlan;
use quickcheck::quickcheck;

fn values(pairs: &[(&str, &str)]) -> SessionValues {
    pairs.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect()
}

fn shape(access: Access, shape: &str) -> Prepared {
    Prepared { access, shape: shape.into() }
}

#[test]
fn test_connection_is_reset_only_for_values_that_cannot_be_replaced() {
    let mut connection_setup = ConnectionSetup::default();
    let both = values(&[("a", "1"), ("b", "2")]);
    assert_eq!(connection_setup.adapt(&both, None).len(), 2);
    assert!(connection_setup.adapt(&both, None).is_empty());
    let changed = values(&[("a", "9"), ("b", "2")]);
    let expected = Statement::Set { name: "a".into(), value: "9".into() };
    assert_eq!(connection_setup.adapt(&changed, None), [expected]);
    let fewer = values(&[("a", "9")]);
    assert_eq!(connection_setup.adapt(&fewer, None)[0], Statement::Reset);
}

#[test]
fn test_reset_clears_prepared_statements_too() {
    // Symptom: EXECUTE of a prepared statement is answered "no such name".
    // Sequence: a connection is reset for another session, then lent back.
    // Cause: the reset clears prepared names as well as values.
    let mut connection_setup = ConnectionSetup::default();
    let read = shape(Access::Read, "q");
    connection_setup.adapt(&values(&[("a", "1")]), Some(&read));
    assert!(connection_setup.adapt(&values(&[("a", "1")]), Some(&read)).is_empty());
    let steps = connection_setup.adapt(&values(&[]), Some(&read));
    assert!(matches!(steps[..], [Statement::Reset, Statement::Prepare { .. }]));
}

#[test]
fn test_shapes_that_differ_have_different_names() {
    let names = [
        shape(Access::Read, "q").shared_name(),
        shape(Access::Write, "q").shared_name(),
        shape(Access::Read, "r").shared_name(),
    ];
    assert!(names[0] != names[1] && names[0] != names[2] && names[1] != names[2]);
}

quickcheck! {
    /// Whatever sessions used a connection before, after `adapt` it has the
    /// values of the present one, and no others.
    fn prop_adapted_connection_has_exactly_the_session_values(
        sessions: Vec<Vec<(u8, u8)>>
    ) -> bool {
        let mut connection_setup = ConnectionSetup::default();
        let mut actual = SessionValues::new();
        for session in sessions {
            let wanted: SessionValues = session
                .iter()
                .map(|(name, value)| {
                    ((name % 4).to_string().into(), (value % 3).to_string().into())
                })
                .collect();
            let distance = connection_setup.distance(&wanted, None);
            let steps = connection_setup.adapt(&wanted, None);
            if distance != steps.len() {
                return false;
            }
            for step in steps {
                match step {
                    Statement::Reset => actual.clear(),
                    Statement::Set { name, value } => {
                        actual.insert(name, value);
                    }
                    _ => return false,
                }
            }
            if actual != wanted {
                return false;
            }
        }
        true
    }
}

fn server(name: &str, draining: bool) -> ServerInfo {
    ServerInfo {
        id: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        slots: 3,
        draining,
        leads: false,
        start: "".into(),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

#[test]
fn test_entry_that_expired_during_an_outage_is_kept_for_a_while() {
    // Symptom: no server is left for seconds though all are alive.
    // Sequence: the store is down, entries expire, the store is back and the
    // servers write their entries again within two seconds.
    // Cause: each removal taken for the end of the server.
    let mut list = ServerList::default();
    list.present("db".into(), server("s", false));
    list.replace(at(1_000), revision(1), Vec::new());
    assert!(list.drop_missing(at(3_000)));
    assert_eq!(list.take_changed()["db"].len(), 1);
    list.present("db".into(), server("s", false));
    assert!(!list.drop_missing(at(9_000)));
    list.missing(at(9_000), "s");
    assert!(!list.drop_missing(at(12_600)));
    assert!(list.take_changed()["db"].is_empty(), "the group is told that all are gone");
}

#[test]
fn test_leaving_server_that_is_gone_is_dropped_at_once() {
    let mut list = ServerList::default();
    list.present("db".into(), server("s", true));
    list.missing(at(10), "s");
    assert_eq!(list.all().count(), 0);
}

#[test]
fn test_stop_keeps_the_order_of_its_steps() {
    let plan = StopPlan::new(at(100_000), at(6_000));
    let after = |moment: Duration| moment.saturating_sub(at(100_000));
    assert!(after(plan.closing_begins_at()) >= at(2_000), "two questions of the balancer");
    assert!(plan.close_at(0) < plan.close_at(999));
    assert!(after(plan.transactions_end_at()) >= at(3_000), "half of the grace");
    assert!(plan.close_at(999) < plan.transactions_end_at());
    assert!(plan.transactions_end_at() < plan.ends_at());
    assert!(after(plan.ends_at()) < at(6_000));
}

#[test]
fn test_only_changed_groups_are_reported_and_only_changes_advance_the_list() {
    // Symptom: with 640 groups each change of one server costs every instance
    // as much as the whole list, and all pull it from each other again.
    // Sequence: a server is listed again as it was; the store counts on for
    // changes of other kinds.
    // Cause: all groups told at each change, and the store's revision taken
    // for that of the list.
    let mut list = ServerList::default();
    list.present("db1".into(), server("s1", false));
    list.present("db2".into(), server("s2", false));
    list.advance(revision(5));
    assert_eq!(list.take_changed().len(), 2);
    list.present("db1".into(), server("s1", false));
    list.advance(revision(9));
    assert!(list.take_changed().is_empty());
    assert_eq!((list.revision(), list.changed_at()), (revision(9), revision(5)));
    list.present("db2".into(), server("s2", true));
    list.advance(revision(12));
    assert_eq!(list.take_changed().into_keys().collect::<Vec<_>>(), ["db2".into()]);
    assert_eq!(list.changed_at(), revision(12));
    list.missing(at(0), "s2");
    list.advance(revision(13));
    assert_eq!(list.changed_at(), revision(13), "a leaving server is dropped at once");
}

/// Guards against a copy of the store that shows a server as it was before it began to
/// drain, and against one that brings back a list of the lost history.
#[test]
fn test_list_of_a_restored_store_replaces_a_list_with_a_higher_number() {
    let mut list = ServerList::default();
    let listed = |names: &[&str]| {
        names.iter().map(|name| ("db".into(), server(name, false))).collect::<Vec<_>>()
    };
    list.replace(at(0), Revision::new(1, 900), listed(&["drains", "goes"]));
    list.present("db".into(), server("drains", true));
    list.advance(Revision::new(1, 901));
    list.replace(at(10), Revision::new(2, 880), listed(&["drains", "new"]));
    let draining = |list: &ServerList, id| list.listed(id).map(|(_, info)| info.draining);
    assert_eq!(draining(&list, "new"), Some(false));
    assert_eq!(draining(&list, "drains"), Some(true));
    assert_eq!(draining(&list, "goes"), None);
    assert_eq!(list.changed_at(), Revision::new(2, 880), "others are told");
    list.replace(at(20), Revision::new(1, 950), listed(&["goes"]));
    assert_eq!(draining(&list, "new"), Some(false));
    list.present("db".into(), server("drains", false));
    assert_eq!(draining(&list, "drains"), Some(false), "it wrote its entry again");
}
