//! Tests of connection setup, the list of servers, and the plan of a stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
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
use quickcheck::Arbitrary;
use quickcheck::Gen;
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
    assert_eq!(connection_setup.begin_setup(&both, None).len(), 2);
    assert!(connection_setup.begin_setup(&both, None).is_empty());
    let changed = values(&[("a", "9"), ("b", "2")]);
    let expected = Statement::Set { name: "a".into(), value: "9".into() };
    assert_eq!(connection_setup.begin_setup(&changed, None), [expected]);
    let fewer = values(&[("a", "9")]);
    assert_eq!(connection_setup.begin_setup(&fewer, None)[0], Statement::Reset);
}

#[test]
fn test_reset_clears_prepared_statements_too() {
    // A reset for another session clears prepared statements as well as values. If
    // only the values counted as cleared, the server would refuse a later EXECUTE
    // with "no such name".
    let mut connection_setup = ConnectionSetup::default();
    let read = shape(Access::Read, "q");
    connection_setup.begin_setup(&values(&[("a", "1")]), Some(&read));
    assert!(connection_setup.begin_setup(&values(&[("a", "1")]), Some(&read)).is_empty());
    let steps = connection_setup.begin_setup(&values(&[]), Some(&read));
    assert!(matches!(steps[..], [Statement::Reset, Statement::Prepare { .. }]));
}

/// What a server has prepared after the statements that it got, as shapes by name.
fn run_at_server(server: &mut HashMap<Arc<str>, Prepared>, steps: Vec<Statement>) {
    for step in steps {
        match step {
            Statement::Reset => server.clear(),
            Statement::Prepare { name, prepared } => {
                assert!(server.insert(name, prepared).is_none(), "prepared twice");
            }
            Statement::Deallocate { name } => assert!(server.remove(&name).is_some()),
            _ => {}
        }
    }
}

