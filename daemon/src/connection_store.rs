//! The idle connections to one server, and the requests that wait for an
//! execution slot there.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::admission::Ticket;
use tokio::sync::oneshot;

use crate::postgres::ServerConnection;

/// The idle connections to one server by connection id, and the requests that
/// wait for an execution slot there by ticket.
#[derive(Default)]
pub struct ConnectionStore {
    pub(crate) idle: Mutex<HashMap<u64, ServerConnection>>,
    pub(crate) waiting: Mutex<HashMap<Ticket, oneshot::Sender<SlotDecision>>>,
}

/// Decision about a request that waits for a slot.
pub(crate) enum SlotDecision {
    /// The request has a slot now.
    Granted,
    /// The request is refused and may be retried after this time.
    Refused(Duration),
}

impl ConnectionStore {
    /// Wakes the waiters of these tickets. Returns the tickets whose waiters have
    /// left the queue.
    pub(crate) fn grant(&self, tickets: Vec<Ticket>) -> Vec<Ticket> {
        let mut waiting = self.waiting.lock().expect("never poisoned");
        let mut abandoned = Vec::new();
        for ticket in tickets {
            let receiver = waiting.remove(&ticket);
            if receiver.is_none_or(|sender| sender.send(SlotDecision::Granted).is_err()) {
                abandoned.push(ticket);
            }
        }
        abandoned
    }

    /// Refuses the waiters of these tickets.
    pub(crate) fn refuse(&self, tickets: Vec<(Ticket, Duration)>) {
        let mut waiting = self.waiting.lock().expect("never poisoned");
        for (ticket, retry_after) in tickets {
            if let Some(sender) = waiting.remove(&ticket) {
                // Sending fails if the waiter has left, which needs no action.
                let _ = sender.send(SlotDecision::Refused(retry_after));
            }
        }
    }
}
