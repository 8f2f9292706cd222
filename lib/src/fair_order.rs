//! Fair order of service among the accounts whose requests wait for connections.
//!
//! Start-time fair queueing: each flow, the waiting requests of one account, has a virtual
//! time up to which it has been served. A served request advances it by the cost of the
//! request, which is inversely proportional to the weight of the account. The flow with the
//! lowest virtual time is next. Without accounts there is a single flow, and the order is by
//! deadline and arrival.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::btree_map;
use std::iter::Peekable;
use std::time::Duration;

use crate::account::QuotaLimit;
use crate::admission::Ticket;
use crate::id::AccountId;
use crate::moment::Moment;

/// Requests that a flow may have served in a row before the next flow.
///
/// Opening a connection takes a slot of the server for 12 ms, so one that was opened for an
/// account should serve several of its requests. A light account also sends a few requests
/// together and then none for a while; with one at a time, the second would wait behind
/// dozens of a heavy account. In a replay of 76 accounts, the worst tenth of the light ones
/// was served 0.70 of its requests with one in a row, 0.84 with two, and 0.96 with four.
pub const TURN_LENGTH: u32 = 4;

/// Requests by which a flow may lag behind the virtual time. A flow whose connections are
/// all in use is passed over and lags. Without this limit it would later be served alone
/// until it has caught up.
const MAX_LAG: u64 = 4;

/// Flows without waiting requests that are remembered. With more of them, the virtual time
/// passes those that have been served least. Otherwise it would stand still while requests of
/// ever new accounts arrive, and flows that have been served would wait.
const MAX_IDLE_FLOWS: usize = 256;

/// Weight of an account without a limit.
const UNLIMITED_WEIGHT: f64 = 1.0;

/// Cost of a request of an account with weight 1.
const UNIT_COST: f64 = 1.0e9;

/// Bounds of weights. Virtual times then last for more than 10^7 requests of the lightest
/// flow before they overflow.
const MIN_WEIGHT: f64 = 1.0e-3;
const MAX_WEIGHT: f64 = 1.0e6;

/// Service that a flow has received, in units of cost.
type VirtualTime = u64;

/// Identifies a flow within one fair order.
pub(crate) type FlowId = u64;

/// The account that a request counts for, and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    account: Option<AccountId>,
    weight: f64,
}

impl Default for Flow {
    fn default() -> Self {
        Self { account: None, weight: UNLIMITED_WEIGHT }
    }
}

impl Flow {
    /// The flow of an account whose limit in force is `limit`.
    #[must_use]
    pub fn of(account: Option<AccountId>, limit: Option<QuotaLimit>) -> Self {
        let rate = limit.map(|limit| limit.rate_per_s).filter(|rate| rate.is_finite());
        Self { account, weight: rate.unwrap_or(UNLIMITED_WEIGHT) }
    }

    /// The flow of an account with this weight.
    #[must_use]
    pub fn with_weight(account: AccountId, weight: f64) -> Self {
        Self { account: Some(account), weight }
    }

    /// The account; `None` for requests without an account.
    #[must_use]
    pub fn account(&self) -> Option<&AccountId> {
        self.account.as_ref()
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive and bounded, since the weight is clamped"
    )]
    fn cost(&self) -> VirtualTime {
        (UNIT_COST / self.weight.clamp(MIN_WEIGHT, MAX_WEIGHT)) as VirtualTime
    }
}

/// Place of a request within its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) deadline: Moment,
    pub(crate) ticket: Ticket,
}

/// Order among flows. The lowest is next; of equal ones, the one that is known for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    start: VirtualTime,
    flow: FlowId,
}

/// Service that a flow has received.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Virtual time up to which it has been served.
    served_to: VirtualTime,
    /// The same at the start of its present turn, which determines the order.
    turn_start: VirtualTime,
    served_in_turn: u32,
}

impl Progress {
    fn begin_turn(&mut self, earliest: VirtualTime) {
        self.served_to = self.served_to.max(earliest);
        self.turn_start = self.served_to;
        self.served_in_turn = 0;
    }

