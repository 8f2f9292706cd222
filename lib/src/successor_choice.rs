//! Choice of the replica that becomes the next primary of a group.

use displaydoc::Display;

use crate::leader_watch::ReplaceReason;
use crate::position::Position;
use crate::replica_set::CommitQuorum;

/// A replica that answered before the next primary is chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica<Id> {
    /// Identifies the replica.
    pub id: Id,
    /// The end of its log.
    pub received: Position,
    /// Whether its log continues that of the latest primary, as far as is known.
    pub can_lead: bool,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// Why no replica can be promoted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum NoSuccessor {
    /// no replica can take over
    NoneCanLead,
    /// too few replicas answered to include every acknowledged commit
    TooFewAnswered,
    /// the replica with every acknowledged commit is about to leave
    OnlyLeavingIsComplete,
}

/// Chooses the replica to promote, out of those that answered.
///
/// The one that received the most lacks the fewest acknowledged commits. In a group with
/// synchronous replicas the `quorum` has to be met, so that one of them has every acknowledged
/// commit, and the chosen one must have received as much as any of them. A replica that is about
/// to leave is promoted only if no other one has, and only if the primary is not replaced because
/// it leaves itself. `None` stands for a group without synchronous replicas.
///
/// As a last resort a replica suffices that missed a change of primary. No time without a primary
/// is a reason to promote a replica that may lack acknowledged commits.
///
/// # Errors
///
/// Returns why none can be promoted.
pub fn choose_successor<'a, Id>(
    answered: &'a [Replica<Id>],
    quorum: Option<&CommitQuorum>,
    reason: ReplaceReason,
) -> Result<&'a Replica<Id>, NoSuccessor> {
    let last_resort = reason == ReplaceReason::LastResort;
    let able = || answered.iter().filter(|replica| replica.can_lead || last_resort);
    let staying = first_with_most(able().filter(|replica| !replica.draining));
    let Some(quorum) = quorum else {
        return staying.ok_or(NoSuccessor::NoneCanLead);
    };
    if !quorum.is_met(answered.len()) {
        return Err(NoSuccessor::TooFewAnswered);
    }
    let most = first_with_most(able()).ok_or(NoSuccessor::NoneCanLead)?;
    match staying {
        Some(staying) if staying.received >= most.received => Ok(staying),
        _ if reason == ReplaceReason::Leaving => Err(NoSuccessor::OnlyLeavingIsComplete),
        _ => Ok(most),
    }
}

fn first_with_most<'a, Id>(
    replicas: impl Iterator<Item = &'a Replica<Id>>,
) -> Option<&'a Replica<Id>> {
    replicas.reduce(|best, next| if next.received > best.received { next } else { best })
}
