//! Tests of watching the store's records while it drops its history, refuses calls, does
//! not respond, or was restored from a backup.

mod stubs;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::directory::Change;
use chervilwharf_daemon::engine::directory::Changes;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Listing;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::record_watch::PEER_LISTING_TIME;
use chervilwharf_daemon::engine::record_watch::RecordWatcher;
use chervilwharf_daemon::engine::record_watch::StoreState;
use chervilwharf_daemon::engine::record_watch::watch_records;
use chervilwharf_daemon::engine::server_control::ServerRecordWatcher;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::store_era::StoreEra;
use stubs::ReadOnly;
use stubs::StoreReads;
use tokio::sync::Notify;

/// Number of listings after which the store stops answering, so that the test ends.
const TOO_MANY_LISTS: usize = 50;

/// A store whose stale answers are of revision 1, and that has dropped all changes up to
/// revision 5.
#[derive(Default)]
struct CompactedStore {
    lists: AtomicUsize,
    settled: Notify,
}

#[async_trait]
impl StoreReads for CompactedStore {
    async fn list(&self, _: RecordKind, currency: Currency) -> Result<Listing, DirectoryError> {
        if self.lists.fetch_add(1, Ordering::SeqCst) >= TOO_MANY_LISTS {
            self.settled.notify_one();
            std::future::pending::<()>().await;
        }
        let number = if currency == Currency::Fresh { 10 } else { 1 };
        let revision = Revision::new(0, number);
        Ok(Listing { revision, ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        after: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        if after.number <= 5 {
            return Err(DirectoryError::HistoryGone);
        }
        self.settled.notify_one();
        std::future::pending().await
    }
}

struct IgnoringWatcher;

impl RecordWatcher for IgnoringWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Instances
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, _: Vec<Change>) {}

    fn currency(&self) -> Currency {
        Currency::MayBeStale
    }
}

#[tokio::test]
async fn test_dropped_history_does_not_cause_repeated_listings() {
    // Guards against a loop of calls without a pause: 11,000 calls in a day, most of them
    // within seconds. The store drops its history up to a revision that its stale answers
    // have not reached. An instance that accepts stale answers lists, watches from a
    // dropped revision, fails at once, and lists again.
    let store = Arc::new(CompactedStore::default());
    let watching =
        tokio::spawn(watch_records(ReadOnly::new(&store), StoreState::default(), IgnoringWatcher));
    store.settled.notified().await;
    watching.abort();
    assert_eq!(store.lists.load(Ordering::SeqCst), 2, "a stale one, then a current one");
}

/// Time between two changes of the store.
const BETWEEN_CHANGES: Duration = Duration::from_millis(10);

/// Number of servers that register one after the other.
const REGISTERING: u64 = 60;

/// A store in which servers register, and nothing changes afterwards.
struct RegisteringServers {
    began_at: tokio::time::Instant,
    watches: AtomicUsize,
    all_reported: Notify,
}

impl RegisteringServers {
    fn revision(&self) -> u64 {
        let watched_for = self.began_at.elapsed().saturating_sub(PEER_LISTING_TIME);
        let passed = watched_for.as_millis() / BETWEEN_CHANGES.as_millis();
        u64::try_from(passed).expect("a short time").min(REGISTERING) + 1
    }
}

