//! Requests that wait for a connection to the primary.

mod stubs;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::request::Failure;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_daemon::engine::waiting::ConnectionRequest;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use futures::future::join_all;
use stubs::NoServer;
use stubs::shard_with_primary;

/// A group whose primary does not answer.
fn shard_with_unresponsive_primary() -> Arc<Shard> {
    let id = "primary".into();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let shard = shard_with_primary(Arc::new(NoServer), &id, address);
    shard.with_group(|group| group.observe_failure(now(), &id));
    shard
}

/// Waits for a connection to the primary for at most `max_wait`, and returns the failure.
async fn failure(shard: &Arc<Shard>, max_wait: Duration) -> Failure {
    let values = SessionValues::new();
    let want = ConnectionRequest {
        owner: ConnectionOwner::Account(None),
        flow: Flow::default(),
        need: Need::Leader,
        priority: 1,
        give_up_at: now() + max_wait,
        in_time_until: now() + max_wait,
        values: &values,
        prepared: None,
    };
    let Err(failure) = shard.acquire(&want).await else {
        panic!("the primary does not answer");
    };
    failure
}

#[tokio::test]
async fn test_requests_wait_for_the_next_primary_however_long_others_waited() {
    // Guards against requests that are refused at once during a change of primary,
    // though the next primary could serve them before their deadline. The primary
    // fails; some requests wait until their deadline, and more arrive. If the waits for
    // the primary counted as waits in the queue, the queue would appear too slow.
    let shard = shard_with_unresponsive_primary();
    let waited_in_vain = Failure::new(ErrorKind::Overloaded);
    for (requests, max_wait_ms) in [(3, 300), (6, 150)] {
        let max_wait = Duration::from_millis(max_wait_ms);
        let failures = join_all((0..requests).map(|_| failure(&shard, max_wait))).await;
        // A request that is refused on arrival gets a retry time that depends on the queue.
        assert_eq!(failures, vec![waited_in_vain.clone(); requests]);
    }
}

/// Guards against requests that wait until their deadline (760 ms and more) for a primary on
/// the other side of a partition. While they wait, the instance detects that it can neither
/// reach nor replace the primary. If they are refused at once, their clients can still reach
/// an instance on the other side.
#[tokio::test]
async fn test_requests_for_a_primary_out_of_reach_are_refused_at_once() {
    let shard = shard_with_unresponsive_primary();
    let long = Duration::from_secs(600);
    let waiting: Vec<_> = (0..3)
        .map(|_| {
            let shard = shard.clone();
            tokio::spawn(async move { failure(&shard, long).await })
        })
        .collect();
    while shard.waiting() < waiting.len() {
        tokio::task::yield_now().await;
    }
    shard.set_out_of_reach(Some(&"primary".into()));
    // Without the refusal, these requests and the one below would wait for ten minutes.
    for failure in join_all(waiting).await {
        assert_eq!(failure.expect("the task ends").kind, ErrorKind::CutOff);
    }
    assert_eq!(failure(&shard, long).await.kind, ErrorKind::CutOff);
}
