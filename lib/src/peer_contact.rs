//! Reachability of other instances, as one instance observes it from its own
//! traffic.
//!
//! After a network partition, most of the instances that hold connections can be
//! unreachable. If each statement detects that on its own, an unreachable holder
//! costs 300 ms on a new connection, and the whole time limit of the statement on
//! an open one. With 195 instances, of which 71 % were cut off from the others,
//! each instance had some hundred unreachable holders to detect, and discarded the
//! result after a second. One statement in five was late or refused, although all
//! but one of the twenty groups had reachable holders and servers.
//!
//! Reachability is therefore tracked for each instance and not for each statement.
//! When one instance proves unreachable, all others from which nothing arrived
//! since must answer a liveness check before they get a statement. An unreachable
//! instance gets no statement until it has answered such a check.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::InstanceId;
use crate::moment::Moment;

/// Time limit of a liveness check, including the time to connect.
///
/// It is many times the duration of two round trips (6 ms between failure domains),
/// and longer than an instance with an eighth of a core waits for processor time.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);

/// Time without an answer to a statement after which its sender starts a liveness
/// check. It is three times the duration of a usual statement (18 ms), so that few
/// checks are unnecessary.
pub const LIVENESS_CHECK_AFTER: Duration = Duration::from_millis(60);

/// Time after an instance became unreachable during which the others must pass a
/// liveness check before they get statements, since a partition rarely affects one
/// instance alone. It is longer than the checks of all instances in use take.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Time for which an answer proves reachability during a suspicion period.
const LIVENESS_VALIDITY: Duration = Duration::from_secs(1);

/// Interval between liveness checks of an unreachable instance. It limits what each
/// additional unreachable instance costs those that would use it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between liveness checks of a starting instance. It is short because a process
/// accepts connections some ten milliseconds after it was started.
pub const STARTING_RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// How long an instance that refuses connections counts as starting. A process that was
/// killed is started again after a shorter delay.
const STARTING_PERIOD: Duration = Duration::from_secs(2);

/// Reachability of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// The instance is presumed reachable and can get statements.
    Reachable,
    /// Another instance recently became unreachable, and this one has answered
    /// nothing sent since then, or nothing sent within the last second. It must
    /// answer a liveness check before it gets a statement.
    Unverified,
    /// The instance is unreachable: it did not answer the last request or liveness
    /// check in time.
    Unreachable,
}

/// State of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    /// Send time of the newest message that the peer answered.
    answered_sent_at: Moment,
    unreachable: bool,
    /// When the last liveness check was due, or a message went unanswered.
    checked_at: Moment,
    /// Since when the peer's machine has refused connections; `None` if it did not refuse the
    /// last one.
    refusing_since: Option<Moment>,
}

impl PeerState {
    /// Whether the process of the peer is presumably being started.
    fn is_starting(&self, now: Moment) -> bool {
        self.refusing_since.is_some_and(|since| since + STARTING_PERIOD > now)
    }
}

/// Reachability of all peers of one instance.
#[derive(Clone, Debug, Default)]
pub struct PeerContacts {
    peers: HashMap<InstanceId, PeerState>,
    /// The last suspicion period: the time since which peers must have answered,
    /// and the end of the period.
    suspicion: Option<(Moment, Moment)>,
}

impl PeerContacts {
    /// Records that a peer answered a message sent at `asked_at`. Returns whether
    /// the peer was unreachable before.
    pub fn record_answer(&mut self, asked_at: Moment, id: &InstanceId) -> bool {
        let known = self.peers.entry(id.clone()).or_default();
        known.answered_sent_at = known.answered_sent_at.max(asked_at);
        known.refusing_since = None;
        std::mem::take(&mut known.unreachable)
    }

    /// Records that a peer did not answer a message sent at `asked_at`. Returns
    /// whether this makes the peer unreachable.
    pub fn record_no_answer(&mut self, now: Moment, asked_at: Moment, id: &InstanceId) -> bool {
        let known = self.peers.entry(id.clone()).or_default();
        // The peer has answered a later message.
        if known.answered_sent_at > asked_at {
            return false;
        }
        known.checked_at = now;
        known.refusing_since = None;
        let newly_unreachable = !std::mem::replace(&mut known.unreachable, true);
        if newly_unreachable {
            let since = match self.suspicion {
                Some((since, until)) if until > now => since,
                _ => asked_at,
            };
            self.suspicion = Some((since, now + SUSPICION_PERIOD));
        }
        newly_unreachable
    }

    /// Records that a connection to a peer was refused: its machine is reachable, but its
    /// process does not run. Returns whether this makes the peer unreachable.
    ///
    /// Unlike a missing answer, it is no sign of a partition, so other peers need not pass a
    /// liveness check.
    pub fn record_refused_connection(&mut self, now: Moment, id: &InstanceId) -> bool {
        let known = self.peers.entry(id.clone()).or_default();
        known.checked_at = now;
        known.refusing_since.get_or_insert(now);
        !std::mem::replace(&mut known.unreachable, true)
    }

    /// Whether the process of a peer is presumably being started, so that it can get
    /// statements soon.
    #[must_use]
    pub fn is_starting(&self, now: Moment, id: &InstanceId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.is_starting(now))
    }

    /// Returns the reachability of a peer.
    #[must_use]
    pub fn reachability(&self, now: Moment, id: &InstanceId) -> Reachability {
        let known = self.peers.get(id).copied().unwrap_or_default();
        if known.unreachable {
            return Reachability::Unreachable;
        }
        let suspicion = self.suspicion.filter(|(_, until)| *until > now);
        let Some((since, _)) = suspicion else {
            return Reachability::Reachable;
        };
        if known.answered_sent_at >= since && known.answered_sent_at + LIVENESS_VALIDITY > now {
            return Reachability::Reachable;
        }
        Reachability::Unverified
    }

    /// Whether a liveness check of a peer is due. If so, it counts as sent at `now`.
    /// No check is due for a peer that is presumed reachable.
    pub fn take_due_liveness_check(&mut self, now: Moment, id: &InstanceId) -> bool {
        if self.reachability(now, id) == Reachability::Reachable {
            return false;
        }
        let known = self.peers.entry(id.clone()).or_default();
        let pause = match (known.unreachable, known.is_starting(now)) {
            (false, _) => LIVENESS_TIMEOUT,
            (true, false) => RECHECK_INTERVAL,
            (true, true) => STARTING_RECHECK_INTERVAL,
        };
        let due = known.checked_at + pause <= now;
        if due {
            known.checked_at = now;
        }
        due
    }

    /// Removes the peers for which `exists` returns `false`.
    pub fn keep_only(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.peers.retain(|id, _| exists(id));
    }
}