    /// Records a served request and returns the new virtual time.
    fn serve(&mut self, cost: VirtualTime, virtual_time: VirtualTime) -> VirtualTime {
        let virtual_time = virtual_time.max(self.turn_start);
        let least = virtual_time.saturating_sub(cost.saturating_mul(MAX_LAG));
        self.served_to = self.served_to.saturating_add(cost).max(least);
        self.served_in_turn += 1;
        if self.served_in_turn >= TURN_LENGTH {
            self.begin_turn(0);
        }
        virtual_time
    }
}

#[derive(Clone, Debug)]
struct Entry<T> {
    cost: VirtualTime,
    item: T,
}

#[derive(Clone, Debug)]
struct FlowQueue<T> {
    account: Option<AccountId>,
    progress: Progress,
    waiting: BTreeMap<Position, Entry<T>>,
}

/// Waiting requests of one tier and priority in fair order among accounts, each with an item
/// of the caller. Adding and removing a request costs O(log n).
#[derive(Clone, Debug)]
pub(crate) struct FairOrder<T> {
    /// Highest turn of all that were served. Flows that begin to wait start here.
    virtual_time: VirtualTime,
    flows: HashMap<FlowId, FlowQueue<T>>,
    ids: HashMap<Option<AccountId>, FlowId>,
    /// Flows with waiting requests.
    turns: BTreeSet<Turn>,
    /// Flows without waiting requests that have been served beyond the virtual time.
    idle: BTreeSet<Turn>,
    next_flow: FlowId,
    len: usize,
    len_without_account: usize,
}

impl<T> Default for FairOrder<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            flows: HashMap::new(),
            ids: HashMap::new(),
            turns: BTreeSet::new(),
            idle: BTreeSet::new(),
            next_flow: 0,
            len: 0,
            len_without_account: 0,
        }
    }
}

impl<T> FairOrder<T> {
    /// Adds a request and returns the id of its flow.
    pub(crate) fn push(&mut self, flow: &Flow, position: Position, item: T) -> FlowId {
        let id = self.flow_id(flow);
        self.len += 1;
        self.len_without_account += usize::from(flow.account.is_none());
        let Some(queue) = self.flows.get_mut(&id) else {
            return id;
        };
        if queue.waiting.is_empty() {
            self.idle.remove(&Turn { start: queue.progress.served_to, flow: id });
            queue.progress.begin_turn(self.virtual_time);
            self.turns.insert(Turn { start: queue.progress.turn_start, flow: id });
        }
        queue.waiting.insert(position, Entry { cost: flow.cost(), item });
        id
    }

    /// Removes a request that has got a connection.
    pub(crate) fn grant(&mut self, id: FlowId, position: Position) -> Option<T> {
        self.take(id, position, true)
    }

    /// Removes a request that was not served. Its flow is not charged for it.
    pub(crate) fn remove(&mut self, id: FlowId, position: Position) -> Option<T> {
        self.take(id, position, false)
    }

    fn take(&mut self, id: FlowId, position: Position, served: bool) -> Option<T> {
        let queue = self.flows.get_mut(&id)?;
        let entry = queue.waiting.remove(&position)?;
        self.len -= 1;
        self.len_without_account -= usize::from(queue.account.is_none());
        self.turns.remove(&Turn { start: queue.progress.turn_start, flow: id });
        if served {
            self.virtual_time = queue.progress.serve(entry.cost, self.virtual_time);
        }
        if queue.waiting.is_empty() {
            self.idle.insert(Turn { start: queue.progress.served_to, flow: id });
        } else {
            self.turns.insert(Turn { start: queue.progress.turn_start, flow: id });
        }
        self.remove_passed();
        Some(entry.item)
    }

