//! Which server a request gets a connection to.

use crate::concurrency::ConcurrencyLimit;
use crate::group::Group;
use crate::id::AccountId;
use crate::id::TargetId;
use crate::moment::Moment;
use crate::position::Position;
use crate::wait_estimator::WaitClass;

/// Which servers will do for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary.
    Leader,
    /// Any server that has applied `floor`.
    Reader {
        /// Lowest position that the read has to see.
        floor: Position,
        /// A server that just failed this request: only if no other will do.
        failed_server: Option<TargetId>,
    },
    /// This server, to ask for its state.
    Server(TargetId),
}

impl Need {
    /// What it waits for, coarsely.
    #[must_use]
    pub fn class(&self) -> WaitClass {
        match self {
            Self::Leader => WaitClass::Leader,
            Self::Reader { .. } => WaitClass::Reader,
            Self::Server(_) => WaitClass::Server,
        }
    }

    /// Whether a connection to a server would serve the request.
    #[must_use]
    pub fn accepts(&self, group: &Group, now: Moment, id: &TargetId) -> bool {
        match self {
            Self::Leader => group.leads(id),
            Self::Reader { floor, .. } => group.can_read(now, id, *floor),
            Self::Server(wanted) => wanted == id,
        }
    }
}

/// Whose connections will do for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Any: no client's statement is run.
    AnyAccount,
    /// Those of an account; `None` where clients have none. A server runs what
    /// comes on a connection in the name of the account that it was opened for.
    Account(Option<AccountId>),
}

impl Owner {
    /// Whether a connection of this account will do.
    #[must_use]
    pub fn accepts(&self, account: Option<&AccountId>) -> bool {
        match self {
            Self::AnyAccount => true,
            Self::Account(wanted) => wanted.as_ref() == account,
        }
    }

    /// The account that a new connection would be opened for.
    #[must_use]
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            Self::AnyAccount => None,
            Self::Account(account) => account.as_ref(),
        }
    }
}

/// Connections to one server, as one request sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolView {
    /// Open, idle ones included.
    pub open: usize,
    /// Not in use, and of the request's account.
    pub idle: usize,
    /// Not in use, and of another account that could do without: one of them can be
    /// closed to make room.
    pub replaceable: usize,
    /// Open or being opened for the request's account.
    pub own: usize,
    /// Being opened.
    pub opening: usize,
    /// Slots of the server that connections being opened may take.
    pub taking_slots: usize,
    /// Most that may be open.
    pub budget: usize,
    /// No connection is opened before this time.
    pub blocked_until: Moment,
    /// How many statements may be at the server at once.
    pub limit: ConcurrencyLimit,
}

/// Connections being opened to one server at the same time. Each takes a slot
/// for 12 to 27 ms; two leave one of three for statements.
const MAX_OPENING: usize = 2;

/// Connections to the primary that reads leave free when replicas could serve
/// them: writes have nowhere else to go.
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

    /// Whether a connection of another account may be closed for one of this. Who
    /// has a connection waits for it instead: a statement takes about as long as a
    /// new connection, which takes the slot of one.
    fn may_replace(&self, now: Moment) -> bool {
        self.replaceable > 0 && self.own == 0 && self.budget > 0 && self.opens_more(now)
    }

    /// Connections that are idle or could be opened.
    fn free(&self) -> usize {
        let unopened = self.budget.saturating_sub(self.open + self.opening);
        self.idle + self.replaceable + unopened
    }
}

/// How a request gets its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// There is an idle one to this server.
    Idle(TargetId),
    /// One can be opened to this server.
    Open(TargetId),
    /// One can be opened to this server when one of another account is closed.
    Replace(TargetId),
    /// It has to wait.
    Wait,
}

/// Chooses a server for a request.
pub fn choose(
    group: &Group,
    now: Moment,
    need: &Need,
    share_of: impl Fn(&TargetId) -> PoolView,
) -> Choice {
    match need {
        Need::Leader => match group.usable_leader(now) {
            Some(leader) => among(group, now, std::slice::from_ref(&leader.id), &share_of),
            None => Choice::Wait,
        },
        Need::Server(id) => among(group, now, std::slice::from_ref(id), &share_of),
        Need::Reader { floor, failed_server } => {
            choose_reader(group, now, *floor, failed_server.as_ref(), &share_of)
        }
    }
}

fn choose_reader(
    group: &Group,
    now: Moment,
    floor: Position,
    failed_server: Option<&TargetId>,
    share_of: &impl Fn(&TargetId) -> PoolView,
) -> Choice {
    let able = group.readers(now, floor);
    let sound = |id: &TargetId| {
        let avoided = group.server(id).is_none_or(|view| view.is_avoided(now));
        !avoided && failed_server != Some(id)
    };
    let (sound, doubtful): (Vec<_>, Vec<_>) = able.into_iter().partition(sound);
    let (leader, replicas): (Vec<_>, Vec<_>) = sound.into_iter().partition(|id| group.leads(id));
    let choice = among(group, now, &replicas, share_of);
    if choice != Choice::Wait {
        return choice;
    }
    let spare = |id: &TargetId| replicas.is_empty() || share_of(id).free() > LEADER_RESERVE;
    if leader.iter().all(spare) {
        let choice = among(group, now, &leader, share_of);
        if choice != Choice::Wait {
            return choice;
        }
    }
    if !replicas.is_empty() {
        return Choice::Wait;
    }
    among(group, now, &doubtful, share_of)
}

fn among(
    group: &Group,
    now: Moment,
    ids: &[TargetId],
    share_of: &impl Fn(&TargetId) -> PoolView,
) -> Choice {
    let allowed = |id: &&TargetId| {
        let running = group.server(id).map_or(0, |view| view.running);
        let share = share_of(id);
        share.limit.allows(running + share.taking_slots)
    };
    if let Some(id) = ids.iter().filter(allowed).find(|id| share_of(id).idle > 0) {
        return Choice::Idle(id.clone());
    }
    if let Some(id) = ids.iter().filter(allowed).find(|id| share_of(id).may_open(now)) {
        return Choice::Open(id.clone());
    }
    // Only who has no connection to any of them takes one from others.
    if ids.iter().any(|id| share_of(id).own > 0) {
        return Choice::Wait;
    }
    match ids.iter().filter(allowed).find(|id| share_of(id).may_replace(now)) {
        Some(id) => Choice::Replace(id.clone()),
        None => Choice::Wait,
    }
}
