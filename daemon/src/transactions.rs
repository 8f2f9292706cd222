//! The interactive transactions that are open at this owner, by transaction id.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::id::DatabaseId;

use crate::checkout::ConnectionGuard;
use crate::databases::Databases;
use crate::serving::Serving;
use crate::serving::WorkGuard;

/// A transaction without a statement for this long is rolled back: it occupies
/// one of few connections and holds locks that block other requests.
pub const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// An open transaction. It is rolled back when dropped.
pub struct OpenTransaction {
    /// Connection of the transaction; `None` after its end.
    pub guard: Option<ConnectionGuard>,
    /// Term and primary with which it began.
    pub serving: Serving,
    _work: WorkGuard,
    _count: TransactionCount,
}

impl OpenTransaction {
    /// Creates the record of a transaction that has begun on a connection.
    #[must_use]
    pub fn new(
        guard: ConnectionGuard,
        serving: Serving,
        work: WorkGuard,
        count: TransactionCount,
    ) -> Self {
        Self { guard: Some(guard), serving, _work: work, _count: count }
    }
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.end_transaction();
        }
    }
}

/// Guard that counts an open transaction until it is dropped, so that a handover
/// can wait for the transaction.
pub struct TransactionCount {
    databases: Arc<Databases>,
    database: DatabaseId,
}

impl TransactionCount {
    /// Counts one more open transaction of the database.
    #[must_use]
    pub fn new(databases: &Arc<Databases>, database: &DatabaseId) -> Self {
        databases.with_database(database, |state| state.open_transactions += 1);
        Self { databases: databases.clone(), database: database.clone() }
    }
}

impl Drop for TransactionCount {
    fn drop(&mut self) {
        self.databases.with_database(&self.database, |state| {
            state.open_transactions = state.open_transactions.saturating_sub(1);
        });
        self.databases.changed.notify_waiters();
    }
}

struct HeldTransaction {
    transaction: Arc<tokio::sync::Mutex<Option<OpenTransaction>>>,
    last_used_at: Instant,
    /// Link over which it came; 0 for clients that are connected to this
    /// instance.
    link: u64,
}

/// The interactive transactions that are open at this owner, by the id that the
/// entry instance chose.
#[derive(Default)]
pub struct Transactions {
    held: Mutex<HashMap<String, HeldTransaction>>,
}

/// Shared cell of a transaction; empty before its begin and after its end.
pub type TransactionCell = Arc<tokio::sync::Mutex<Option<OpenTransaction>>>;

impl Transactions {
    /// Returns the cell of a transaction, and whether it was created by this
    /// call. `link` is the link over which the request came.
    pub fn cell(&self, id: &str, link: u64) -> (TransactionCell, bool) {
        let mut held = self.held.lock().expect("never poisoned");
        let is_new = !held.contains_key(id);
        let entry = held.entry(id.to_owned()).or_insert_with(|| HeldTransaction {
            transaction: Arc::default(),
            last_used_at: Instant::now(),
            link,
        });
        entry.last_used_at = Instant::now();
        (entry.transaction.clone(), is_new)
    }

    /// Removes a transaction, which rolls it back. Does nothing if there is none
    /// with this id.
    pub fn roll_back(&self, id: &str) {
        self.held.lock().expect("never poisoned").remove(id);
    }

    /// Rolls back the transactions that came over a closed link: their clients
    /// cannot reach them any more.
    pub fn roll_back_link(&self, link: u64) {
        self.held.lock().expect("never poisoned").retain(|_, held| held.link != link);
    }

    /// Rolls back the transactions that have been idle for [`IDLE_LIMIT`].
    pub fn expire(&self, now: Instant) {
        let mut held = self.held.lock().expect("never poisoned");
        held.retain(|_, held| {
            let busy = held.transaction.try_lock().is_err();
            busy || now.saturating_duration_since(held.last_used_at) < IDLE_LIMIT
        });
    }
}
