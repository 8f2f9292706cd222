//! Under which term a request is served, and the count of those in progress.

use std::sync::Arc;

use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::instance::DatabaseState;
use chervilwharf_lib::instance::Gate;

use crate::databases::Databases;

/// Term and primary by which a request is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Serving {
    /// Our term.
    pub term: Term,
    /// The primary.
    pub primary: TargetId,
}

/// Counts a request in progress, so that a handover can wait for it.
pub struct WorkGuard {
    databases: Arc<Databases>,
    database: DatabaseId,
}

impl WorkGuard {
    /// Counts a request that begins. Called under the lock of the database,
    /// whose `state` it is.
    #[must_use]
    pub fn new(
        databases: &Arc<Databases>,
        database: &DatabaseId,
        state: &mut DatabaseState,
    ) -> Self {
        state.in_progress += 1;
        Self { databases: databases.clone(), database: database.clone() }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let is_last_before_handover = self.databases.with_database(&self.database, |state| {
            state.in_progress = state.in_progress.saturating_sub(1);
            state.gate == Gate::Closed && state.in_progress == 0
        });
        // Only a handover waits for the last request in progress.
        if is_last_before_handover == Some(true) {
            self.databases.changed.notify_waiters();
        }
    }
}