    /// Charges a flow for a request that was served without waiting, while others wait.
    pub(crate) fn charge(&mut self, flow: &Flow) {
        let id = self.flow_id(flow);
        let Some(queue) = self.flows.get_mut(&id) else {
            return;
        };
        let progress = &mut queue.progress;
        if queue.waiting.is_empty() {
            self.idle.remove(&Turn { start: progress.served_to, flow: id });
            progress.begin_turn(self.virtual_time);
            // The virtual time stays, since it was not this flow's turn.
            progress.serve(flow.cost(), self.virtual_time);
            self.idle.insert(Turn { start: progress.served_to, flow: id });
        } else {
            self.turns.remove(&Turn { start: progress.turn_start, flow: id });
            progress.serve(flow.cost(), self.virtual_time);
            self.turns.insert(Turn { start: progress.turn_start, flow: id });
        }
    }

    /// The item of a request; `None` if it no longer waits.
    pub(crate) fn get(&self, id: FlowId, position: Position) -> Option<&T> {
        self.flows.get(&id)?.waiting.get(&position).map(|entry| &entry.item)
    }

    /// The waiting requests of an account.
    pub(crate) fn of_account(&self, account: &AccountId) -> impl Iterator<Item = &T> {
        let id = self.ids.get(&Some(account.clone()));
        let queue = id.and_then(|id| self.flows.get(id));
        queue.into_iter().flat_map(|queue| queue.waiting.values().map(|entry| &entry.item))
    }

    /// The items of all waiting requests, in no order.
    pub(crate) fn items(&self) -> impl Iterator<Item = &T> {
        let queues = self.turns.iter().filter_map(|turn| self.flows.get(&turn.flow));
        queues.flat_map(|queue| queue.waiting.values().map(|entry| &entry.item))
    }

    /// Whether requests of an account other than this one wait.
    pub(crate) fn others_wait(&self, account: &AccountId) -> bool {
        self.of_accounts() > self.of_account(account).count()
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting requests that have an account.
    pub(crate) fn of_accounts(&self) -> usize {
        self.len - self.len_without_account
    }

    /// Number of flows in memory.
    pub(crate) fn flows(&self) -> usize {
        self.flows.len()
    }

    /// The requests in the order in which they are served if no others arrive, with a
    /// `candidate` that does not wait yet.
    pub(crate) fn in_order(&self, candidate: Option<(&Flow, Moment)>) -> FairIter<'_, T> {
        let cursors = self.turns.iter().filter_map(|turn| {
            let queue = self.flows.get(&turn.flow)?;
            let cursor = Cursor {
                account: queue.account.is_some(),
                progress: queue.progress,
                candidate: None,
                waiting: queue.waiting.iter().peekable(),
            };
            Some((turn.flow, cursor))
        });
        let mut iter = FairIter {
            virtual_time: self.virtual_time,
            turns: self.turns.clone(),
            cursors: cursors.collect(),
        };
        if let Some((flow, deadline)) = candidate {
            let known = self.ids.get(&flow.account).copied();
            let id = known.unwrap_or(self.next_flow);
            let cursor = iter.cursors.entry(id).or_insert_with(|| {
                let known = self.flows.get(&id);
                let mut progress = known.map_or_else(Progress::default, |queue| queue.progress);
                progress.begin_turn(self.virtual_time);
                iter.turns.insert(Turn { start: progress.turn_start, flow: id });
                let waiting = btree_map::Iter::default().peekable();
                Cursor { account: flow.account.is_some(), progress, candidate: None, waiting }
            });
            cursor.candidate = Some(Position { deadline, ticket: Ticket::MAX });
        }
        iter
    }

    fn flow_id(&mut self, flow: &Flow) -> FlowId {
        let account = &flow.account;
        if let Some(id) = self.ids.get(account) {
            return *id;
        }
        let id = self.next_flow;
        self.next_flow += 1;
        self.ids.insert(account.clone(), id);
        let progress = Progress { served_to: self.virtual_time, ..Progress::default() };
        let queue = FlowQueue { account: account.clone(), progress, waiting: BTreeMap::new() };
        self.flows.insert(id, queue);
        id
    }

