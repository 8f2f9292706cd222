//! Following records of a store that forgets its history.

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
use chervilwharf_daemon::engine::follow::Follower;
use chervilwharf_daemon::engine::follow::PEER_LISTING_TIME;
use chervilwharf_daemon::engine::follow::StoreState;
use chervilwharf_daemon::engine::follow::follow;
use chervilwharf_daemon::engine::server_control::ServerFollower;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::store_era::StoreEra;
use stubs::Listed;
use stubs::ReadOnly;
use tokio::sync::Notify;

/// Lists after which the test gives up.
const TOO_MANY_LISTS: usize = 50;

/// A store whose old answers show revision 1, while all changes up to 5 are
/// forgotten.
#[derive(Default)]
struct ForgetfulStore {
    lists: AtomicUsize,
    settled: Notify,
}

#[async_trait]
impl Listed for ForgetfulStore {
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

struct Quiet;

impl Follower for Quiet {
    fn kind(&self) -> RecordKind {
        RecordKind::Instances
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, _: Vec<Change>) {}

    fn currency(&self) -> Currency {
        Currency::MayBeOld
    }
}

#[tokio::test]
async fn test_dropped_history_does_not_cause_repeated_listings() {
    // Symptom: 11,000 calls to the store on a day, most of them in seconds.
    // Sequence: the store forgets its history while its old answers are
    // behind; an instance that takes old answers lists again.
    // Cause: the list showed what is forgotten, so the watch failed at once,
    // and so on without a pause.
    let store = Arc::new(ForgetfulStore::default());
    let following = tokio::spawn(follow(ReadOnly::new(&store), StoreState::default(), Quiet));
    store.settled.notified().await;
    following.abort();
    assert_eq!(store.lists.load(Ordering::SeqCst), 2, "an old one, then a fresh one");
}

/// Time between two changes while servers start.
const BETWEEN_CHANGES: Duration = Duration::from_millis(10);

/// Servers that register one after the other.
const REGISTERING: u64 = 60;

/// A store in which servers register, and then nothing happens.
struct ServersRegister {
    began_at: tokio::time::Instant,
    watches: AtomicUsize,
    all_told: Notify,
}

impl ServersRegister {
    fn revision(&self) -> u64 {
        let watched_for = self.began_at.elapsed().saturating_sub(PEER_LISTING_TIME);
        let passed = watched_for.as_millis() / BETWEEN_CHANGES.as_millis();
        u64::try_from(passed).expect("a short time").min(REGISTERING) + 1
    }
}

#[async_trait]
impl Listed for ServersRegister {
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
            self.all_told.notify_one();
            return std::future::pending().await;
        }
        while self.revision() <= after.number {
            tokio::time::sleep(BETWEEN_CHANGES).await;
        }
        let changes = vec![Change::Removed("some server".into())];
        Ok(Changes { revision: Revision::new(0, self.revision()), changes })
    }
}

/// Symptom: 602 of 2,250 priced calls of a quiet day in its first seconds, in
/// which nobody asks anything. Sequence: 60 servers register while relays watch
/// the list. Cause: each change ended a watch of each relay.
#[tokio::test(start_paused = true)]
async fn test_servers_that_register_together_are_read_together() {
    let engine = Arc::new(Engine::new(stubs::instance("one"), Arc::new(stubs::NoServer)));
    let store = Arc::new(ServersRegister {
        began_at: tokio::time::Instant::now(),
        watches: AtomicUsize::new(0),
        all_told: Notify::new(),
    });
    let following = tokio::spawn(follow(
        ReadOnly::new(&store),
        StoreState::default(),
        ServerFollower::new(engine),
    ));
    store.all_told.notified().await;
    following.abort();
    let watches = store.watches.load(Ordering::SeqCst);
    assert!(watches <= 6, "{watches} watches");
}

