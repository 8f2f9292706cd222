//! The duty of replacing the primary of a group, and the fencing token of that duty.
//!
//! One instance at a time holds the duty for a group, as recorded in the platform's
//! store. It orders promotions under the token of the record, and each claim of the
//! duty raises the token. An era counts how often the store was restored from a
//! backup.

use crate::fleet::InstanceRecord;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::id::TargetId;
use crate::id::Term;
use crate::placement::stable_hash;
use crate::primary_lease::StoredLease;
use crate::replica_set::ReplicaSet;
use crate::revision::Era;
use crate::voter_set::VoterSet;

/// Fencing token of a duty. The platform refuses an order whose token is lower than
/// one that it received before.
pub type DutyToken = u64;

/// Number of tokens reserved for one era of the store, far more than are issued in
/// one.
const TOKENS_PER_ERA: DutyToken = 1 << 20;

/// The first token of an era of the store.
///
/// A backup of the store lacks the tokens that were issued after it was taken, and
/// possibly no instance has them any more. If tokens continued from the restored
/// value, two instances could order promotions under the same token.
#[must_use]
pub fn first_token(era: Era) -> DutyToken {
    era.saturating_mul(TOKENS_PER_ERA).saturating_add(1)
}

/// Whether a token was issued in `era` or a later one, that is, after the store was
/// restored from a backup for the `era`th time.
#[must_use]
pub fn is_token_of_era(token: DutyToken, era: Era) -> bool {
    token >= first_token(era)
}

/// The holder of a duty and its last order, as stored in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyRecord {
    /// The group whose primary the holder may replace.
    pub group: GroupId,
    /// The instance that holds the duty.
    pub holder: InstanceId,
    /// Identifies the incarnation of the holder, one run from start to exit. After a
    /// restart an instance has no record of what it ordered under its former token, so
    /// it does not continue with it.
    pub life: u64,
    /// The fencing token.
    pub token: DutyToken,
    /// The last promotion ordered, by this holder or an earlier one.
    pub order: Option<DutyOrder>,
    /// No instance uses terms up to this one any more, whatever the order says. The
    /// value comes from a majority of the voters, after the store was restored from a
    /// backup.
    pub retired: Term,
    /// The instances that vote on the group.
    pub voters: VoterSet,
    /// The servers that may have received acknowledged commits, in a group with synchronous
    /// replicas.
    pub replicas: ReplicaSet,
    /// Whether instances that do not vote may use the primary by reads of this record (see
    /// [`crate::primary_lease`]).
    pub admits_readers: bool,
}

impl DutyRecord {
    /// The highest term that may no longer be used: the term before that of the order,
    /// or one that is retired if that is higher.
    #[must_use]
    pub fn ended_term(&self) -> Term {
        let ordered = self.order.as_ref().map_or(0, |order| order.term.saturating_sub(1));
        ordered.max(self.retired).max(self.voters.retired)
    }

    /// What a read of this record shows of the leases on the primary.
    #[must_use]
    pub fn stored_lease(&self) -> StoredLease {
        StoredLease {
            retired: self.ended_term(),
            voters: self.voters.clone(),
            admits_readers: self.admits_readers,
        }
    }

    /// Whether the records of a group have the same holder, token and order.
    #[must_use]
    pub fn is_same_duty(&self, other: &Self) -> bool {
        let Self { group, holder, life, token, order, retired, .. } = self;
        *group == other.group
            && *holder == other.holder
            && *life == other.life
            && *token == other.token
            && *order == other.order
            && *retired == other.retired
    }
}

/// An order to promote a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyOrder {
    /// The server to promote.
    pub server: TargetId,
    /// The term that its promotion begins.
    pub term: Term,
}

/// Whether the last order permits the promotion of a server.
///
/// If the outcome of the last order is unknown, its server may have become primary
/// on the other side of a partition and may have acknowledged commits. Until some
/// server was seen in the term of the order (`highest_term`), only the server that
/// the order names may be promoted.
#[must_use]
pub fn order_permits(order: Option<&DutyOrder>, server: &TargetId, highest_term: Term) -> bool {
    order.is_none_or(|order| order.term <= highest_term || order.server == *server)
}

/// The term that an order of an instance ends, with those before it, if the instance has observed
/// terms up to `highest_term` and knows the record `known`.
///
/// An instance that was partitioned or has restarted may have observed no term as late as the
/// last order. An order that ends a lower term than that would let the record show terms as usable
/// that no instance may use any more.
#[must_use]
pub fn term_to_end(highest_term: Term, known: Option<&DutyRecord>) -> Term {
    known.map_or(0, DutyRecord::ended_term).max(highest_term)
}

/// The order in which instances take the duty for a group: the present holder first,
/// then by rendezvous hashing, which distributes the groups over the instances.
#[must_use]
pub fn succession(
    group: &GroupId,
    holder: Option<&InstanceId>,
    eligible: &[InstanceId],
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = eligible
        .iter()
        .map(|id| (holder == Some(id), stable_hash(&[group, id]), id.clone()))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

/// The record that replaces `last` when an instance takes the duty or renews it under
/// a new token of an era. Without a new `order` the record keeps that of `last`.
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
        token: last.map_or(0, |record| record.token.saturating_add(1)).max(first_token(era)),
        order: order.or_else(|| last.and_then(|record| record.order.clone())),
        retired: last.map_or(0, |record| record.retired),
        voters: last.map(|record| record.voters.clone()).unwrap_or_default(),
        replicas: last.map(|record| record.replicas.clone()).unwrap_or_default(),
        admits_readers: last.is_some_and(|record| record.admits_readers),
    }
}