#[async_trait]
impl StoreReads for RegisteringServers {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        Ok(Listing { revision: Revision::new(0, 1), ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        after: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        self.watches.fetch_add(1, Ordering::SeqCst);
        if after.number > REGISTERING {
            self.all_reported.notify_one();
            return std::future::pending().await;
        }
        while self.revision() <= after.number {
            tokio::time::sleep(BETWEEN_CHANGES).await;
        }
        let changes = vec![Change::Removed("some server".into())];
        Ok(Changes { revision: Revision::new(0, self.revision()), changes })
    }
}

/// Guards against one watch per registering server: when many servers register while the
/// relays watch the list, each change ends a watch of each relay.
#[tokio::test(start_paused = true)]
async fn test_servers_that_register_together_are_read_together() {
    let engine = Arc::new(Engine::new(stubs::instance("one"), Arc::new(stubs::NoServer)));
    let store = Arc::new(RegisteringServers {
        began_at: tokio::time::Instant::now(),
        watches: AtomicUsize::new(0),
        all_reported: Notify::new(),
    });
    let watching = tokio::spawn(watch_records(
        ReadOnly::new(&store),
        StoreState::default(),
        ServerRecordWatcher::new(engine),
    ));
    store.all_reported.notified().await;
    watching.abort();
    let watches = store.watches.load(Ordering::SeqCst);
    assert!(watches <= 6, "{watches} watches");
}

/// A store that refuses all calls until `ends_at`.
struct RefusingStore {
    ends_at: tokio::time::Instant,
    refused: AtomicUsize,
    /// Number of listings that were answered.
    answered: AtomicUsize,
    settled: Notify,
}

#[async_trait]
impl StoreReads for RefusingStore {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        if tokio::time::Instant::now() < self.ends_at {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return Err(DirectoryError::Refused(429));
        }
        if self.answered.fetch_add(1, Ordering::SeqCst) + 1 == KINDS.len() {
            self.settled.notify_one();
        }
        Ok(Listing { revision: Revision::new(0, 1), ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        std::future::pending().await
    }
}

const KINDS: [RecordKind; 4] =
    [RecordKind::Configuration, RecordKind::Servers, RecordKind::Instances, RecordKind::Duties];

struct IgnoringWatcherOfKind(RecordKind);

/// Ignores the configuration. Its watcher needs current data, and retries by itself.
struct IgnoringConfigurationWatcher;

impl RecordWatcher for IgnoringConfigurationWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Configuration
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, _: Vec<Change>) {}
}

impl RecordWatcher for IgnoringWatcherOfKind {
    fn kind(&self) -> RecordKind {
        self.0
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, _: Vec<Change>) {}

    fn currency(&self) -> Currency {
        Currency::MayBeStale
    }
}

/// Guards against retries of all four watchers of an instance while the store refuses it.
/// The platform charges for refused calls too.
#[tokio::test(start_paused = true)]
async fn test_one_watcher_retries_a_store_that_refuses() {
    let outage = Duration::from_secs(9);
    let store = Arc::new(RefusingStore {
        ends_at: tokio::time::Instant::now() + outage,
        refused: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
        settled: Notify::new(),
    });
    let state = StoreState::default();
    for kind in KINDS {
        tokio::spawn(watch_records(
            ReadOnly::new(&store),
            state.clone(),
            IgnoringWatcherOfKind(kind),
        ));
    }
    let began_at = tokio::time::Instant::now();
    store.settled.notified().await;
    let refused = store.refused.load(Ordering::SeqCst);
    assert!(refused <= 16, "{refused} calls were refused");
    // All watchers continue once the store answers one.
    assert!(began_at.elapsed() < outage + Duration::from_secs(3));
}

/// Guards against a start that lacks the list of instances for 0.7 s after the store answers
/// again: the watcher that retries for the others slept through the answer to another one.
#[tokio::test(start_paused = true)]
async fn test_retrying_watcher_continues_when_the_store_answers_another_one() {
    for outage_ms in [870, 1_900, 4_000] {
        let ends_at = tokio::time::Instant::now() + Duration::from_millis(outage_ms);
        let store = Arc::new(RefusingStore {
            ends_at,
            refused: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            settled: Notify::new(),
        });
        let state = StoreState::default();
        for kind in KINDS.into_iter().filter(|kind| *kind != RecordKind::Configuration) {
            let watcher = IgnoringWatcherOfKind(kind);
            tokio::spawn(watch_records(ReadOnly::new(&store), state.clone(), watcher));
        }
        let configuration = IgnoringConfigurationWatcher;
        tokio::spawn(watch_records(ReadOnly::new(&store), state.clone(), configuration));
        store.settled.notified().await;
        // The watcher of the configuration retries every 100 ms before the first listing.
        let took = ends_at.elapsed();
        assert!(took <= Duration::from_millis(110), "{took:?} after {outage_ms} ms");
    }
}

