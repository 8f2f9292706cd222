//! The order in which requests wait for a connection.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::admission::Ticket;
use crate::moment::Moment;

/// Whether a waiting request can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// It can.
    InTime,
    /// It cannot, but can be answered before its deadline. It gets only what
    /// those who can leave over: served in one line with them, it would make
    /// them late as well, and after it everybody.
    Late,
}

/// What decides when a waiting request is served; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it can meet its objective.
    pub tier: Tier,
    /// The priority of its service.
    pub priority: Priority,
    /// When its answer is due.
    pub deadline: Moment,
}

/// Place of a request in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    rank: Rank,
    ticket: Ticket,
}

/// Requests that wait, each with what it waits for.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Place, T>,
    next_ticket: Ticket,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_ticket: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request.
    pub fn push(&mut self, rank: Rank, item: T) -> Place {
        let place = Place { rank, ticket: self.next_ticket };
        self.next_ticket += 1;
        self.waiting.insert(place, item);
        place
    }

    /// Takes a request out of the queue.
    pub fn remove(&mut self, place: Place) -> Option<T> {
        self.waiting.remove(&place)
    }

    /// The request at a place, if it still waits.
    #[must_use]
    pub fn get(&self, place: Place) -> Option<&T> {
        self.waiting.get(&place)
    }

    /// Requests in the order in which they should be served.
    pub fn iter(&self) -> impl Iterator<Item = (Place, &T)> {
        self.waiting.iter().map(|(place, item)| (*place, item))
    }

    /// Requests that would be served before a new one.
    pub fn ahead_of(&self, rank: Rank) -> impl Iterator<Item = (Rank, &T)> {
        let place = Place { rank, ticket: Ticket::MAX };
        self.waiting.range(..place).map(|(place, item)| (place.rank, item))
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
