//! Idle connections to one server, and those who wait for a slot on it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::admission::Ticket;
use tokio::sync::oneshot;

use crate::postgres::ServerConnection;

/// Open connections of one server that nobody uses, and those who wait for a
/// slot on it.
#[derive(Default)]
pub struct ConnectionStore {
    pub(crate) idle: Mutex<HashMap<u64, ServerConnection>>,
    pub(crate) waiting: Mutex<HashMap<Ticket, oneshot::Sender<Turn>>>,
}

/// What becomes of a request that waited for a slot.
pub(crate) enum Turn {
    /// It may run.
    Granted,
    /// It is refused, with the time to come back.
    Refused(Duration),
}

impl ConnectionStore {
    /// Wakes those who have a slot now. Returns those who have left.
    pub(crate) fn grant(&self, tickets: Vec<Ticket>) -> Vec<Ticket> {
        let mut waiting = self.waiting.lock().expect("never poisoned");
        let mut gone = Vec::new();
        for ticket in tickets {
            let receiver = waiting.remove(&ticket);
            if receiver.is_none_or(|sender| sender.send(Turn::Granted).is_err()) {
                gone.push(ticket);
            }
        }
        gone
    }

    /// Tells those who wait that they are refused.
    pub(crate) fn refuse(&self, tickets: Vec<(Ticket, Duration)>) {
        let mut waiting = self.waiting.lock().expect("never poisoned");
        for (ticket, retry_after) in tickets {
            if let Some(sender) = waiting.remove(&ticket) {
                // A waiter that left in the meantime needs no answer.
                let _ = sender.send(Turn::Refused(retry_after));
            }
        }
    }
}
