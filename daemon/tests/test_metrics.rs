//! Counters of store calls and of statements by account, and the metrics that `load` reads.

mod stubs;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::counted_directory::CountedDirectory;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::quota_shards::QuotaShards;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::waiting::ConnectionRequest;
use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::engine_protos::KeeperVote;
use chervilwharf_lib::engine_protos::ShareLease;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::load_summary::LoadSummary;
use chervilwharf_lib::load_summary::Reading;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use stubs::ListsOnly;
use stubs::NoServer;
use stubs::ReadOnly;
use stubs::instance;
use stubs::primary;
use tokio::task::JoinHandle;

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

/// An engine with a group whose primary does not answer.
fn engine_with_unresponsive_primary() -> (Engine, Arc<Shard>) {
    let engine = Engine::new(instance("instance"), Arc::new(NoServer));
    let settings = GroupSettings { max_connections: 20, sync_replicas: 1 };
    let groups = [("db".into(), settings)].into();
    engine.set_catalog(&Arc::new(Catalog { version: 7, groups, ..Catalog::default() }));
    let shard = engine.shard(&"db".into());
    shard.set_servers(vec![primary("primary".into(), SocketAddr::from(([127, 0, 0, 1], 1)))]);
    shard.with_group(|group| group.observe_failure(now(), &"primary".into()));
    (engine, shard)
}

/// Requests a connection to the primary for a client, or for a sample without an account.
fn request(shard: &Arc<Shard>, owner: ConnectionOwner, priority: Priority) -> JoinHandle<()> {
    let shard = shard.clone();
    tokio::spawn(async move {
        let (values, give_up_at) = (SessionValues::new(), now() + Duration::from_secs(600));
        let request = ConnectionRequest {
            need: Need::Leader,
            flow: Flow::default(),
            owner,
            priority,
            give_up_at,
            in_time_until: give_up_at,
            values: &values,
            prepared: None,
        };
        assert!(shard.acquire(&request).await.is_err());
    })
}

fn owner(account: &str) -> ConnectionOwner {
    ConnectionOwner::Account(Some(account.into()))
}

