//! Counters of store calls and of statements by account.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::counted_directory::CountedDirectory;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::error_kind::ErrorKind;
use stubs::ListsOnly;
use stubs::NoServer;
use stubs::ReadOnly;
use stubs::instance;

/// Guards against a metric of the calls to the store, each of which has a price, that stays
/// at zero because the counter is registered but never incremented.
#[tokio::test]
async fn test_calls_to_the_store_are_counted_by_kind_and_outcome() {
    let engine = Engine::new(instance("instance"), Arc::new(NoServer));
    let refusing = ReadOnly::new(&Arc::new(ListsOnly(DirectoryError::Refused(503))));
    let directory = CountedDirectory::new(refusing, engine.metrics().store.clone());
    for _ in 0..2 {
        directory.list(RecordKind::Servers, Currency::Fresh).await.unwrap();
    }
    let wait = Duration::from_secs(1);
    directory
        .watch(RecordKind::Servers, Revision::new(0, 7), wait, Currency::Fresh)
        .await
        .unwrap_err();
    let own = Record::Instance(instance("instance"));
    directory.write("instance", &own, None).await.unwrap_err();
    let text = engine.metrics().text(&engine);
    let counted = |labels: &str, count: u32| {
        let line = format!("chervilwharf_store_calls_total{{{labels}}} {count}\n");
        assert!(text.contains(&line), "{line} is not in {text}");
    };
    counted(r#"kind="servers",outcome="ok""#, 2);
    counted(r#"kind="servers",outcome="failed""#, 1);
    counted(r#"kind="instances",outcome="failed""#, 1);
    assert!(text.contains(r#"chervilwharf_store_answer_age_seconds{kind="servers"}"#));
    assert!(!text.contains(r#"chervilwharf_store_answer_age_seconds{kind="instances"}"#));
}

#[test]
fn test_number_of_accounts_with_own_counters_is_limited() {
    let engine = Engine::new(instance("instance"), Arc::new(NoServer));
    for number in 0..300 {
        let account = format!("account{number}").into();
        engine.metrics().accounts.record_statement(&account, None);
        engine.metrics().accounts.record_statement(&account, Some(ErrorKind::RateLimited));
    }
    let text = engine.metrics().text(&engine);
    let counted = |labels: &str, count: u32| {
        let line = format!("chervilwharf_account_statements_total{{{labels}}} {count}\n");
        assert!(text.contains(&line), "{line} is not in {text}");
    };
    counted(r#"account="account0",outcome="rate_limited""#, 1);
    counted(r#"account="account255",outcome="ok""#, 1);
    counted(r#"account="other",outcome="ok""#, 44);
    assert_eq!(text.matches("chervilwharf_account_statements_total{").count(), 2 * 257);
}
