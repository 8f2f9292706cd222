//! The term and primary under which the owner of a database serves a request, and
//! the count of requests in progress.
//!
//! A term is a number that rises with each change of the owner or the primary of a
//! database.

use std::sync::Arc;

use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::instance::DatabaseState;
use chervilwharf_lib::instance::Gate;

use crate::databases::Databases;

/// Term and primary under which a request is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Serving {
    /// Term in which this instance serves the database.
    pub term: Term,
    /// Primary of the database in this term.
    pub primary: TargetId,
}

/// Counts a request as in progress, so that a handover or the planned replacement
/// of a primary waits for it.
pub struct WorkGuard {
    databases: Arc<Databases>,
    database: DatabaseId,
}

impl WorkGuard {
    /// Counts a request that begins. The caller holds the lock of the database
    /// that `state` belongs to.
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
        let is_last_at_closed_gate = self.databases.with_database(&self.database, |state| {
            state.in_progress = state.in_progress.saturating_sub(1);
            state.gate == Gate::Closed && state.in_progress == 0
        });
        // Nothing waits for the end of the last request while the gate is open.
        if is_last_at_closed_gate == Some(true) {
            self.databases.changed.notify_waiters();
        }
    }
}
