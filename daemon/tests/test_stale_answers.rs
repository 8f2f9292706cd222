//! Tests that a new configuration is in force at an instance that reads stale
//! answers of the store, while the instances that read current ones for it do not reach the
//! store.

mod stubs;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::controllers;
use chervilwharf_daemon::engine::directory::Change;
use chervilwharf_daemon::engine::directory::Changes;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Entry;
use chervilwharf_daemon::engine::directory::Listing;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::store_reading::StoreReading;
use stubs::NoServer;
use stubs::ReadOnly;
use stubs::StoreReads;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time within which a configuration has to be in force. The times that the test waits for
/// are derived from it.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Number of other instances. None of them answers.
const OTHERS: usize = 24;

/// Maximum number of watches and liveness checks of the configuration. A loop without a pause
/// makes thousands.
const MAX_WATCHES: usize = 10;

/// Maximum wait for a condition before a test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Versions of the configuration before and after the change, with their revision numbers.
const BEFORE: (ConfigVersion, u64) = (1, 10);
const AFTER: (ConfigVersion, u64) = (2, 20);

/// A store with one change of the configuration, which stale answers never show.
#[derive(Default)]
struct StaleStore {
    has_changed: AtomicBool,
    configuration_watches: AtomicUsize,
    changed: Notify,
}

impl StaleStore {
    fn change(&self) {
        self.has_changed.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    fn state(&self, currency: Currency) -> (ConfigVersion, u64) {
        let is_shown = currency == Currency::Fresh && self.has_changed.load(Ordering::SeqCst);
        if is_shown { AFTER } else { BEFORE }
    }
}

#[async_trait]
impl StoreReads for StaleStore {
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError> {
        tokio::time::sleep(ANSWER_TIME).await;
        let state = self.state(currency);
        let entries = match kind {
            RecordKind::Configuration => vec![stubs::configuration(state)],
            RecordKind::Instances => instances(),
            _ => Vec::new(),
        };
        Ok(Listing { entries, revision: Revision::new(0, state.1), ..Listing::default() })
    }

    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError> {
        if kind == RecordKind::Configuration {
            self.configuration_watches.fetch_add(1, Ordering::SeqCst);
        }
        let changed = self.changed.notified();
        let is_watched = kind == RecordKind::Configuration && after.number < AFTER.1;
        if !is_watched || self.state(currency) == BEFORE {
            // The answer is the same whether the change or the end of the wait came first.
            let _waited = tokio::time::timeout(wait, changed).await;
        }
        tokio::time::sleep(ANSWER_TIME).await;
        let state = self.state(currency);
        let is_shown = is_watched && state == AFTER;
        let changes =
            is_shown.then(|| Change::Present(stubs::configuration(state))).into_iter().collect();
        Ok(Changes { changes, revision: Revision::new(0, state.1.max(after.number)) })
    }
}

/// The record of the tested instance, and those of others that are relays before it.
fn instances() -> Vec<Entry> {
    let record = |id: &str| Entry {
        name: id.into(),
        revision: Revision::new(0, 1),
        record: Record::Instance(stubs::instance(id)),
    };
    let others = (0..OTHERS).map(|number| record(&format!("other-{number}")));
    others.chain([record("one")]).collect()
}

fn engine() -> Arc<Engine> {
    let engine = Engine::new(stubs::instance("one"), Arc::new(NoServer));
    Arc::new(engine.with_configuration_bound(Some(CONFIGURATION_BOUND)))
}

/// Guards against an instance that depends on others to read the current configuration, and
/// does not notice that none of them reaches the store.
#[tokio::test]
async fn test_configuration_is_in_force_while_no_relay_reads_the_store() {
    let engine = engine();
    let store = Arc::new(StaleStore::default());
    let directory: Arc<dyn Directory> = ReadOnly::new(&store);
    let _watchers = controllers::start_record_watchers(&engine, &directory);
    wait_until("the first version is in force", || engine.catalog().version == BEFORE.0).await;
    wait_until("others are relays", || engine.store_read_currency() == Currency::MayBeStale).await;
    store.change();
    wait_until("the next version is in force", || engine.catalog().version == AFTER.0).await;
    let watches = store.configuration_watches.load(Ordering::SeqCst);
    assert!(watches <= MAX_WATCHES, "{watches} watches");
}

/// Guards against an instance that takes the relays for lost while it hears of their readings,
/// and reads current data at ten times the price.
#[tokio::test]
async fn test_stale_answers_are_enough_while_a_relay_reads_the_store() {
    let engine = engine();
    let directory: Arc<dyn Directory> = ReadOnly::new(&Arc::new(StaleStore::default()));
    let _watchers = controllers::start_record_watchers(&engine, &directory);
    let reading = StoreReading::new(now());
    wait_until("a reading is overdue", || {
        engine.apply_heartbeat(&Heartbeat { store_read_ms_ago: Some(0), ..Heartbeat::default() });
        reading.is_overdue(now(), engine.store_timeouts())
    })
    .await;
    assert_eq!(engine.store_read_currency(), Currency::MayBeStale);
}

/// Waits until a condition holds.
async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
