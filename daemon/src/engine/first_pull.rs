//! Gets the records of a starting instance from other instances of a large fleet, so that it
//! need not list them at the platform's store.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::MIN_OTHERS_FOR_RELAYS;
use rand::seq::IndexedRandom;

use crate::engine::event_log;
use crate::engine::peer_records::pull_from_first_reachable;
use crate::engine::shared::Engine;

/// How long a starting instance waits for the list of the other instances before it lists the
/// other records at the store as well.
const INSTANCE_LISTING_WAIT: Duration = Duration::from_millis(100);

/// How long a starting instance tries to get the records from other instances before it lists
/// them at the store.
const FIRST_PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of other instances to which a starting one connects; most of them may have failed
/// with it.
const FIRST_PULL_PEERS: usize = 5;

/// Pulls the configuration and the servers from another instance after a start, if the store
/// lists a large fleet.
///
/// The store has one link for all. When half of a large fleet restarts and each instance lists
/// everything there, the last ones wait for seconds; other instances have the same records, in
/// a third of the bytes.
pub async fn pull_first_records(engine: Arc<Engine>) {
    let mut listed = engine.fleet_listings();
    let is_listed = listed.wait_for(|listed| *listed);
    if !matches!(tokio::time::timeout(INSTANCE_LISTING_WAIT, is_listed).await, Ok(Ok(_))) {
        return;
    }
    let others: Vec<_> = engine.with_fleet(|fleet| fleet.others().cloned().collect());
    if others.len() < MIN_OTHERS_FOR_RELAYS {
        return;
    }
    let asked: Vec<_> =
        others.choose_multiple(&mut rand::rng(), FIRST_PULL_PEERS).cloned().collect();
    let pull = pull_from_first_reachable(&engine, &asked);
    let pulled = tokio::time::timeout(FIRST_PULL_TIMEOUT, pull).await;
    let event = Event::new(EventKind::FirstPull).with("pulled", pulled.unwrap_or(false));
    event_log::emit(&event.with("version", engine.catalog().version));
}
