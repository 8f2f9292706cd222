//! Homes of accounts near their callers, and the count of bytes that leave a failure domain.

mod stubs;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::near_homes::AbleServers;
use chervilwharf_daemon::engine::peers;
use chervilwharf_daemon::engine::sent_bytes;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::account::Account;
use chervilwharf_lib::account::Accounts;
use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::engine_protos::EngineFrame;
use chervilwharf_lib::engine_protos::SignOfLife;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::id::GroupId;
use prost::Message;
use stubs::NoServer;
use stubs::instance;
use stubs::primary;
use tokio::net::TcpListener;

fn record(number: usize) -> InstanceRecord {
    let failure_domain = format!("d{}", number % 3).as_str().into();
    InstanceRecord { failure_domain, ..instance(&format!("n{number:02}")) }
}

fn catalog(accounts: Option<Accounts>) -> Catalog {
    let settings = GroupSettings { max_connections: 56, sync_replicas: 1 };
    let groups = [("db".into(), settings)].into();
    Catalog { version: 1, groups, accounts, ..Catalog::default() }
}

fn accounts() -> Accounts {
    let limited = |rate_per_s| {
        let limit = QuotaLimit { rate_per_s, burst: 10.0 };
        Account { keys: Vec::new(), limit: Some(limit) }
    };
    let mut accounts = Accounts::default().with_account("large".into(), limited(100.0));
    for number in 0..50 {
        accounts = accounts.with_account(format!("small{number}").into(), limited(4.0));
    }
    accounts
}

/// The first of a number of instances.
fn engine(instances: usize, accounts: Option<Accounts>) -> Engine {
    let engine = Engine::new(record(0), Arc::new(NoServer));
    engine.apply_instance_list((1..instances).map(record).collect());
    engine.set_catalog(&Arc::new(catalog(accounts)));
    engine
}

/// Guards against writes that need connections to the primary at several holders, and against
/// reads of a large account that leave the failure domain.
#[test]
fn test_only_reads_of_large_accounts_stay_in_the_domain() {
    let engine = engine(24, Some(accounts()));
    let group: GroupId = "db".into();
    let single = |account: &str| Affinity::Account(account.into());
    let large = engine.account_affinity(&group, &"large".into(), AbleServers::Replicas);
    assert_eq!(large, Affinity::LargeAccount("large".into()));
    assert_eq!(
        engine.account_affinity(&group, &"large".into(), AbleServers::Primary),
        single("large")
    );
    assert_eq!(
        engine.account_affinity(&group, &"small1".into(), AbleServers::Replicas),
        single("small1")
    );
    assert_eq!(
        engine.account_affinity(&"other".into(), &"large".into(), AbleServers::Replicas),
        single("large")
    );
    let candidates = engine.candidates(&group, &[]);
    assert!(choose(&candidates, &large).is_some_and(|candidate| candidate.near));
}

/// Guards against a metric that names the single home of an account, or names small accounts
/// as well.
#[test]
fn test_homes_of_large_accounts_are_reported() {
    let engine = engine(24, Some(accounts()));
    let group: GroupId = "db".into();
    for account in ["large", "small1"] {
        let _affinity = engine.account_affinity(&group, &account.into(), AbleServers::Replicas);
    }
    let text = engine.metrics().text(&engine);
    let homes: Vec<_> =
        text.lines().filter(|line| line.starts_with("chervilwharf_account_homes{")).collect();
    assert_eq!(homes.len(), 1, "{text}");
    let candidates = engine.candidates(&group, &[]);
    let large = Affinity::LargeAccount("large".into());
    let home = if engine.serves_here(&group, &large) {
        engine.me().id.clone()
    } else {
        choose(&candidates, &large).expect("there are candidates").record.id.clone()
    };
    let labels = format!("account=\"large\",group=\"db\",home=\"{home}\"");
    assert_eq!(homes[0], format!("chervilwharf_account_homes{{{labels}}} 1"));
}

/// Guards against a change where each instance holds its own connections to all servers, or
/// all holders are in one failure domain.
#[test]
fn test_deployments_without_separate_holders_or_domains_keep_single_homes() {
    let group: GroupId = "db".into();
    let single = Affinity::Account("large".into());
    let small_fleet = engine(6, Some(accounts()));
    assert!(small_fleet.is_held_by_all(&group));
    assert_eq!(
        small_fleet.account_affinity(&group, &"large".into(), AbleServers::Replicas),
        single
    );
    let one_domain = Engine::new(instance("n00"), Arc::new(NoServer));
    let others = (1..24).map(|number| instance(&format!("n{number:02}")));
    one_domain.apply_instance_list(others.collect());
    one_domain.set_catalog(&Arc::new(catalog(Some(accounts()))));
    assert!(!one_domain.is_held_by_all(&group));
    assert_eq!(one_domain.account_affinity(&group, &"large".into(), AbleServers::Replicas), single);
}

/// Guards against a metric of the traffic that costs most, between failure domains, that misses
/// messages or counts them for the wrong domain.
#[tokio::test]
async fn test_sent_bytes_are_counted_by_kind_and_failure_domain() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer_address = listener.local_addr().unwrap();
    let peer_record =
        InstanceRecord { peer_address, failure_domain: "far".into(), ..instance("peer") };
    let peer = Arc::new(Engine::new(peer_record.clone(), Arc::new(NoServer)));
    tokio::spawn(peers::serve(peer, listener));
    let engine = Engine::new(instance("me"), Arc::new(NoServer));
    engine.apply_instance_list(vec![peer_record]);
    let near = primary("s1".into(), SocketAddr::from(([127, 0, 0, 1], 2)));
    let near = ServerInfo { failure_domain: "a".into(), ..near };
    let near_address = near.address;
    engine.update_servers(|list| {
        list.replace(Duration::ZERO, Revision::new(0, 1), vec![("db".into(), near)]);
    });
    let question = Body::SignOfLife(SignOfLife { ticket: 0, sent_ms_ago: 0 });
    let frame = EngineFrame { exchange_id: 1, body: Some(question.clone()) };
    let question_bytes = frame.encoded_len() + 4;
    engine.peers().ask(peer_address, question).await.unwrap();
    sent_bytes::count(sent_bytes::TO_SERVER, near_address, 100);
    let before = engine.metrics().text(&engine);
    assert!(before.contains("} 100\n"), "{before}");
    sent_bytes::count(sent_bytes::TO_SERVER, near_address, 20);
    let text = engine.metrics().text(&engine);
    let counted = |kind: &str, crossing: &str, bytes: &str| {
        let line = "chervilwharf_sent_bytes_total";
        let line = format!("{line}{{kind=\"{kind}\",crossing=\"{crossing}\"}} {bytes}");
        assert!(text.contains(&line), "{line} is not in {text}");
    };
    counted("sign_of_life", "yes", &format!("{question_bytes}\n"));
    counted("server", "no", "120\n");
    // Instances of both domains run on this host.
    counted("sign_of_life_reply", "unknown", "");
}
