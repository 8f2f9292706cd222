//! Chooses the server that a request gets a connection to.

use crate::concurrency::ConcurrencyLimit;
use crate::group::Group;
use crate::id::AccountId;
use crate::id::TargetId;
use crate::moment::Moment;
use crate::position::Position;
use crate::wait_estimator::WaitClass;

/// Which servers can serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// Only the primary.
    Leader,
    /// Any server that has applied the log up to `floor`.
    Reader {
        /// Lowest log position that the read has to see.
        floor: Position,
        /// A server that has just failed this request. It is chosen only if no other
        /// server can serve the request now.
        failed_server: Option<TargetId>,
    },
    /// Only this server, to query its state.
    Server(TargetId),
}

impl Need {
    /// The class of requests that this one waits with.
    #[must_use]
    pub fn class(&self) -> WaitClass {
        match self {
            Self::Leader => WaitClass::Leader,
            Self::Reader { .. } => WaitClass::Reader,
            Self::Server(_) => WaitClass::Server,
        }
    }

    /// Whether the server `id` can serve the request.
    #[must_use]
    pub fn accepts(&self, group: &Group, now: Moment, id: &TargetId) -> bool {
        match self {
            Self::Leader => group.leads(id),
            Self::Reader { floor, .. } => group.can_read(now, id, *floor),
            Self::Server(wanted) => wanted == id,
        }
    }
}

/// Which accounts' connections can serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionOwner {
    /// Those of any account, for a request that runs no statement of a client.
    AnyAccount,
    /// Those of this account; `None` where clients have no accounts. A server executes
    /// all statements on a connection on behalf of the account that it was opened for.
    Account(Option<AccountId>),
}

impl ConnectionOwner {
    /// Whether a connection of this account can serve the request.
    #[must_use]
    pub fn accepts(&self, account: Option<&AccountId>) -> bool {
        match self {
            Self::AnyAccount => true,
            Self::Account(wanted) => wanted.as_ref() == account,
        }
    }

    /// The account that a new connection for the request is opened for.
    #[must_use]
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            Self::AnyAccount => None,
            Self::Account(account) => account.as_ref(),
        }
    }
}

/// The connections to one server as seen by one request, whose account decides which
/// of them it can use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolView {
    /// Open connections, including idle ones.
    pub open: usize,
    /// Idle connections of the request's account.
    pub idle: usize,
    /// Idle connections of other accounts if one of them may be closed to make room for
    /// a connection of the request's account, otherwise zero.
    pub replaceable: usize,
    /// Connections that are open or being opened for the request's account.
    pub own: usize,
    /// Connections being opened.
    pub opening: usize,
    /// Whether a read waits for a connection of its account to a replica, instead of
    /// having one to the primary opened.
    pub waits_for_own: bool,
    /// Slots of the server that connections being opened can take.
    pub taking_slots: usize,
    /// Highest number of open connections.
    pub budget: usize,
    /// No connection is opened before this time.
    pub blocked_until: Moment,
    /// Limit on the number of statements at the server at once.
    pub limit: ConcurrencyLimit,
}

/// Connections to one server that may be opened at the same time. Each takes a slot for
/// 12 to 27 ms; two of them leave one of three slots for statements.
const MAX_OPENING: usize = 2;

/// Connections to the primary that reads leave free while replicas can serve them,
/// because only the primary can serve writes.
const LEADER_RESERVE: usize = 2;

impl PoolView {
    fn has_room(&self) -> bool {
        self.open + self.opening < self.budget
    }

    fn opens_more(&self, now: Moment) -> bool {
        self.opening < MAX_OPENING && self.blocked_until <= now
    }

    fn may_open(&self, now: Moment) -> bool {
        self.has_room() && self.opens_more(now)
    }

    /// Whether a connection of another account may be closed for one of the request's
    /// account. An account that has a connection waits for it instead: a statement on it
    /// takes about as long as opening a new connection, which takes a slot too.
    fn may_replace(&self, now: Moment) -> bool {
        self.replaceable > 0 && self.own == 0 && self.budget > 0 && self.opens_more(now)
    }

