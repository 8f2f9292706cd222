//! Following records of a store that forgets its history.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
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
use chervilwharf_daemon::engine::directory::WriteError;
use chervilwharf_daemon::engine::follow::Follower;
use chervilwharf_daemon::engine::follow::follow;
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
impl Directory for ForgetfulStore {
    async fn list(&self, _: RecordKind, currency: Currency) -> Result<Listing, DirectoryError> {
        if self.lists.fetch_add(1, Ordering::SeqCst) >= TOO_MANY_LISTS {
            self.settled.notify_one();
            std::future::pending::<()>().await;
        }
        let revision = if currency == Currency::Fresh { 10 } else { 1 };
        Ok(Listing { revision, ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        after: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        if after <= 5 {
            return Err(DirectoryError::HistoryGone);
        }
        self.settled.notify_one();
        std::future::pending().await
    }

    async fn get(&self, _: RecordKind, _: &str) -> Result<Option<Entry>, DirectoryError> {
        Ok(None)
    }

    async fn write(
        &self,
        _: &str,
        _: &Record,
        _: Option<Revision>,
    ) -> Result<Revision, WriteError> {
        Err(WriteError::Conflict(None))
    }

    async fn remove(&self, _: RecordKind, _: &str, _: Revision) -> Result<(), WriteError> {
        Err(WriteError::Conflict(None))
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
async fn test_forgotten_history_does_not_make_a_flood_of_lists() {
    // Symptom: 11,000 calls to the store on a day, most of them in seconds.
    // Sequence: the store forgets its history while its old answers are
    // behind; an instance that takes old answers lists again.
    // Cause: the list showed what is forgotten, so the watch failed at once,
    // and so on without a pause.
    let store = Arc::new(ForgetfulStore::default());
    let following = tokio::spawn(follow(store.clone(), Quiet));
    store.settled.notified().await;
    following.abort();
    assert_eq!(store.lists.load(Ordering::SeqCst), 2, "an old one, then a fresh one");
}
