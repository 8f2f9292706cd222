//! Records the statements that other instances have sent to this one, so that a sender
//! without an answer can find out whether its statement has arrived.
//!
//! A connection between instances can stop delivering without being reset. The sender
//! then cannot distinguish a long-running statement from one that never arrived. When
//! it asks, a statement that has not arrived is withdrawn: it does not run if it
//! arrives later, so its sender can safely send it again.

use std::collections::HashMap;
use std::time::Duration;

use crate::moment::Moment;

/// Identifies a statement among all those sent between instances.
pub type StatementTicket = u64;

/// How long the record of a statement is kept after the statement has ended.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// A statement that was sent longer ago than this is not withdrawn, since it may have
/// ended and its record may have been removed. The difference to [`ENDED_RETENTION`]
/// allows for clocks of different speed.
const MAX_WITHDRAWAL_AGE: Duration = Duration::from_secs(8);

/// How long a statement stays withdrawn. Longer than a network can delay a message and
/// still deliver it.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(60);

/// Shortest time between two removals of expired records.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ended { at: Moment },
    Withdrawn { at: Moment },
}

/// State of a statement whose sender has received no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    /// It is running, or it is unknown whether it has run.
    Unresolved,
    /// It has run, and its answer has been sent.
    Ended,
    /// It had not arrived and will not run.
    Withdrawn,
}

/// The statements that this instance has received from other instances or withdrawn.
#[derive(Clone, Debug)]
pub struct ReceivedStatements {
    /// An earlier run of this instance may have executed statements that were sent
    /// before this time.
    started_at: Moment,
    states: HashMap<StatementTicket, State>,
    purged_at: Moment,
}

impl ReceivedStatements {
    /// Creates an empty record for an instance that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        Self { started_at, states: HashMap::new(), purged_at: started_at }
    }

    /// Records that a statement has arrived. Returns whether it may run: not if it was
    /// withdrawn or has arrived before.
    pub fn begin(&mut self, now: Moment, ticket: StatementTicket) -> bool {
        self.purge_expired(now);
        if self.states.contains_key(&ticket) {
            return false;
        }
        self.states.insert(ticket, State::Running);
        true
    }

    /// Records that a statement has ended.
    pub fn end(&mut self, now: Moment, ticket: StatementTicket) {
        self.states.insert(ticket, State::Ended { at: now });
    }

    /// Returns the state of a statement whose sender has received no answer. Withdraws
    /// the statement if it has certainly not arrived. `sent_ago` is the time since it
    /// was sent.
    pub fn withdraw(
        &mut self,
        now: Moment,
        ticket: StatementTicket,
        sent_ago: Duration,
    ) -> DeliveryState {
        match self.states.get(&ticket) {
            Some(State::Withdrawn { .. }) => DeliveryState::Withdrawn,
            Some(State::Running) => DeliveryState::Unresolved,
            Some(State::Ended { .. }) => DeliveryState::Ended,
            None if sent_ago > MAX_WITHDRAWAL_AGE || self.started_at + sent_ago > now => {
                DeliveryState::Unresolved
            }
            None => {
                self.states.insert(ticket, State::Withdrawn { at: now });
                DeliveryState::Withdrawn
            }
        }
    }

    fn purge_expired(&mut self, now: Moment) {
        if self.purged_at + PURGE_INTERVAL > now {
            return;
        }
        self.purged_at = now;
        self.states.retain(|_, state| match state {
            State::Running => true,
            State::Ended { at } => *at + ENDED_RETENTION > now,
            State::Withdrawn { at } => *at + WITHDRAWN_RETENTION > now,
        });
    }
}