/// A store that refuses for a while.
struct Refusing {
    ends_at: tokio::time::Instant,
    refused: AtomicUsize,
    /// Kinds that got an answer.
    answered: AtomicUsize,
    settled: Notify,
}

#[async_trait]
impl Listed for Refusing {
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

struct OfKind(RecordKind);

impl Follower for OfKind {
    fn kind(&self) -> RecordKind {
        self.0
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, _: Vec<Change>) {}

    fn currency(&self) -> Currency {
        Currency::MayBeOld
    }
}

/// Symptom: 1,700 of 6,100 priced calls of a day were refused. Sequence: the store
/// turns a third of the instances away for nine seconds. Cause: each of the four
/// followers of an instance went on trying by itself.
#[tokio::test(start_paused = true)]
async fn test_one_follower_tries_a_store_that_refuses() {
    let outage = Duration::from_secs(9);
    let store = Arc::new(Refusing {
        ends_at: tokio::time::Instant::now() + outage,
        refused: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
        settled: Notify::new(),
    });
    let state = StoreState::default();
    for kind in KINDS {
        tokio::spawn(follow(ReadOnly::new(&store), state.clone(), OfKind(kind)));
    }
    let began_at = tokio::time::Instant::now();
    store.settled.notified().await;
    let refused = store.refused.load(Ordering::SeqCst);
    assert!(refused <= 16, "{refused} calls were refused");
    // And all go on when one was answered.
    assert!(began_at.elapsed() < outage + Duration::from_secs(3));
}

/// A store that is silent for a while: what it receives then it never answers.
struct Silent {
    ends_at: tokio::time::Instant,
    calls: AtomicUsize,
    answered: AtomicUsize,
    settled: Notify,
}

/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

#[async_trait]
impl Listed for Silent {
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

/// Symptom: after all of 74 instances had been killed during an outage of the
/// store, they served nobody for 0.9 s after its end. Sequence: the store goes
/// silent, an instance starts, the store comes back. Cause: calls that the store
/// had received while it was silent were waited for to their end.
#[tokio::test(start_paused = true)]
async fn test_start_does_not_wait_for_calls_that_an_unresponsive_store_received() {
    for outage_ms in [100, 450, 900, 1_300, 1_950, 2_600] {
        let ends_at = tokio::time::Instant::now() + Duration::from_millis(outage_ms);
        let store = Arc::new(Silent {
            ends_at,
            calls: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            settled: Notify::new(),
        });
        let state = StoreState::default();
        for kind in KINDS {
            tokio::spawn(follow(ReadOnly::new(&store), state.clone(), OfKind(kind)));
        }
        store.settled.notified().await;
        let took = ends_at.elapsed();
        assert!(took <= Duration::from_millis(550), "{took:?} after {outage_ms} ms");
        let calls = store.calls.load(Ordering::SeqCst);
        assert!(calls <= 20, "{calls} calls in {outage_ms} ms");
    }
}

/// A store behind a link on which a list takes long, and the longer, the more lists
/// are under way.
struct SlowLink {
    under_way: AtomicUsize,
    lists: AtomicUsize,
    settled: Notify,
}

/// A list of a megabyte over 20 Mbit/s.
const LIST_TIME: Duration = Duration::from_millis(450);

#[async_trait]
impl Listed for SlowLink {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        self.lists.fetch_add(1, Ordering::SeqCst);
        let sharing = self.under_way.fetch_add(1, Ordering::SeqCst) + 1;
        let sharing = u32::try_from(sharing).expect("few");
        tokio::time::sleep(LIST_TIME * sharing).await;
        self.under_way.fetch_sub(1, Ordering::SeqCst);
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
        // Something changes all the time while others start.
        tokio::time::sleep(BETWEEN_CHANGES).await;
        Ok(Changes { revision: Revision::new(0, 1), changes: Vec::new() })
    }
}

/// Symptom: an instance calls for the same lists 30 times in two seconds. Sequence: it
/// starts behind a link over which a list takes longer than the time after which it
/// is called again. Cause: there was no limit to the calls under way, and each makes
/// the others slower.
#[tokio::test(start_paused = true)]
async fn test_first_listings_over_a_slow_link_are_not_requested_without_limit() {
    let store = Arc::new(SlowLink {
        under_way: AtomicUsize::new(0),
        lists: AtomicUsize::new(0),
        settled: Notify::new(),
    });
    let state = StoreState::default();
    for kind in KINDS {
        tokio::spawn(follow(ReadOnly::new(&store), state.clone(), OfKind(kind)));
    }
    let began_at = tokio::time::Instant::now();
    store.settled.notified().await;
    assert!(began_at.elapsed() < Duration::from_secs(5));
    let lists = store.lists.load(Ordering::SeqCst);
    assert!(lists <= 3 * KINDS.len(), "{lists} lists");
}

/// A store that comes back from a copy while it is watched: the history of before ends
/// at 20, the present one goes on from 10 to 30.
struct ComesBack {
    /// Era and revision of the lists, one after the other; the last one stays.
    lists: Vec<Revision>,
    listed: AtomicUsize,
    /// Answer to the first watch.
    first_watch: Revision,
    watched_from: Mutex<Vec<Revision>>,
    settled: Notify,
}

impl ComesBack {
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
impl Listed for ComesBack {
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

fn with_era(era: &Arc<StoreEra>) -> StoreState {
    StoreState { era: era.clone(), ..StoreState::default() }
}

/// Counts the changes that it is told.
struct Counting(Arc<AtomicUsize>);

impl Follower for Counting {
    fn kind(&self) -> RecordKind {
        RecordKind::Servers
    }

