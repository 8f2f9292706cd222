//! Requests that wait for a connection.

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
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_choice::Owner;
use futures::future::join_all;
use stubs::NoServer;
use stubs::shard_with_primary;

/// A group whose primary does not answer.
fn shard_with_silent_primary() -> Arc<Shard> {
    let id = "primary".into();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let shard = shard_with_primary(Arc::new(NoServer), &id, address);
    shard.with_group(|group| group.observe_failure(now(), &id));
    shard
}

/// Waits for the primary, and tells why it was not had.
async fn failure(shard: &Arc<Shard>, max_wait: Duration) -> Failure {
    let values = SessionValues::new();
    let want = ConnectionRequest {
        owner: Owner::Account(None),
        need: Need::Leader,
        priority: 1,
        give_up_at: now() + max_wait,
        in_time_until: now() + max_wait,
        values: &values,
        prepared: None,
    };
    let Err(failure) = shard.acquire(&want).await else {
        panic!("the primary answers nobody");
    };
    failure
}

#[tokio::test]
async fn test_requests_wait_for_the_next_primary_however_long_others_waited() {
    // Symptom: during a change of primary most requests are refused at once,
    // though the next primary leads before their deadline.
    // Sequence: a primary is lost; some requests wait until their deadline,
    // more arrive.
    // Cause: the wait for a primary was taken for the pace of the queue.
    let shard = shard_with_silent_primary();
    let waited_for_nothing = Failure::new(ErrorKind::Overloaded);
    for (requests, patience_ms) in [(3, 300), (6, 150)] {
        let max_wait = Duration::from_millis(patience_ms);
        let failures = join_all((0..requests).map(|_| failure(&shard, max_wait))).await;
        // Refused at arrival they would be told how long the queue is.
        assert_eq!(failures, vec![waited_for_nothing.clone(); requests]);
    }
}

/// Symptom: requests for a primary on the other side of a partition waited for
/// their whole time, 760 ms and more. Sequence: they wait for it, and it turns out
/// that it can neither be reached nor replaced from here. Cause: nobody told them;
/// refused, they reach an instance on the other side.
#[tokio::test]
async fn test_requests_for_a_primary_out_of_reach_are_refused_at_once() {
    let shard = shard_with_silent_primary();
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
    // Both would last ten minutes.
    for failure in join_all(waiting).await {
        assert_eq!(failure.expect("it ends").kind, ErrorKind::CutOff);
    }
    assert_eq!(failure(&shard, long).await.kind, ErrorKind::CutOff);
}
