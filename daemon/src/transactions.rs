//! Interactive transactions that this owner holds.

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

/// A transaction without a statement for this long is rolled back: it holds
/// a scarce connection, and locks that block others.
pub const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// An open transaction. Dropping it rolls back.
pub struct OpenTransaction {
    /// Its connection, until it ends.
    pub guard: Option<ConnectionGuard>,
    /// Under which term it began.
    pub serving: Serving,
    _work: WorkGuard,
    _count: TransactionCount,
}

impl OpenTransaction {
    /// A transaction that has begun on a connection.
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

/// Counts an open transaction, so that a handover can wait for it.
pub struct TransactionCount {
    databases: Arc<Databases>,
    database: DatabaseId,
}

impl TransactionCount {
    /// Counts a transaction that begins.
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

struct Held {
    transaction: Arc<tokio::sync::Mutex<Option<OpenTransaction>>>,
    last_used_at: Instant,
    /// Link it came over; 0 for callers of this instance.
    link: u64,
}

/// Interactive transactions held by this owner, by the id their entry chose.
#[derive(Default)]
pub struct Transactions {
    held: Mutex<HashMap<String, Held>>,
}

/// Place of a transaction; empty before it began and after it ended.
pub type Slot = Arc<tokio::sync::Mutex<Option<OpenTransaction>>>;

impl Transactions {
    /// The place of a transaction, and whether it is new.
    pub fn slot(&self, id: &str, link: u64) -> (Slot, bool) {
        let mut held = self.held.lock().expect("never poisoned");
        let is_new = !held.contains_key(id);
        let entry = held.entry(id.to_owned()).or_insert_with(|| Held {
            transaction: Arc::default(),
            last_used_at: Instant::now(),
            link,
        });
        entry.last_used_at = Instant::now();
        (entry.transaction.clone(), is_new)
    }

    /// Ends a transaction without a trace.
    pub fn roll_back(&self, id: &str) {
        self.held.lock().expect("never poisoned").remove(id);
    }

    /// Ends the transactions that came over a link that is gone: their
    /// callers cannot reach them any more.
    pub fn roll_back_link(&self, link: u64) {
        self.held.lock().expect("never poisoned").retain(|_, held| held.link != link);
    }

    /// Ends the transactions that were idle for too long.
    pub fn expire(&self, now: Instant) {
        let mut held = self.held.lock().expect("never poisoned");
        held.retain(|_, held| {
            let busy = held.transaction.try_lock().is_err();
            busy || now.saturating_duration_since(held.last_used_at) < IDLE_LIMIT
        });
    }
}
