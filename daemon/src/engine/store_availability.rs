//! Whether the platform's store answers this instance.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use tokio::sync::watch;

use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;

/// The event of a call to the store that got no answer.
#[must_use]
pub fn unanswered(kind: RecordKind, call: &str, waited: Duration, reason: impl Display) -> Event {
    let event = Event::new(EventKind::StoreUnanswered).with("kind", kind).with("call", call);
    event.with_ms("waited_ms", waited).with("reason", reason)
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    is_lost: bool,
    /// Counts the moments before which calls under way are given up.
    losses: u64,
}

/// Whether the store answers, and from where on its records are followed.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    state: watch::Sender<State>,
    followed: Mutex<HashMap<RecordKind, Revision>>,
}

impl StoreAvailability {
    /// Whether the store does not answer.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.state.borrow().is_lost
    }

    /// How often calls under way were given up.
    #[must_use]
    pub fn losses(&self) -> u64 {
        self.state.borrow().losses
    }

    /// The store does not answer: calls under way are given up.
    pub fn lose(&self) {
        self.state.send_modify(|state| {
            state.is_lost = true;
            state.losses += 1;
        });
    }

    /// The store answers, but not a call under way: all are made anew.
    pub fn renew_calls(&self) {
        self.state.send_modify(|state| state.losses += 1);
    }

    /// The store answers again.
    pub fn regain(&self) {
        self.state.send_modify(|state| state.is_lost = false);
    }

    /// Returns when calls under way since `losses` are to be given up.
    pub async fn wait_for_loss(&self, losses: u64) {
        let mut state = self.state.subscribe();
        // Fails only when this is gone, and then nobody waits.
        let _lost = state.wait_for(|state| state.losses > losses).await;
    }

    /// Returns when the store answers.
    pub async fn wait_until_regained(&self) {
        let mut state = self.state.subscribe();
        let _regained = state.wait_for(|state| !state.is_lost).await;
    }

    /// Records of a kind are watched from a revision on.
    pub fn note_followed(&self, kind: RecordKind, revision: Revision) {
        self.followed.lock().expect("never poisoned").insert(kind, revision);
    }

    /// From which revision on records of a kind are watched; `None` before the first watch.
    #[must_use]
    pub fn followed(&self, kind: RecordKind) -> Option<Revision> {
        self.followed.lock().expect("never poisoned").get(&kind).copied()
    }
}
