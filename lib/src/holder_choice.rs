//! Choice of the holder through which an instance sends a statement.
//!
//! The holders of a group are the instances that hold connections to its servers
//! (see [`crate::holders`]).

use crate::fleet::InstanceRecord;
use crate::id::AccountId;
use crate::peer_contact::Reachability;
use crate::placement::stable_hash;

/// A holder through which a statement can be sent.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Record of the holder.
    pub record: InstanceRecord,
    /// Whether the holder is reachable.
    pub reachability: Reachability,
    /// Whether the holder recently refused a statement of this group that another
    /// holder may be able to serve.
    pub recently_refused: bool,
    /// Whether the holder runs in the failure domain of the sender.
    pub near: bool,
}

/// Property by which statements are sent to the same holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// The session, by a number that is constant for it.
    Session(u32),
    /// The client account. Connections are not shared between accounts, so if an
    /// account used all holders, it would need a connection at each of them.
    Account(AccountId),
    /// A large client account, for a read that replicas can serve: it has a home in each
    /// failure domain (see [`crate::account_homes`]).
    LargeAccount(AccountId),
}

/// Chooses a holder. Reachable holders are preferred to unreachable ones, then
/// holders that did not recently refuse a statement. Among equal holders, the
/// affinity decides. Returns `None` if there are no candidates.
///
/// For a session or a large account, holders in the failure domain of the sender are
/// preferred. Any other account has one home holder among all holders of a group. Homes
/// are chosen by rendezvous hashing: if a holder fails, only the accounts with a home
/// there move.
#[must_use]
pub fn choose<'a>(candidates: &'a [Candidate], affinity: &Affinity) -> Option<&'a Candidate> {
    let rank = |candidate: &Candidate| {
        let unreachable = candidate.reachability == Reachability::Unreachable;
        let far = !matches!(affinity, Affinity::Account(_)) && !candidate.near;
        (unreachable, candidate.recently_refused, far)
    };
    let best = candidates.iter().map(rank).min()?;
    let equal: Vec<_> = candidates.iter().filter(|candidate| rank(candidate) == best).collect();
    match affinity {
        Affinity::Session(number) => {
            let index = usize::try_from(*number).unwrap_or_default() % equal.len();
            equal.get(index).copied()
        }
        Affinity::Account(account) | Affinity::LargeAccount(account) => {
            let score =
                |candidate: &&&Candidate| stable_hash(&["home", account, &candidate.record.id]);
            equal.iter().max_by_key(score).copied()
        }
    }
}