/// A store that does not respond until `ends_at`, and never answers the calls that it
/// receives before.
struct UnresponsiveStore {
    ends_at: tokio::time::Instant,
    calls: AtomicUsize,
    answered: AtomicUsize,
    settled: Notify,
}

/// Time after which a call fails without an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

#[async_trait]
impl StoreReads for UnresponsiveStore {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if tokio::time::Instant::now() < self.ends_at {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(DirectoryError::Unreachable("no answer".to_owned()));
        }
        if self.answered.fetch_add(1, Ordering::SeqCst) + 1 == KINDS.len() {
            self.settled.notify_one();
        }
        Ok(Listing { revision: Revision::new(0, 1), ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        std::future::pending().await
    }
}

/// Guards against a start that is delayed beyond the end of an outage. The instance starts
/// while the store does not respond, and waits for the timeout of calls that the store
/// will never answer. 74 instances that were killed during an outage served no clients for
/// 0.9 s after its end.
#[tokio::test(start_paused = true)]
async fn test_start_does_not_wait_for_calls_that_an_unresponsive_store_received() {
    for outage_ms in [100, 450, 900, 1_300, 1_950, 2_600] {
        let ends_at = tokio::time::Instant::now() + Duration::from_millis(outage_ms);
        let store = Arc::new(UnresponsiveStore {
            ends_at,
            calls: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            settled: Notify::new(),
        });
        let state = StoreState::default();
        for kind in KINDS {
            tokio::spawn(watch_records(
                ReadOnly::new(&store),
                state.clone(),
                IgnoringWatcherOfKind(kind),
            ));
        }
        store.settled.notified().await;
        let took = ends_at.elapsed();
        assert!(took <= Duration::from_millis(550), "{took:?} after {outage_ms} ms");
        let calls = store.calls.load(Ordering::SeqCst);
        assert!(calls <= 20, "{calls} calls in {outage_ms} ms");
    }
}

/// A store behind a slow link, which concurrent listings share.
struct SlowLinkStore {
    in_progress: AtomicUsize,
    lists: AtomicUsize,
    settled: Notify,
}

/// Time of a listing of one megabyte over 20 Mbit/s.
const LIST_TIME: Duration = Duration::from_millis(450);

#[async_trait]
impl StoreReads for SlowLinkStore {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        self.lists.fetch_add(1, Ordering::SeqCst);
        let concurrent = self.in_progress.fetch_add(1, Ordering::SeqCst) + 1;
        let concurrent = u32::try_from(concurrent).expect("few");
        tokio::time::sleep(LIST_TIME * concurrent).await;
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
        Ok(Listing { revision: Revision::new(0, 1), ..Listing::default() })
    }

    async fn watch(
        &self,
        kind: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        if kind == RecordKind::Duties {
            self.settled.notify_one();
        }
        // Records change all the time while other instances start.
        tokio::time::sleep(BETWEEN_CHANGES).await;
        Ok(Changes { revision: Revision::new(0, 1), changes: Vec::new() })
    }
}

/// Guards against a start that requests the same listings again and again, 30 times in two
/// seconds. Over a slow link a listing takes longer than the time after which it is
/// requested once more, and each concurrent request slows down the others.
#[tokio::test(start_paused = true)]
async fn test_first_listings_over_a_slow_link_are_not_requested_without_limit() {
    let store = Arc::new(SlowLinkStore {
        in_progress: AtomicUsize::new(0),
        lists: AtomicUsize::new(0),
        settled: Notify::new(),
    });
    let state = StoreState::default();
    for kind in KINDS {
        tokio::spawn(watch_records(
            ReadOnly::new(&store),
            state.clone(),
            IgnoringWatcherOfKind(kind),
        ));
    }
    let began_at = tokio::time::Instant::now();
    store.settled.notified().await;
    assert!(began_at.elapsed() < Duration::from_secs(5));
    let lists = store.lists.load(Ordering::SeqCst);
    assert!(lists <= 3 * KINDS.len(), "{lists} lists");
}

