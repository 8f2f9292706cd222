//! Tracks whether the platform's store responds to this instance, and aborts
//! calls in progress that it will not answer.
//!
//! The liveness checks of [`crate::engine::store_liveness`] update this state,
//! and the watchers of [`crate::engine::record_watch`] act on it.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use tokio::sync::watch;

use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;

/// The log event of a call to the store that got no answer.
#[must_use]
pub fn unanswered_event(
    kind: RecordKind,
    call: &str,
    waited: Duration,
    reason: impl Display,
) -> Event {
    let event = Event::new(EventKind::StoreUnanswered).with("kind", kind).with("call", call);
    event.with_ms("waited_ms", waited).with("reason", reason)
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    is_unavailable: bool,
    /// How often all calls in progress were aborted.
    aborts: u64,
    /// Whether this instance needs current data, not stale answers.
    needs_current: bool,
}

/// Whether the store responds, and the revisions from which its records are watched.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    state: watch::Sender<State>,
    watched: Mutex<HashMap<RecordKind, Revision>>,
}

impl StoreAvailability {
    /// Whether the store does not respond.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.state.borrow().is_unavailable
    }

    /// How often all calls in progress were aborted.
    #[must_use]
    pub fn aborts(&self) -> u64 {
        self.state.borrow().aborts
    }

    /// Records that the store does not respond, and aborts the calls in progress.
    pub fn mark_unavailable(&self) {
        self.state.send_modify(|state| {
            state.is_unavailable = true;
            state.aborts += 1;
        });
    }

    /// Aborts the calls in progress, so that they are repeated. For a store that
    /// responds, but not to one of these calls.
    pub fn abort_calls(&self) {
        self.state.send_modify(|state| state.aborts += 1);
    }

    /// Records that the store responds again.
    pub fn mark_available(&self) {
        self.state.send_modify(|state| state.is_unavailable = false);
    }

    /// Returns when calls are aborted that began after `aborts` aborts.
    pub async fn wait_for_abort(&self, aborts: u64) {
        let mut state = self.state.subscribe();
        // Fails only after `self` was dropped, which this borrow excludes.
        let _aborted = state.wait_for(|state| state.aborts > aborts).await;
    }

    /// Records whether this instance needs current data. Returns whether that is new.
    pub fn set_needs_current(&self, needs_current: bool) -> bool {
        self.state.send_if_modified(|state| {
            std::mem::replace(&mut state.needs_current, needs_current) != needs_current
        })
    }

    /// Returns when this instance begins to need current data.
    pub async fn wait_until_current_needed(&self) {
        let mut state = self.state.subscribe();
        drop(state.wait_for(|state| !state.needs_current).await);
        drop(state.wait_for(|state| state.needs_current).await);
    }

    /// Returns when the store responds; at once if it does already.
    pub async fn wait_until_available(&self) {
        let mut state = self.state.subscribe();
        let _available = state.wait_for(|state| !state.is_unavailable).await;
    }

    /// Records that changes of `kind` are watched from `revision` on.
    pub fn note_watched_revision(&self, kind: RecordKind, revision: Revision) {
        self.watched.lock().expect("never poisoned").insert(kind, revision);
    }

    /// The revision from which changes of a kind are watched; `None` before the first
    /// watch.
    #[must_use]
    pub fn watched_revision(&self, kind: RecordKind) -> Option<Revision> {
        self.watched.lock().expect("never poisoned").get(&kind).copied()
    }
}
