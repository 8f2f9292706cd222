//! Which statements of other instances have arrived here, so that one who gets no
//! answer can learn whether its statement did.
//!
//! A link between instances can go silent without a reset. Its end then knows neither
//! whether a statement that takes long is under way, nor whether it ever arrived. One
//! that has not is withdrawn here: it will not run if it comes after all, and its
//! sender may send it again.

use std::collections::HashMap;
use std::time::Duration;

use crate::moment::Moment;

/// Tells one statement from all others.
pub type StatementTicket = u64;

/// How long a statement is remembered after it ended.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// A statement that was sent longer ago than this is not withdrawn: it may have ended
/// and been forgotten. Beside what is remembered it leaves room for clocks that differ.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(8);

/// How long a statement stays withdrawn: beyond the time in which a network can deliver
/// what it held up.
const WITHDRAWN_FOR: Duration = Duration::from_secs(60);

/// Time between two looks for what can be forgotten.
const TIDIED_EVERY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    UnderWay,
    Ended { at: Moment },
    Withdrawn { at: Moment },
}

/// What became of a statement whose sender got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is under way, or nothing can be known of it.
    Open,
    /// It ran, and its answer was sent.
    Ended,
    /// It has not arrived, and will not run.
    Withdrawn,
}

/// What became of statements of other instances.
#[derive(Clone, Debug)]
pub struct ReceivedStatements {
    /// Before that an earlier life of this instance may have run statements.
    began_at: Moment,
    states: HashMap<StatementTicket, State>,
    tidied_at: Moment,
}

impl ReceivedStatements {
    /// Nothing has arrived since this instance began to run.
    #[must_use]
    pub fn new(began_at: Moment) -> Self {
        Self { began_at, states: HashMap::new(), tidied_at: began_at }
    }

    /// A statement arrived. Returns whether it may run.
    pub fn begin(&mut self, now: Moment, ticket: StatementTicket) -> bool {
        self.tidy(now);
        if self.states.contains_key(&ticket) {
            return false;
        }
        self.states.insert(ticket, State::UnderWay);
        true
    }

    /// A statement ended.
    pub fn end(&mut self, now: Moment, ticket: StatementTicket) {
        self.states.insert(ticket, State::Ended { at: now });
    }

    /// The sender of a statement got no answer. One that has not arrived is withdrawn.
    pub fn withdraw(&mut self, now: Moment, ticket: StatementTicket, sent_ago: Duration) -> Fate {
        match self.states.get(&ticket) {
            Some(State::Withdrawn { .. }) => Fate::Withdrawn,
            Some(State::UnderWay) => Fate::Open,
            Some(State::Ended { .. }) => Fate::Ended,
            None if sent_ago > WITHDRAWN_WITHIN || self.began_at + sent_ago > now => Fate::Open,
            None => {
                self.states.insert(ticket, State::Withdrawn { at: now });
                Fate::Withdrawn
            }
        }
    }

    fn tidy(&mut self, now: Moment) {
        if self.tidied_at + TIDIED_EVERY > now {
            return;
        }
        self.tidied_at = now;
        self.states.retain(|_, state| match state {
            State::UnderWay => true,
            State::Ended { at } => *at + REMEMBERED_FOR > now,
            State::Withdrawn { at } => *at + WITHDRAWN_FOR > now,
        });
    }
}
