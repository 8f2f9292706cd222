//! Queue of the requests that wait for a connection, in order of service.
//!
//! The order is by tier and priority, then fair among accounts ([`crate::fair_order`]).
//! While requests of accounts wait, the lowest priority gets a small part of the
//! connections. Without accounts the order is by tier, priority, deadline and arrival.

use std::collections::BTreeMap;

use crate::admission::Priority;
use crate::admission::Ticket;
use crate::fair_order::FairIter;
use crate::fair_order::FairOrder;
use crate::fair_order::Flow;
use crate::fair_order::FlowId;
use crate::fair_order::Position;
use crate::id::AccountId;
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

/// What the order of service depends on, apart from the account. The lowest rank is served
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the request can still meet its objective.
    pub tier: Tier,
    /// Priority of its service.
    pub priority: Priority,
    /// Time by which the request has to be answered.
    pub deadline: Moment,
}

impl Rank {
    fn class(&self) -> Class {
        (self.tier, self.priority)
    }
}

/// Place of a request in the queue. Requests of one rank and account are served in order
/// of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePlace {
    rank: Rank,
    flow: FlowId,
    ticket: Ticket,
}

impl QueuePlace {
    fn position(&self) -> Position {
        Position { deadline: self.rank.deadline, ticket: self.ticket }
    }
}

/// Requests of one tier and priority.
type Class = (Tier, Priority);

/// Of this many connections granted in the tier `InTime`, one goes to the lowest priority
/// that has a waiting request of an account there. One in eight is enough that requests of
/// that priority which arrive evenly are served in turn, and costs the urgent ones less than
/// their wait varies anyway.
pub const CLASS_RELIEF: u32 = 8;

/// Counts the connections granted until the lowest priority gets one.
#[derive(Clone, Copy, Debug, Default)]
struct Relief {
    granted_to_others: u32,
}

impl Relief {
    fn is_due(self) -> bool {
        self.granted_to_others >= CLASS_RELIEF - 1
    }

    /// Counts a connection granted to a class while `lowest` was the lowest priority with a
    /// waiting request of an account. Returns whether it relieved that priority.
    fn record(&mut self, (tier, priority): Class, lowest: Option<Priority>) -> bool {
        if tier == Tier::Late {
            return false;
        }
        let was_due = self.is_due();
        if lowest.is_some_and(|lowest| priority < lowest) {
            self.granted_to_others = self.granted_to_others.saturating_add(1);
            return false;
        }
        self.granted_to_others = 0;
        was_due && lowest == Some(priority)
    }
}