    /// Removes the idle flows that the virtual time has passed: they would start at the
    /// virtual time, like a new one.
    fn remove_passed(&mut self) {
        if self.idle.len() > MAX_IDLE_FLOWS {
            let lowest = self.idle.first().map_or(0, |turn| turn.start);
            self.virtual_time = self.virtual_time.max(lowest);
        }
        while let Some(turn) = self.idle.first().copied() {
            if turn.start > self.virtual_time {
                return;
            }
            self.idle.remove(&turn);
            if let Some(queue) = self.flows.remove(&turn.flow) {
                self.ids.remove(&queue.account);
            }
        }
    }
}

struct Cursor<'a, T> {
    account: bool,
    progress: Progress,
    candidate: Option<Position>,
    waiting: Peekable<btree_map::Iter<'a, Position, Entry<T>>>,
}

/// A request in the order of service.
pub(crate) struct Served<'a, T> {
    pub(crate) flow: FlowId,
    pub(crate) position: Position,
    pub(crate) has_account: bool,
    /// `None` for the candidate.
    pub(crate) item: Option<&'a T>,
}

/// Iterator over waiting requests in the order of service.
pub(crate) struct FairIter<'a, T> {
    virtual_time: VirtualTime,
    turns: BTreeSet<Turn>,
    cursors: HashMap<FlowId, Cursor<'a, T>>,
}

impl<T> FairIter<'_, T> {
    /// The order of a candidate alone.
    pub(crate) fn with_only((flow, deadline): (&Flow, Moment)) -> Self {
        let id = FlowId::default();
        let cursor = Cursor {
            account: flow.account.is_some(),
            progress: Progress::default(),
            candidate: Some(Position { deadline, ticket: Ticket::MAX }),
            waiting: btree_map::Iter::default().peekable(),
        };
        let turns = BTreeSet::from([Turn { start: 0, flow: id }]);
        Self { virtual_time: 0, turns, cursors: HashMap::from([(id, cursor)]) }
    }

    /// Whether no request remains.
    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

impl<'a, T> Iterator for FairIter<'a, T> {
    type Item = Served<'a, T>;

    fn next(&mut self) -> Option<Self::Item> {
        let flow = self.turns.pop_first()?.flow;
        let cursor = self.cursors.get_mut(&flow)?;
        let next = cursor.waiting.peek().map(|(position, _)| **position);
        let has_account = cursor.account;
        let candidate = cursor.candidate.filter(|own| next.is_none_or(|next| *own < next));
        let served = if let Some(position) = candidate {
            cursor.candidate = None;
            Served { flow, position, has_account, item: None }
        } else {
            let (position, entry) = cursor.waiting.next()?;
            self.virtual_time = cursor.progress.serve(entry.cost, self.virtual_time);
            Served { flow, position: *position, has_account, item: Some(&entry.item) }
        };
        if cursor.candidate.is_some() || cursor.waiting.peek().is_some() {
            self.turns.insert(Turn { start: cursor.progress.turn_start, flow });
        }
        Some(served)
    }
}

/// Text of the refusal of a request beyond the waiting places of its account.
pub const PLACES_TEXT: &str = "the account's requests take half of the waiting places";

/// Waiting requests of one account in one tier and priority, for the limit on its places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountBacklog {
    /// Waiting requests of the account.
    pub own: usize,
    /// Whether requests of other accounts wait.
    pub others_wait: bool,
    /// Expected wait of one more request of the account, after all of these.
    pub expected_wait: Duration,
    /// Present wait for each place in the queue.
    pub wait_per_place: Duration,
    /// Longest useful wait.
    pub max_wait: Duration,
}

impl AccountBacklog {
    /// If one more request would take more than half of the waiting places, the time
    /// after which the present ones of the account have been served.
    ///
    /// The places are as many as can be served within the longest useful wait. At least one
    /// belongs to each account.
    #[must_use]
    pub fn refuse_after(&self) -> Option<Duration> {
        if !self.others_wait || self.own == 0 || self.wait_per_place.is_zero() {
            return None;
        }
        let places = self.max_wait.as_nanos() / self.wait_per_place.as_nanos();
        (self.own as u128 >= (places / 2).max(1)).then_some(self.expected_wait)
    }
}
