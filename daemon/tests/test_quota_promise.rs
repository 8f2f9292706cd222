//! Promises of share holders to keepers, as they are exchanged in messages.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::quota_shards::QuotaShards;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::engine_protos::KeeperVote;
use chervilwharf_lib::engine_protos::QuotaQuestion;
use chervilwharf_lib::engine_protos::ShareLease;
use chervilwharf_lib::engine_protos::ShareReply;
use chervilwharf_lib::keeper_lease::shard_of;
use stubs::NoServer;
use stubs::instance;

const ACCOUNT: &str = "a";

/// The report of an instance to the keeper `k`, which grants the share that `report` allows.
fn report(engine: &Engine, holds_lease: bool, report: Option<&ShareReply>) -> ShareReply {
    let share = report.map(|report| ShareLease {
        life: report.life,
        timestamp_ms: report.timestamp_ms.expect("a report to a candidate has one"),
    });
    let instance = "k".to_owned();
    let shard = shard_of(ACCOUNT);
    let request =
        KeeperVote { shard, instance, life: 1, share, holds_lease, ..KeeperVote::default() };
    let reply = engine.keeper_vote(&request);
    assert!(reply.granted);
    reply.share.expect("a granted vote reports the share")
}

#[tokio::test]
async fn test_share_is_on_standby_until_the_promise_to_the_keeper_ends() {
    // Guards against a share that is counted while the keeper counts it, against promises to
    // candidates without the lease and to builds that do not know of them, and against a
    // Retry-After time that is longer than the promise.
    let engine = Engine::new(instance("holder"), Arc::new(NoServer));
    let first = report(&engine, false, None);
    assert_eq!(first.standby_ms, None);
    let promised = report(&engine, true, Some(&first));
    assert_eq!(promised.standby_ms, Some(700));
    assert!(promised.left_ms > 0);
    let standby = QuotaShards { share_standby: 1, ..QuotaShards::default() };
    assert_eq!(engine.quota().shards(now()), standby);

    let question = QuotaQuestion {
        account: ACCOUNT.to_owned(),
        wanted: 1,
        rate_per_s: 10.0,
        burst: 10.0,
        accepts_share: true,
        ..QuotaQuestion::default()
    };
    let reply = engine.quota_reply(&question);
    assert!(!reply.holds_share && !reply.keeps && reply.keeper == "k", "{reply:?}");
    assert!(reply.keeper_due_ms.is_some_and(|due_ms| due_ms <= 700), "{reply:?}");

    tokio::time::sleep(Duration::from_millis(710)).await;
    let counted = QuotaShards { share_counted: 1, ..QuotaShards::default() };
    assert_eq!(engine.quota().shards(now()), counted);
}
