//! The duty of replacing the primary of a group, and the token that fences it.

use crate::fleet::InstanceRecord;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::id::TargetId;
use crate::id::Term;
use crate::placement::stable_hash;
use crate::revision::Era;

/// Fencing token of a duty: the platform refuses a lower one than it has seen.
pub type DutyToken = u64;

/// Tokens of one era of the store; far more than duties are taken in it.
const TOKENS_PER_ERA: DutyToken = 1 << 20;

/// The first token of an era of the store.
///
/// A copy of the store does not have the tokens that were given out after it was
/// taken, and nobody may know them any more: counted on from the copy, two instances
/// would order under the same one.
#[must_use]
pub fn first_token(era: Era) -> DutyToken {
    era.saturating_mul(TOKENS_PER_ERA).saturating_add(1)
}

/// Whether a token was given out since the store came back from a copy for the `era`th
/// time.
#[must_use]
pub fn is_token_of_era(token: DutyToken, era: Era) -> bool {
    token >= first_token(era)
}

/// Who holds a duty, as kept in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyRecord {
    /// The group whose primary it is about.
    pub group: GroupId,
    /// The instance that holds the duty.
    pub holder: InstanceId,
    /// Its life: a restarted instance does not go on with a token of which it
    /// cannot know what was done with it.
    pub life: u64,
    /// The token.
    pub token: DutyToken,
    /// What was last ordered, by this holder or an earlier one.
    pub order: Option<DutyOrder>,
    /// Terms up to this one are not used any more, whatever the order says: most
    /// voters told so when the store had come back from a copy.
    pub retired: Term,
}

impl DutyRecord {
    /// Terms up to this one are not used any more.
    #[must_use]
    pub fn ended_term(&self) -> Term {
        let ordered = self.order.as_ref().map_or(0, |order| order.term.saturating_sub(1));
        ordered.max(self.retired)
    }
}

/// An order to promote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyOrder {
    /// The server that was to take over.
    pub server: TargetId,
    /// The term in which it would lead.
    pub term: Term,
}

/// Whether a server may be promoted in view of the last order.
///
/// An order of which this instance has not seen the outcome may have made
/// another server primary, behind a partition, and commits may have been
/// acknowledged there. Until that term was seen somewhere, only the server of
/// the order itself may take over.
#[must_use]
pub fn order_permits(order: Option<&DutyOrder>, server: &TargetId, highest_term: Term) -> bool {
    order.is_none_or(|order| order.term <= highest_term || order.server == *server)
}

/// The order in which instances take the duty for a group: its holder first,
/// then by rendezvous hashing, so that the groups are spread.
#[must_use]
pub fn succession(
    group: &GroupId,
    holder: Option<&InstanceId>,
    staying: &[InstanceId],
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = staying
        .iter()
        .map(|id| (holder == Some(id), stable_hash(&[group, id]), id.clone()))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

/// The record that follows on `last` when an instance takes the duty, or goes
/// on with it under a new token of an era. Without an order of its own it keeps the
/// last.
#[must_use]
pub fn next_record(
    group: &GroupId,
    me: &InstanceRecord,
    last: Option<&DutyRecord>,
    order: Option<DutyOrder>,
    era: Era,
) -> DutyRecord {
    DutyRecord {
        group: group.clone(),
        holder: me.id.clone(),
        life: me.life,
        token: last.map_or(0, |record| record.token + 1).max(first_token(era)),
        order: order.or_else(|| last.and_then(|record| record.order.clone())),
        retired: last.map_or(0, |record| record.retired),
    }
}
