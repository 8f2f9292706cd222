//! Limits the retries to a store that refuses the calls of this instance: one
//! watcher retries, and the others wait until it succeeds.
//!
//! Refused calls cost the full price. If each of the four watchers retried, the
//! refused calls of a few seconds could be a large part of all calls of a day.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;

use crate::engine::directory::RecordKind;

/// How long a watcher waits for the retries of another one before it makes a call
/// itself. The other one may fail for a reason that concerns only its own kind of records.
const OTHER_RETRY_WAIT: Duration = Duration::from_secs(5);

/// Decides which watcher retries calls to a store that fails.
#[derive(Default)]
pub struct StoreGate {
    /// The kind whose watcher retries; `None` while no call fails.
    retrying: Mutex<Option<RecordKind>>,
    /// Notified at every answer of the store.
    answer_received: Notify,
}

impl StoreGate {
    /// Waits after a failed call for `kind` until the next one is due. That is when the
    /// store answers a call, at the latest after `pause` for the watcher that retries, and
    /// after `OTHER_RETRY_WAIT` for the others.
    ///
    /// The watcher that retries does not wait for the end of its pause: an instance that starts
    /// during an outage would have its configuration, but no list of instances until then.
    pub async fn wait(&self, kind: RecordKind, pause: Duration) {
        // Registers before it determines which watcher retries, so that it misses no
        // answer.
        let mut answer_received = std::pin::pin!(self.answer_received.notified());
        answer_received.as_mut().enable();
        let longest = if self.becomes_retrying(kind) { pause } else { OTHER_RETRY_WAIT };
        // The next call is due after an answer as well as after the timeout.
        let _waited = tokio::time::timeout(longest, answer_received).await;
    }

    /// Makes the watcher of a kind the one that retries, unless another one does.
    /// Returns whether it is the one.
    fn becomes_retrying(&self, kind: RecordKind) -> bool {
        let mut retrying = self.retrying.lock().expect("never poisoned");
        *retrying.get_or_insert(kind) == kind
    }

    /// Waits for the next answer of the store to any call, and for `pause` after it.
    pub async fn wait_for_answer(&self, pause: Duration) {
        self.answer_received.notified().await;
        tokio::time::sleep(pause).await;
    }

    /// Records that the store answered a call, which ends the wait of all watchers.
    pub fn answered(&self) {
        *self.retrying.lock().expect("never poisoned") = None;
        self.answer_received.notify_waiters();
    }
}