/// Guards against a metrics text that grows with the number of accounts that wait, against
/// requests that are counted under the wrong priority, and against values that stay after the
/// requests have ended.
#[tokio::test]
async fn test_waiting_and_refused_requests_are_counted_by_priority_and_account() {
    let (engine, shard) = engine_with_unresponsive_primary();
    let mut requests = Vec::new();
    for number in 0..20 {
        requests.push(request(&shard, owner(&format!("account{number:02}")), 5));
    }
    requests.extend((0..3).map(|_| request(&shard, owner("account19"), 1)));
    requests.push(request(&shard, ConnectionOwner::AnyAccount, 0));
    while shard.waiting() < requests.len() {
        tokio::task::yield_now().await;
    }
    let text = engine.metrics().text(&engine);
    let has = |text: &str, line: &str| text.lines().any(|found| found == line);
    assert!(
        has(&text, r#"chervilwharf_waiting_by_priority{group="db",priority="5"} 20"#),
        "{text}"
    );
    assert!(has(&text, r#"chervilwharf_waiting_by_priority{group="db",priority="1"} 3"#), "{text}");
    assert!(!text.contains(r#"waiting_by_priority{group="db",priority="0"}"#), "{text}");
    assert!(text.contains(r#"chervilwharf_longest_wait_seconds{group="db",priority="5"} "#));
    assert!(has(&text, r#"chervilwharf_waiting_by_account{account="account19"} 4"#), "{text}");
    assert!(has(&text, r#"chervilwharf_waiting_by_account{account="other"} 4"#), "{text}");
    assert_eq!(text.matches("chervilwharf_waiting_by_account{").count(), 17);

    shard.set_out_of_reach(Some(&"primary".into()));
    for request in requests {
        request.await.expect("the request is refused");
    }
    for kind in [ErrorKind::QuotaUnknown, ErrorKind::CutOff, ErrorKind::BadStatement] {
        engine.metrics().record_statement(shard.id(), "read", Some(kind), Duration::ZERO);
    }
    let text = engine.metrics().text(&engine);
    let refused = |labels: &str, count: u32| {
        let line = format!("chervilwharf_refused_total{{group=\"db\",{labels}}} {count}");
        assert!(has(&text, &line), "{line} is not in {text}");
    };
    refused(r#"priority="5",reason="cut_off""#, 20);
    refused(r#"priority="1",reason="cut_off""#, 3);
    refused(r#"priority="none",reason="quota_unknown""#, 1);
    // The sample is no request of a client, the shard counted what was cut off, and a bad
    // statement is no refusal.
    assert_eq!(text.matches("chervilwharf_refused_total{").count(), 3, "{text}");
    assert!(!text.contains("chervilwharf_waiting_by_priority{"), "{text}");
    assert!(!text.contains("chervilwharf_waiting_by_account{"), "{text}");
}

/// Guards against a share that does not appear among the shards that an instance counts, and
/// against metrics that are absent while there is nothing to count: `load` would take the
/// instance for one of an earlier build.
#[tokio::test]
async fn test_shards_of_keepers_and_shares_are_counted() {
    let engine = Engine::new(instance("instance"), Arc::new(NoServer));
    assert_eq!(engine.quota().shards(now()), QuotaShards::default());
    let text = engine.metrics().text(&engine);
    for role in ["keeper", "share_counted", "share_standby"] {
        let line = format!("chervilwharf_quota_shards{{role=\"{role}\"}} 0\n");
        assert!(text.contains(&line), "{line} is not in {text}");
    }
    let mut request =
        KeeperVote { shard: 3, instance: "keeper".to_owned(), life: 1, ..KeeperVote::default() };
    let report = engine.keeper_vote(&request).share.expect("the vote is granted");
    let timestamp_ms = report.timestamp_ms.expect("the keeper may grant a share");
    request.share = Some(ShareLease { life: report.life, timestamp_ms });
    let _ = engine.keeper_vote(&request);
    let shards = engine.quota().shards(now());
    assert_eq!((shards.keeper, shards.share_counted, shards.share_standby), (0, 1, 0));
    request.holds_lease = true;
    let _ = engine.keeper_vote(&request);
    let shards = engine.quota().shards(now());
    assert_eq!((shards.keeper, shards.share_counted, shards.share_standby), (0, 0, 1));
}

/// Guards against metrics that the summary of `load` cannot read, or finds under another name.
#[tokio::test]
async fn test_metrics_text_is_read_by_the_load_summary() {
    let (engine, shard) = engine_with_unresponsive_primary();
    let request = request(&shard, owner("shop"), 5);
    while shard.waiting() == 0 {
        tokio::task::yield_now().await;
    }
    engine.metrics().record_statement(
        shard.id(),
        "read",
        Some(ErrorKind::RateLimited),
        Duration::ZERO,
    );
    engine.metrics().accounts.record_statement(&"shop".into(), Some(ErrorKind::RateLimited));
    let text = engine.metrics().text(&engine);
    request.abort();
    let reading = |text: &str| Reading::new("a:1".into(), Duration::ZERO, Ok(text));
    let summary = LoadSummary::new(&[reading(&text)], None);
    assert_eq!((summary.instances_read, summary.ignored_lines), (1, 0), "{text}");
    assert_eq!(summary.configuration_version, Some(7.0));
    let waiting = &summary.waiting.rows[0];
    assert_eq!(
        (&*waiting.group, waiting.priority.as_deref(), waiting.waiting),
        ("db", Some("5"), 1.0)
    );
    assert!(waiting.longest_wait_s.is_some());
    assert_eq!(&*summary.waiting_accounts.rows[0].account, "shop");
    assert_eq!(&*summary.refused.rows[0].reason, "rate_limited");
    assert_eq!(&*summary.refused_accounts.rows[0].account, "shop");
    assert_eq!(summary.quota.reporting_instances, 1);
    assert_eq!(summary.outdated.rows, []);
}
