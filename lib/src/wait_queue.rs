//! Priority queue of the requests that wait for a connection.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::admission::Ticket;
use crate::moment::Moment;

/// Whether a waiting request can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// The request can still meet its latency objective.
    InTime,
    /// The request cannot meet its objective, but can be answered before its deadline.
    /// It gets only the connections that no request of the tier `InTime` needs. In one
    /// queue with those it would make them late too, and then all that follow.
    Late,
}

/// What the order of service depends on. The lowest rank is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the request can still meet its objective.
    pub tier: Tier,
    /// Priority of its service.
    pub priority: Priority,
    /// Time by which the request has to be answered.
    pub deadline: Moment,
}

/// Place of a request in the queue. The lowest is served first; requests of one rank
/// are served in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePlace {
    rank: Rank,
    ticket: Ticket,
}

/// Waiting requests in order of service, each with an item of the caller.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<QueuePlace, T>,
    next_ticket: Ticket,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_ticket: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request and returns its place.
    pub fn push(&mut self, rank: Rank, item: T) -> QueuePlace {
        let place = QueuePlace { rank, ticket: self.next_ticket };
        self.next_ticket += 1;
        self.waiting.insert(place, item);
        place
    }

    /// Removes a request. Returns `None` if it is no longer in the queue.
    pub fn remove(&mut self, place: QueuePlace) -> Option<T> {
        self.waiting.remove(&place)
    }

    /// The request at a place; `None` if it is no longer in the queue.
    #[must_use]
    pub fn get(&self, place: QueuePlace) -> Option<&T> {
        self.waiting.get(&place)
    }

    /// The waiting requests in order of service.
    pub fn iter(&self) -> impl Iterator<Item = (QueuePlace, &T)> {
        self.waiting.iter().map(|(place, item)| (*place, item))
    }

    /// The waiting requests that are served before a new one of this rank.
    pub fn ahead_of(&self, rank: Rank) -> impl Iterator<Item = (Rank, &T)> {
        let place = QueuePlace { rank, ticket: Ticket::MAX };
        self.waiting.range(..place).map(|(place, item)| (place.rank, item))
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