    /// Number of connections that are idle, can be replaced or can be opened.
    fn free(&self) -> usize {
        let unopened = self.budget.saturating_sub(self.open + self.opening);
        self.idle + self.replaceable + unopened
    }
}

/// How a request gets a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It takes an idle connection to this server.
    Idle(TargetId),
    /// A new connection to this server is opened for it.
    Open(TargetId),
    /// An idle connection of another account to this server is closed, and a new one is
    /// opened for the request.
    Replace(TargetId),
    /// It waits until a connection is free.
    Wait,
}

/// Chooses a server for a request. `pool_of` returns the connections to a server.
pub fn choose(
    group: &Group,
    now: Moment,
    need: &Need,
    pool_of: impl Fn(&TargetId) -> PoolView,
) -> Choice {
    match need {
        Need::Leader => match group.usable_leader(now) {
            Some(leader) => choose_among(group, now, std::slice::from_ref(&leader.id), &pool_of),
            None => Choice::Wait,
        },
        Need::Server(id) => choose_among(group, now, std::slice::from_ref(id), &pool_of),
        Need::Reader { floor, failed_server } => {
            choose_reader(group, now, *floor, failed_server.as_ref(), &pool_of)
        }
    }
}

fn choose_reader(
    group: &Group,
    now: Moment,
    floor: Position,
    failed_server: Option<&TargetId>,
    pool_of: &impl Fn(&TargetId) -> PoolView,
) -> Choice {
    let eligible = group.readers(now, floor);
    let preferred = |id: &TargetId| {
        let avoided = group.server(id).is_none_or(|view| view.is_avoided(now));
        !avoided && failed_server != Some(id)
    };
    let (preferred, fallback): (Vec<_>, Vec<_>) = eligible.into_iter().partition(preferred);
    let (leader, replicas): (Vec<_>, Vec<_>) =
        preferred.into_iter().partition(|id| group.leads(id));
    let choice = choose_among(group, now, &replicas, pool_of);
    if choice != Choice::Wait {
        return choice;
    }
    let has_spare = |id: &TargetId| replicas.is_empty() || pool_of(id).free() > LEADER_RESERVE;
    // The connections to the primary are the scarcest, since writes can use no others. A
    // read of an account that has a connection to a replica gets none of them opened: it
    // would close that of another account, and a statement takes less time than an opening.
    let waits_for_own = |id: &TargetId| {
        let pool = pool_of(id);
        pool.waits_for_own && pool.own > 0
    };
    let has_idle = |id: &TargetId| pool_of(id).idle > 0;
    if replicas.iter().any(waits_for_own) && !leader.iter().any(has_idle) {
        return Choice::Wait;
    }
    if leader.iter().all(has_spare) {
        let choice = choose_among(group, now, &leader, pool_of);
        if choice != Choice::Wait {
            return choice;
        }
    }
    if !replicas.is_empty() {
        return Choice::Wait;
    }
    choose_among(group, now, &fallback, pool_of)
}

fn choose_among(
    group: &Group,
    now: Moment,
    ids: &[TargetId],
    pool_of: &impl Fn(&TargetId) -> PoolView,
) -> Choice {
    let allowed = |id: &&TargetId| {
        let running = group.server(id).map_or(0, |view| view.running);
        let pool = pool_of(id);
        pool.limit.allows(running + pool.taking_slots)
    };
    if let Some(id) = ids.iter().filter(allowed).find(|id| pool_of(id).idle > 0) {
        return Choice::Idle(id.clone());
    }
    if let Some(id) = ids.iter().filter(allowed).find(|id| pool_of(id).may_open(now)) {
        return Choice::Open(id.clone());
    }
    // A connection of another account is replaced only if the request's account has none
    // to any of these servers.
    if ids.iter().any(|id| pool_of(id).own > 0) {
        return Choice::Wait;
    }
    match ids.iter().filter(allowed).find(|id| pool_of(id).may_replace(now)) {
        Some(id) => Choice::Replace(id.clone()),
        None => Choice::Wait,
    }
}
