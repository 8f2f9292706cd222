//! Through which holder of a group a statement goes.

use crate::fleet::InstanceRecord;
use crate::id::AccountId;
use crate::peer_contact::Contact;
use crate::placement::stable_hash;

/// A holder that a statement could go through.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its record.
    pub record: InstanceRecord,
    /// Whether it is heard.
    pub contact: Contact,
    /// Whether it just refused a statement of this group that another holder
    /// may be able to serve.
    pub recently_refused: bool,
    /// Whether it runs in the sender's failure domain.
    pub near: bool,
}

/// What the statements have in common that should meet at one holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// The session: a number that stays the same for it.
    Session(u32),
    /// The account, whose connections serve nobody else. Spread over all holders,
    /// the statements of each account would need a connection at each of them.
    Account(AccountId),
}

/// Chooses a holder: one that is heard before a silent one, one that can serve
/// before one that just could not, and among equals the same for those that should
/// meet.
///
/// A session goes to a near holder. An account has one home among all of a group:
/// when a holder goes, only the accounts that were at home there move.
#[must_use]
pub fn choose<'a>(candidates: &'a [Candidate], affinity: &Affinity) -> Option<&'a Candidate> {
    let rank = |candidate: &Candidate| {
        let silent = candidate.contact == Contact::Silent;
        let far = matches!(affinity, Affinity::Session(_)) && !candidate.near;
        (silent, candidate.recently_refused, far)
    };
    let best = candidates.iter().map(rank).min()?;
    let equal: Vec<_> = candidates.iter().filter(|candidate| rank(candidate) == best).collect();
    match affinity {
        Affinity::Session(number) => {
            let index = usize::try_from(*number).unwrap_or_default() % equal.len();
            equal.get(index).copied()
        }
        Affinity::Account(account) => {
            let score =
                |candidate: &&&Candidate| stable_hash(&["home", account, &candidate.record.id]);
            equal.iter().max_by_key(score).copied()
        }
    }
}
