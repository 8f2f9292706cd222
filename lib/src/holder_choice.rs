//! Through which holder of a group a statement goes.

use crate::fleet::InstanceRecord;
use crate::peer_contact::Contact;

/// A holder that a statement could go through.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its record.
    pub record: InstanceRecord,
    /// Whether it is heard.
    pub contact: Contact,
    /// Whether it just refused a statement of this group that another holder
    /// may be able to serve.
    pub unable: bool,
    /// Whether it runs in the sender's failure domain.
    pub near: bool,
}

/// Chooses a holder: one that is heard before a silent one, one that can serve
/// before one that just could not, a near one before a far one, and among equals
/// the same for the same `key`, so that its connections fit the session.
#[must_use]
pub fn choose(candidates: &[Candidate], key: u32) -> Option<&Candidate> {
    let rank = |candidate: &Candidate| {
        let silent = candidate.contact == Contact::Silent;
        (silent, candidate.unable, !candidate.near)
    };
    let best = candidates.iter().map(rank).min()?;
    let equal: Vec<_> = candidates.iter().filter(|candidate| rank(candidate) == best).collect();
    let index = usize::try_from(key).unwrap_or_default() % equal.len();
    equal.get(index).copied()
}
