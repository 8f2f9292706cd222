//! The order in which requests wait for a connection.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::admission::Ticket;
use crate::moment::Moment;

/// Place of a request in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: Priority,
    deadline: Moment,
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
    pub fn push(&mut self, priority: Priority, deadline: Moment, item: T) -> Place {
        let place = Place { priority, deadline, ticket: self.next_ticket };
        self.next_ticket += 1;
        self.waiting.insert(place, item);
        place
    }

    /// Takes a request out of the queue.
    pub fn remove(&mut self, place: Place) -> Option<T> {
        self.waiting.remove(&place)
    }

    /// Requests in the order in which they should be served.
    pub fn iter(&self) -> impl Iterator<Item = (Place, &T)> {
        self.waiting.iter().map(|(place, item)| (*place, item))
    }

    /// Requests that would be served before a new one.
    pub fn ahead_of(&self, priority: Priority, deadline: Moment) -> impl Iterator<Item = &T> {
        let place = Place { priority, deadline, ticket: Ticket::MAX };
        self.waiting.range(..place).map(|(_, item)| item)
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