/// Waiting requests in order of service, each with an item of the caller.
#[derive(Debug)]
pub struct WaitQueue<T> {
    /// Classes with waiting requests.
    classes: BTreeMap<Class, FairOrder<T>>,
    next_ticket: Ticket,
    relief: Relief,
    relieved: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { classes: BTreeMap::new(), next_ticket: 0, relief: Relief::default(), relieved: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request and returns its place.
    pub fn push(&mut self, rank: Rank, flow: &Flow, item: T) -> QueuePlace {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let position = Position { deadline: rank.deadline, ticket };
        let class = self.classes.entry(rank.class()).or_default();
        let flow = class.push(flow, position, item);
        QueuePlace { rank, flow, ticket }
    }

    /// Removes a request that gets a connection, and charges its account for it. Returns
    /// `None` if it is no longer in the queue.
    pub fn grant(&mut self, place: QueuePlace) -> Option<T> {
        let lowest = self.lowest_with_accounts();
        let class = self.classes.get_mut(&place.rank.class())?;
        let item = class.grant(place.flow, place.position())?;
        self.remove_empty(place.rank.class());
        if self.relief.record(place.rank.class(), lowest) {
            self.relieved += 1;
        }
        Some(item)
    }

    /// Removes a request that does not get a connection. Returns `None` if it is no longer
    /// in the queue.
    pub fn remove(&mut self, place: QueuePlace) -> Option<T> {
        let class = self.classes.get_mut(&place.rank.class())?;
        let item = class.remove(place.flow, place.position())?;
        self.remove_empty(place.rank.class());
        Some(item)
    }

    /// Charges an account for a request that gets a connection without waiting.
    pub fn charge(&mut self, rank: Rank, flow: &Flow) {
        self.relief.record(rank.class(), self.lowest_with_accounts());
        if let Some(waiting) = self.classes.get_mut(&rank.class()) {
            waiting.charge(flow);
        }
    }

    /// The request at a place; `None` if it is no longer in the queue.
    #[must_use]
    pub fn get(&self, place: QueuePlace) -> Option<&T> {
        self.classes.get(&place.rank.class())?.get(place.flow, place.position())
    }

    /// The waiting requests in order of service.
    pub fn iter(&self) -> impl Iterator<Item = (QueuePlace, &T)> {
        self.in_order(None).filter_map(|(place, item)| Some((place, item?)))
    }

    /// The items of the waiting requests, in no order.
    pub fn items(&self) -> impl Iterator<Item = &T> {
        self.classes.values().flat_map(FairOrder::items)
    }

    /// The items of the waiting requests with the priority of each, in no order.
    pub fn by_priority(&self) -> impl Iterator<Item = (Priority, &T)> {
        let classes = self.classes.iter();
        classes.flat_map(|((_, priority), class)| class.items().map(|item| (*priority, item)))
    }

    /// The waiting requests that are served before a new one of this rank and flow, if no
    /// others arrive.
    pub fn ahead_of(&self, rank: Rank, flow: &Flow) -> impl Iterator<Item = (Rank, &T)> {
        let until_candidate = self.in_order(Some((rank, flow)));
        until_candidate.map_while(|(place, item)| Some((place.rank, item?)))
    }

    /// The waiting requests of an account in a tier and priority.
    pub fn of_account(
        &self,
        tier: Tier,
        priority: Priority,
        account: &AccountId,
    ) -> impl Iterator<Item = &T> {
        let class = self.classes.get(&(tier, priority));
        class.into_iter().flat_map(|class| class.of_account(account))
    }

    /// Whether requests of other accounts than this one wait in a tier and priority.
    #[must_use]
    pub fn others_wait(&self, tier: Tier, priority: Priority, account: &AccountId) -> bool {
        self.classes.get(&(tier, priority)).is_some_and(|class| class.others_wait(account))
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(FairOrder::len).sum()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// Number of flows whose service is remembered, over all tiers and priorities.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.classes.values().map(FairOrder::flows).sum()
    }

    /// Number of connections that the lowest priority got before more urgent requests.
    #[must_use]
    pub fn relieved(&self) -> u64 {
        self.relieved
    }

    /// The lowest priority that has a waiting request of an account in the tier `InTime`.
    fn lowest_with_accounts(&self) -> Option<Priority> {
        let in_time = (Tier::InTime, Priority::MIN)..=(Tier::InTime, Priority::MAX);
        let mut classes = self.classes.range(in_time).rev();
        classes.find(|(_, class)| class.of_accounts() > 0).map(|((_, priority), _)| *priority)
    }

    fn remove_empty(&mut self, class: Class) {
        if self.classes.get(&class).is_some_and(|waiting| waiting.len() == 0) {
            self.classes.remove(&class);
        }
    }

    fn in_order(&self, candidate: Option<(Rank, &Flow)>) -> InOrder<'_, T> {
        let mut classes = BTreeMap::new();
        for (class, waiting) in &self.classes {
            let own = candidate.filter(|(rank, _)| rank.class() == *class);
            let own = own.map(|(rank, flow)| (flow, rank.deadline));
            let iter = waiting.in_order(own);
            let of_accounts = waiting.of_accounts() + usize::from(has_account(own));
            classes.insert(*class, ClassIter { iter, of_accounts });
        }
        if let Some((rank, flow)) = candidate {
            let own = (flow, rank.deadline);
            classes.entry(rank.class()).or_insert_with(|| ClassIter {
                iter: FairIter::with_only(own),
                of_accounts: usize::from(has_account(Some(own))),
            });
        }
        InOrder { relief: self.relief, classes }
    }
}

fn has_account(candidate: Option<(&Flow, Moment)>) -> bool {
    candidate.is_some_and(|(flow, _)| flow.account().is_some())
}

struct ClassIter<'a, T> {
    iter: FairIter<'a, T>,
    /// Requests of accounts that remain.
    of_accounts: usize,
}

/// Iterator over places in order of service. Only the candidate has no item.
struct InOrder<'a, T> {
    relief: Relief,
    classes: BTreeMap<Class, ClassIter<'a, T>>,
}

impl<'a, T> Iterator for InOrder<'a, T> {
    type Item = (QueuePlace, Option<&'a T>);

    fn next(&mut self) -> Option<Self::Item> {
        let with_accounts = self.classes.iter().rev().filter(|(_, rest)| rest.of_accounts > 0);
        let mut in_time = with_accounts.filter(|((tier, _), _)| *tier == Tier::InTime);
        let lowest = in_time.next().map(|((_, priority), _)| *priority);
        let first = *self.classes.keys().next()?;
        let class = match lowest {
            Some(lowest) if self.relief.is_due() => (Tier::InTime, lowest),
            _ => first,
        };
        let rest = self.classes.get_mut(&class)?;
        let served = rest.iter.next()?;
        rest.of_accounts -= usize::from(served.has_account);
        if rest.iter.is_empty() {
            self.classes.remove(&class);
        }
        self.relief.record(class, lowest);
        let Position { deadline, ticket } = served.position;
        let rank = Rank { tier: class.0, priority: class.1, deadline };
        Some((QueuePlace { rank, flow: served.flow, ticket }, served.item))
    }
}