/// Guards against a connection on which prepared statements pile up, here and at the server, and
/// against one that executes a statement that was discarded.
#[test]
fn test_prepared_statements_of_a_connection_are_bounded() {
    let mut connection_setup = ConnectionSetup::default();
    let mut server = HashMap::new();
    let none = values(&[]);
    for round in 0..3 {
        for number in 0..5_000 {
            let text = format!("q{number}");
            // Some shapes are as long as a message can be.
            let text = if number % 1_000 == 7 { text.repeat(200_000) } else { text };
            let wanted = shape(Access::Write, &text);
            let cost = connection_setup.setup_cost(&none, Some(&wanted));
            let steps = connection_setup.begin_setup(&none, Some(&wanted));
            assert_eq!(cost, steps.len(), "round {round}, shape {number}");
            run_at_server(&mut server, steps);
            assert_eq!(server.get(&wanted.shared_name()), Some(&wanted));
            let bytes: usize = server.values().map(|prepared| prepared.shape.len()).sum();
            assert!(server.len() <= 1_024, "{} statements", server.len());
            assert!(bytes <= 1024 * 1024 || server.len() == 1, "{bytes} bytes");
        }
    }
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

/// Shapes from few characters, so that equal and similar ones are frequent, with lengths on both
/// sides of the limit from which on names are digests.
#[derive(Clone, Debug)]
struct AnyPrepared(Prepared);

impl Arbitrary for AnyPrepared {
    fn arbitrary(g: &mut Gen) -> Self {
        let access = *g.choose(&[Access::Read, Access::Write]).unwrap();
        let length = *g.choose(&[0, 1, 2, 3, 8, 63, 64, 65, 300]).unwrap();
        let characters = ['a', 'b', '_', ' ', 'A', '0', 'ż', '\r', '\n', '\0', '-'];
        let usual = *g.choose(&[1, 3, characters.len()]).unwrap();
        let text: String = (0..length).map(|_| *g.choose(&characters[..usual]).unwrap()).collect();
        Self(shape(access, &text))
    }
}

quickcheck! {
    /// Guards against two shapes that share a name on a connection, and against names that a
    /// server reads as more than a name: they have only characters that a name may have.
    fn prop_names_are_single_words_of_one_shape(one: AnyPrepared, other: AnyPrepared) -> bool {
        let (one, other) = (one.0, other.0);
        let (name, other_name) = (one.shared_name(), other.shared_name());
        let is_word = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_');
        is_word && name.len() <= 66 && (name == other_name) == (one == other)
    }
}

/// Guards against a shape whose text is the digest or the name of another one.
#[test]
fn test_shape_that_spells_another_name_has_a_name_of_its_own() {
    let long = shape(Access::Read, "two words");
    let name = long.shared_name();
    for text in [&*name, &name[1..], &name[2..]] {
        assert_ne!(shape(Access::Read, text).shared_name(), name);
    }
}

quickcheck! {
    /// After `begin_setup`, a connection has exactly the values of the current session,
    /// whatever sessions used it before.
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
            let setup_cost = connection_setup.setup_cost(&wanted, None);
            let steps = connection_setup.begin_setup(&wanted, None);
            if setup_cost != steps.len() {
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
    // During an outage of the store the entries of servers expire, and the servers
    // write them again within two seconds after it. If the list dropped a server with
    // its entry, no server would be left for seconds although all are running.
    let mut list = ServerList::default();
    list.upsert("db".into(), server("s", false));
    list.replace(at(1_000), revision(1), Vec::new());
    assert!(list.drop_missing(at(3_000)));
    assert_eq!(list.take_changed()["db"].len(), 1);
    list.upsert("db".into(), server("s", false));
    assert!(!list.drop_missing(at(9_000)));
    list.missing(at(9_000), "s");
    assert!(!list.drop_missing(at(12_600)));
    assert!(list.take_changed()["db"].is_empty(), "the change reports that no server is left");
}

#[test]
fn test_leaving_server_that_is_gone_is_dropped_at_once() {
    let mut list = ServerList::default();
    list.upsert("db".into(), server("s", true));
    list.missing(at(10), "s");
    assert_eq!(list.all().count(), 0);
}

#[test]
fn test_stop_keeps_the_order_of_its_steps() {
    let plan = StopPlan::new(at(100_000), at(6_000));
    let after = |moment: Duration| moment.saturating_sub(at(100_000));
    assert!(after(plan.closing_begins_at()) >= at(2_000), "two checks of the load balancer");
    assert!(plan.close_at(0) < plan.close_at(999));
    assert!(after(plan.transactions_end_at()) >= at(3_000), "half of the grace period");
    assert!(plan.close_at(999) < plan.transactions_end_at());
    assert!(plan.transactions_end_at() < plan.ends_at());
    assert!(after(plan.ends_at()) < at(6_000));
}

#[test]
fn test_only_changed_groups_are_reported_and_only_changes_advance_the_list() {
    // If every change updated all groups, a change of one server among 640 groups would
    // cost each instance as much as the whole list. If the list took the revision of
    // the store, which also counts changes of other kinds, instances would pull an
    // unchanged list from each other again.
    let mut list = ServerList::default();
    list.upsert("db1".into(), server("s1", false));
    list.upsert("db2".into(), server("s2", false));
    list.advance(revision(5));
    assert_eq!(list.take_changed().len(), 2);
    list.upsert("db1".into(), server("s1", false));
    list.advance(revision(9));
    assert!(list.take_changed().is_empty());
    assert_eq!((list.revision(), list.changed_at()), (revision(9), revision(5)));
    list.upsert("db2".into(), server("s2", true));
    list.advance(revision(12));
    assert_eq!(list.take_changed().into_keys().collect::<Vec<_>>(), ["db2".into()]);
    assert_eq!(list.changed_at(), revision(12));
    list.missing(at(0), "s2");
    list.advance(revision(13));
    assert_eq!(list.changed_at(), revision(13), "a leaving server is dropped at once");
}

/// A store that was restored from a backup may list a server as it was before it began
/// to drain; the server must stay draining until it writes its entry again. A list from
/// before the restore must not replace a later one, though its number is higher.
#[test]
fn test_list_of_a_restored_store_replaces_a_list_with_a_higher_number() {
    let mut list = ServerList::default();
    let listed = |names: &[&str]| {
        names.iter().map(|name| ("db".into(), server(name, false))).collect::<Vec<_>>()
    };
    list.replace(at(0), Revision::new(1, 900), listed(&["drains", "goes"]));
    list.upsert("db".into(), server("drains", true));
    list.advance(Revision::new(1, 901));
    list.replace(at(10), Revision::new(2, 880), listed(&["drains", "new"]));
    let draining = |list: &ServerList, id| list.listed(id).map(|(_, info)| info.draining);
    assert_eq!(draining(&list, "new"), Some(false));
    assert_eq!(draining(&list, "drains"), Some(true));
    assert_eq!(draining(&list, "goes"), None);
    assert_eq!(list.changed_at(), Revision::new(2, 880), "other instances get the new list");
    list.replace(at(20), Revision::new(1, 950), listed(&["goes"]));
    assert_eq!(draining(&list, "new"), Some(false));
    list.upsert("db".into(), server("drains", false));
    assert_eq!(draining(&list, "drains"), Some(false), "the server wrote its entry again");
}