/// A store that is restored from a backup while it is watched. The lost history ends at
/// revision number 20; the present one continues from number 10 to 30.
struct RestoredStore {
    /// Revisions of successive listings; the last one repeats.
    lists: Vec<Revision>,
    listed: AtomicUsize,
    /// Revision of the answer to the first watch.
    first_watch: Revision,
    watched_from: Mutex<Vec<Revision>>,
    settled: Notify,
}

impl RestoredStore {
    fn new(lists: &[(u64, u64)], first_watch: (u64, u64)) -> Arc<Self> {
        let revision = |(era, number): (u64, u64)| Revision::new(era, number);
        Arc::new(Self {
            lists: lists.iter().copied().map(revision).collect(),
            listed: AtomicUsize::new(0),
            first_watch: revision(first_watch),
            watched_from: Mutex::default(),
            settled: Notify::new(),
        })
    }
}

#[async_trait]
impl StoreReads for RestoredStore {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        let number = self.listed.fetch_add(1, Ordering::SeqCst).min(self.lists.len() - 1);
        Ok(Listing { revision: self.lists[number], ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        after: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        let watches = {
            let mut watched_from = self.watched_from.lock().unwrap();
            watched_from.push(after);
            watched_from.len()
        };
        if watches == 1 {
            let changes = vec![Change::Removed("of another history".into())];
            return Ok(Changes { revision: self.first_watch, changes });
        }
        self.settled.notify_one();
        std::future::pending().await
    }
}

fn state_with_era(era: &Arc<StoreEra>) -> StoreState {
    StoreState { era: era.clone(), ..StoreState::default() }
}

/// Counts the changes that it applies.
struct CountingWatcher(Arc<AtomicUsize>);

impl RecordWatcher for CountingWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Servers
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, changes: Vec<Change>) {
        self.0.fetch_add(changes.len(), Ordering::SeqCst);
    }
}

/// Guards against applying changes of another era, whose revision numbers stand for other
/// states, and against a watch that continues in the new era.
#[tokio::test(start_paused = true)]
async fn test_records_are_listed_anew_when_a_watch_answers_of_another_era() {
    let store = RestoredStore::new(&[(1, 20), (2, 25)], (2, 30));
    let applied = Arc::new(AtomicUsize::new(0));
    let watcher = CountingWatcher(applied.clone());
    tokio::spawn(watch_records(ReadOnly::new(&store), StoreState::default(), watcher));
    store.settled.notified().await;
    assert_eq!(applied.load(Ordering::SeqCst), 0);
    let watched_from = store.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from, [Revision::new(1, 20), Revision::new(2, 25)]);
}

/// Guards against a stale listing from before a restore of the store that replaces newer
/// records.
#[tokio::test(start_paused = true)]
async fn test_listing_of_an_earlier_era_than_the_latest_known_is_not_applied() {
    let store = RestoredStore::new(&[(1, 20), (1, 20), (2, 25)], (2, 25));
    let era = Arc::new(StoreEra::default());
    era.note(2, "another instance");
    let watcher = CountingWatcher(Arc::default());
    tokio::spawn(watch_records(ReadOnly::new(&store), state_with_era(&era), watcher));
    store.settled.notified().await;
    let watched_from = store.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from[0], Revision::new(2, 25));
}

/// Guards against a watch that waits for up to 15 s although another instance reports that
/// the store was restored from a backup.
#[tokio::test(start_paused = true)]
async fn test_watch_ends_when_another_instance_reports_a_later_era() {
    let store = RestoredStore::new(&[(1, 20), (2, 25)], (1, 20));
    let era = Arc::new(StoreEra::default());
    let watcher = CountingWatcher(Arc::default());
    tokio::spawn(watch_records(ReadOnly::new(&store), state_with_era(&era), watcher));
    store.settled.notified().await;
    era.note(2, "another instance");
    store.settled.notified().await;
    let watched_from = store.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from.last(), Some(&Revision::new(2, 25)));
}