    fn replace(&mut self, _: Listing) {}

    fn change(&mut self, _: Revision, changes: Vec<Change>) {
        self.0.fetch_add(changes.len(), Ordering::SeqCst);
    }
}

/// Guards against changes between equal numbers of two histories that are taken for
/// changes of what is known, and against a watch that goes on in the new history.
#[tokio::test(start_paused = true)]
async fn test_records_are_listed_anew_when_a_watch_answers_of_another_era() {
    let store = ComesBack::new(&[(1, 20), (2, 25)], (2, 30));
    let told = Arc::new(AtomicUsize::new(0));
    let follower = Counting(told.clone());
    tokio::spawn(follow(ReadOnly::new(&store), StoreState::default(), follower));
    store.settled.notified().await;
    assert_eq!(told.load(Ordering::SeqCst), 0);
    let watched_from = store.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from, [Revision::new(1, 20), Revision::new(2, 25)]);
}

/// Guards against an answer that is seconds old, of before the store came back from a
/// copy, that takes the place of what is known since.
#[tokio::test(start_paused = true)]
async fn test_listing_of_an_earlier_era_than_the_latest_known_is_not_applied() {
    let store = ComesBack::new(&[(1, 20), (1, 20), (2, 25)], (2, 25));
    let era = Arc::new(StoreEra::default());
    era.note(2, "another instance");
    let follower = Counting(Arc::default());
    tokio::spawn(follow(ReadOnly::new(&store), with_era(&era), follower));
    store.settled.notified().await;
    let watched_from = store.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from[0], Revision::new(2, 25));
}

/// Guards against a watch that waits for its end, up to 15 s, while other instances
/// know that the store came back from a copy.
#[tokio::test(start_paused = true)]
async fn test_watch_ends_when_another_instance_reports_a_later_era() {
    let store = ComesBack::new(&[(1, 20), (2, 25)], (1, 20));
    let era = Arc::new(StoreEra::default());
    let follower = Counting(Arc::default());
    tokio::spawn(follow(ReadOnly::new(&store), with_era(&era), follower));
    store.settled.notified().await;
    era.note(2, "another instance");
    store.settled.notified().await;
    let watched_from = store.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from.last(), Some(&Revision::new(2, 25)));
}
