//! The lease that allows an instance to use the primary of a group.
//!
//! The servers of a group are replicas of one database. One of them is the
//! primary, and each promotion begins a new, higher term. A primary does not
//! step down when another server is promoted: it continues to answer reads with
//! stale data and to acknowledge writes that are then lost. The instances
//! therefore have to stop using it on their own.
//!
//! An instance uses a primary only while it holds a lease on the primary's term.
//! The lease is granted either by half of the voters, which are instances, or by
//! a read of the platform's store that shows no order to replace the primary. An
//! instance that replaces a primary first writes its order to the store, and then
//! collects promises from more than half of the voters. A voter that promises
//! retires the term: it neither uses nor grants it any more.
//!
//! The store grants leases to voters, and also to other instances while the record of
//! the group's duty admits them as *readers*. So instances that find none of the voters
//! use the primary without replacing them. Since every order is in the same record, either
//! the reader sees the order, or the instance that wrote it knows that it has to wait for
//! the readers.
//!
//! Each grant and each promise is given under one version of the set of voters. An
//! instance neither grants nor promises under a version below that which it has.
//!
//! All times are [`Moment`]s on a clock that counts suspensions, so the lease of
//! an instance that was suspended has expired when it resumes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::duty::DutyToken;
use crate::id::InstanceId;
use crate::id::TargetId;
use crate::id::Term;
use crate::moment::Moment;
use crate::revision::Era;
use crate::voter_set::VoterSet;
use crate::voter_set::VotersVersion;

/// How long a grant of a voter lasts, counted from the request.
///
/// This is three heartbeat intervals of 500 ms, so that two heartbeats in a row
/// may be lost. An instance that replaces a primary waits at most this long for
/// an instance that does not answer.
pub const VOTER_LEASE: Duration = Duration::from_millis(1_500);

/// How long a read of the store that shows no order to replace the primary counts
/// as a lease, counted from the request. This is longer than the interval between
/// two reads (500 ms) plus the response time of a slow store (250 ms).
pub const STORE_LEASE: Duration = Duration::from_millis(800);

/// How long a set of voters is relied on after it was last known to be the present one,
/// counted from the request. This is longer than partitions and outages of the store
/// usually last.
///
/// If too few of the former voters are left to acknowledge a change of the set, it is
/// completed without them after this time.
pub const VOTERS_LEASE: Duration = Duration::from_secs(30);

/// After the instance has needed the lease and lacked it for this long, it refuses
/// requests at once, since another instance can serve them. The time suffices for
/// a round of heartbeats and a read of a slow store.
const CUT_OFF_AFTER: Duration = Duration::from_millis(350);

/// What a read of the store shows of the leases on a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLease {
    /// The store holds no order to end a term above this one.
    pub retired: Term,
    /// The voters; unknown if the store holds none.
    pub voters: VoterSet,
    /// Whether instances that do not vote may use the primary by reads of the store.
    pub admits_readers: bool,
}

/// A grant of every term above `retired`, by a voter or by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    /// When the grant was requested.
    asked_at: Moment,
    retired: Term,
    /// The store's era at the read, or the latest era that the voter had received when
    /// it answered.
    era: Era,
}

/// A set of voters, and the grants that were given under it.
#[derive(Clone, Debug, Default)]
struct Electorate {
    voters: VoterSet,
    /// The latest grant of each other voter.
    grants: BTreeMap<InstanceId, Grant>,
}

/// The lease on the primary of one group: what this instance holds, and what it
/// granted to other instances as a voter.
#[derive(Clone, Debug)]
pub struct PrimaryLease {
    /// This instance.
    me: InstanceId,
    /// The latest voters.
    present: Electorate,
    /// The voters before. Their grants remain valid until they expire, and the vote of this
    /// instance as if it had been granted when it adopted the latest voters.
    earlier: Electorate,
    /// When this instance adopted the latest voters.
    adopted_at: Moment,
    /// When the latest voters were last known to be the present ones.
    confirmed_at: Option<Moment>,
    /// The instance neither uses nor grants terms up to this one.
    retired: Term,
    /// Highest term that an instance requested and this instance granted.
    used: Term,
    /// Whether this instance has the orders that an earlier incarnation of it may have
    /// voted for. Until then it does not vote.
    orders_known: bool,
    /// The instance begins no new work before this time, because the primary is
    /// about to be replaced.
    paused_until: Moment,
    store_grant: Option<Grant>,
    /// Latest era of the store that this instance has received.
    era: Era,
    /// Before this time, this instance does not promise.
    promises_from: Moment,
    /// When the last grant of this instance to each other instance expires.
    granted_until: BTreeMap<InstanceId, Moment>,
    /// Since when the instance has needed the lease and lacked it.
    missing_since: Option<Moment>,
    /// Highest token of the group's duty that this instance has received.
    highest_token: DutyToken,
    /// Orders that this instance voted for, until they have ended or are too old to
    /// be carried out.
    voted: Vec<VotedOrder>,
}

/// How long after a start the promises of an earlier incarnation of this instance can
/// matter for an order that a restored store lacks. By then a replacement that collected such
/// a promise has either sent its order, so that the new term is visible, or never will.
pub const RESTART_PROMISE_WINDOW: Duration = Duration::from_secs(4);

/// How long the platform may take to carry out an order that it did not answer.
/// During this time only the server that the order names may be promoted.
const ORDER_OUTSTANDING: Duration = Duration::from_secs(7);

/// How long a voter that promised for an order promises for no later order of another
/// instance. The platform may not check tokens, so that orders have to reach it in the order
/// of their tokens.
pub const ORDER_LEASE: Duration = Duration::from_secs(1);

/// An order is sent at most this long after the promises for it were last requested. The
/// rest of [`ORDER_LEASE`] is for its way to the platform.
pub const ORDER_SEND_LIMIT: Duration = Duration::from_millis(300);

/// A request to a voter to retire a term, sent before a server is promoted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetireRequest {
    /// The instance that will order the promotion.
    pub holder: InstanceId,
    /// Its incarnation.
    pub life: u64,
    /// The term to retire, with all terms below it.
    pub term: Term,
    /// Token under which the promotion will be ordered.
    pub token: DutyToken,
    /// The server to promote.
    pub successor: TargetId,
    /// Token of an order that the same instance prepared but will never send; 0 if
    /// there is none.
    pub withdrawn: DutyToken,
    /// Era of the store in which the order was written; `None` if it is not in the
    /// store, as an earlier version of the program may request.
    pub written_era: Option<Era>,
    /// The voters by which the replacement counts the promises.
    pub voters: VoterSet,
}

/// Why a voter refuses to promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Objection {
    /// The voters have changed: these are the later ones.
    LaterVoters(VoterSet),
    /// This later term is in use, so the requester does not have the current
    /// primary.
    LaterTerm(Term),
    /// Another replacement runs under this higher token. The platform may not check
    /// tokens, so the two orders could take effect in the wrong order.
    HigherToken(DutyToken),
    /// An earlier incarnation of the voter may have promised for an order that another
    /// instance may still send.
    JustStarted,
    /// Another instance may still send its order under this lower token.
    UnsentOrder(DutyToken),
    /// An earlier order to promote this other server may still be carried out.
    OtherSuccessor(TargetId),
    /// The order is not in the store, so that no reader learns of it.
    NotWritten,
    /// The store was restored from a backup after the order was written there, and
    /// may have lost the order. The value is the store's present era.
    LaterEra(Era),
}

/// A promotion order that this instance voted for.
#[derive(Clone, Debug)]
struct VotedOrder {
    holder: InstanceId,
    life: u64,
    token: DutyToken,
    successor: TargetId,
    voted_at: Moment,
}

/// A voter's promise to neither use nor grant a term any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Promise {
    /// Instances that hold an earlier grant of the voter, with the time until the
    /// grant expires.
    pub unexpired_grants: Vec<(InstanceId, Duration)>,
}

impl Default for PrimaryLease {
    /// The lease of an instance that is the only voter.
    fn default() -> Self {
        let me = InstanceId::from("");
        let voters = VoterSet::first(0, vec![me.clone()]);
        let present = Electorate { voters, ..Electorate::default() };
        Self { present, orders_known: true, ..Self::unknown(me) }
    }
}

impl PrimaryLease {
    /// The state of the instance `me` while it has neither the voters nor the orders in the
    /// store: it holds no lease and grants none.
    #[must_use]
    pub fn unknown(me: InstanceId) -> Self {
        Self {
            me,
            present: Electorate::default(),
            earlier: Electorate::default(),
            adopted_at: Moment::ZERO,
            confirmed_at: None,
            retired: 0,
            used: 0,
            orders_known: false,
            paused_until: Moment::ZERO,
            store_grant: None,
            era: 0,
            promises_from: Moment::ZERO,
            granted_until: BTreeMap::new(),
            missing_since: None,
            highest_token: 0,
            voted: Vec::new(),
        }
    }

    /// Sets the time at which the instance started.
    ///
    /// For [`ORDER_LEASE`] after it the instance does not promise, because an earlier
    /// incarnation may have promised for an order that is not sent yet.
    #[must_use]
    pub fn with_start(self, started_at: Moment) -> Self {
        Self { promises_from: started_at + ORDER_LEASE, ..self }
    }

    /// The latest voters that this instance has.
    #[must_use]
    pub fn voters(&self) -> &VoterSet {
        &self.present.voters
    }

    /// Replaces the voters by later ones. Returns whether they are later.
    pub fn adopt_voters(&mut self, now: Moment, voters: &VoterSet) -> bool {
        if voters.version <= self.present.voters.version {
            return false;
        }
        let present = Electorate { voters: voters.clone(), ..Electorate::default() };
        self.earlier = std::mem::replace(&mut self.present, present);
        self.adopted_at = now;
        self.confirmed_at = None;
        self.retired = self.retired.max(voters.retired);
        true
    }

    /// Records that the voters of `version` were the present ones at `at`.
    pub fn confirm_voters(&mut self, version: VotersVersion, at: Moment) {
        if version == self.present.voters.version {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// When the latest voters were last known to be the present ones.
    #[must_use]
    pub fn voters_confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Acknowledges a change of the voters, if this instance takes part in no decision under
    /// earlier ones any more. Returns the highest term that it has retired.
    ///
    /// The grants under the earlier voters have to have expired, and so has the time in which
    /// an order that this instance voted for can be carried out.
    pub fn acknowledge_voters(&mut self, now: Moment, voters: &VoterSet) -> Option<Term> {
        self.adopt_voters(now, voters);
        self.discard_settled_orders(now);
        let acknowledges = voters.version == self.present.voters.version
            && self.orders_known
            && self.earlier_grants_end() <= now
            && self.voted.is_empty();
        acknowledges.then_some(self.retired)
    }

    /// Records that this instance has the orders in the store, and lets it vote.
    ///
    /// Grants from a majority of the voters have the same effect. Without this rule
    /// an instance that promised to retire a term and restarted would grant that
    /// term again. Waiting does not suffice, because an old primary that is
    /// partitioned from its successor continues to serve for as long as the
    /// partition lasts.
    pub fn orders_known(&mut self) {
        self.orders_known = true;
    }

    /// Records that the store holds an order that ends `term`, or lists the term as
    /// retired. An instance that does not vote yet retires the term as if it had
    /// promised to, since an earlier incarnation of it may have.
    pub fn adopt_ended_term(&mut self, term: Term) {
        if !self.orders_known {
            self.retired = self.retired.max(term);
        }
    }

    /// Grants the instance `to` every term that is not retired here, under the voters of
    /// `version`.
    ///
    /// `term` is the term that it requested; 0 if it has seen no primary. Returns
    /// the highest retired term, or `None` while this instance does not vote or if it has
    /// other voters.
    pub fn grant(
        &mut self,
        now: Moment,
        to: &InstanceId,
        term: Term,
        version: VotersVersion,
    ) -> Option<Term> {
        if !self.orders_known || version != self.present.voters.version {
            return None;
        }
        if term > self.retired {
            self.used = self.used.max(term);
        }
        self.granted_until.retain(|_, until| *until > now);
        self.granted_until.insert(to.clone(), now + VOTER_LEASE);
        Some(self.retired)
    }

    /// Records that the store has reached `era`: it was restored from a backup for
    /// the `era`th time.
    pub fn note_era(&mut self, era: Era) {
        self.era = self.era.max(era);
    }

    /// Records a voter's grant of all terms above `retired`, requested at `asked_at`, under
    /// the voters of `version`. `era` is the latest era of the store that the voter had seen.
    pub fn granted(
        &mut self,
        voter: &InstanceId,
        asked_at: Moment,
        retired: Term,
        era: Era,
        version: VotersVersion,
    ) {
        let Electorate { voters, grants } = &mut self.present;
        if version != voters.version || *voter == self.me || !voters.contains(voter) {
            return;
        }
        grants.insert(voter.clone(), Grant { asked_at, retired, era });
        if !self.orders_known && voters.has_majority(|id| grants.contains_key(id)) {
            // An earlier incarnation of this instance may have promised to retire a term.
            // The majority that retired it shares a voter with this one.
            let retired = grants.values().map(|grant| grant.retired).max();
            self.retired = self.retired.max(retired.unwrap_or_default());
            self.orders_known = true;
        }
        let me = &self.me;
        if voters.has_all(|id| id == me || grants.contains_key(id)) {
            // None of the voters had acknowledged a change by then.
            let all_at = grants.values().map(|grant| grant.asked_at).min();
            self.confirmed_at = self.confirmed_at.max(all_at);
        }
        self.note_era(era);
    }

    /// Records a read of the store that was requested at `asked_at` and answered in `era`.
    ///
    /// While the store admits no readers, it grants leases only to an instance that votes
    /// both before and after a change of the voters, because an instance that replaces a
    /// primary contacts all voters that it has, but not every instance.
    pub fn record_store_grant(
        &mut self,
        now: Moment,
        asked_at: Moment,
        era: Era,
        read: &StoredLease,
    ) {
        let StoredLease { retired, voters, admits_readers } = read;
        self.note_era(era);
        self.adopt_voters(now, voters);
        self.confirm_voters(voters.version, asked_at);
        let grant = Grant { asked_at, retired: *retired, era };
        let is_granted = *admits_readers || voters.is_in_each_list(&self.me);
        self.store_grant = is_granted.then_some(grant);
    }

    /// When the lease on a term expires; `None` if there is none.
    #[must_use]
    pub fn lease_end(&self, term: Term) -> Option<Moment> {
        if term <= self.retired || term == 0 {
            return None;
        }
        self.voter_lease_end(term).max(self.store_lease_end(term))
    }

    /// When the lease that the store granted expires.
    fn store_lease_end(&self, term: Term) -> Option<Moment> {
        let grant = self.store_grant.filter(|grant| grant.retired < term);
        let grant = grant.filter(|grant| self.store_has_all_orders(grant, term));
        grant.map(|grant| grant.asked_at + STORE_LEASE)
    }

    /// Whether a read of a store that admits no readers can grant a lease: this instance votes
    /// both before and after a change of the voters.
    #[must_use]
    pub fn takes_store_grants(&self) -> bool {
        self.present.voters.is_in_each_list(&self.me)
    }

    /// Whether a read of the store shows every order to end `term` for which a
    /// majority of the voters can promise.
    ///
    /// A store that was restored from a backup may have lost an order that was written
    /// before. The read then counts only if half of the voters have granted the term
    /// since they saw the new era. Any majority includes one of these voters, and that
    /// voter refuses to promise for an order of an earlier era.
    fn store_has_all_orders(&self, reading: &Grant, term: Term) -> bool {
        if self.era == 0 {
            return true;
        }
        let voters = &self.present.voters;
        let retired_in_era = self.retired_by(|reports| voters.has_half(reports));
        reading.era == self.era && retired_in_era.is_some_and(|retired| retired < term)
    }

    /// The highest term that any voter reported as retired after it saw the latest
    /// era of the store; `None` unless `is_enough` for the voters that have reported since.
    fn retired_by(&self, is_enough: impl Fn(&dyn Fn(&InstanceId) -> bool) -> bool) -> Option<Term> {
        let others = self.present.grants.iter().filter(|(_, grant)| grant.era == self.era);
        let mut reported: BTreeMap<_, _> = others.map(|(id, grant)| (id, grant.retired)).collect();
        if self.orders_known && self.present.voters.contains(&self.me) {
            reported.insert(&self.me, self.retired);
        }
        is_enough(&|id| reported.contains_key(id))
            .then(|| reported.into_values().max().unwrap_or_default())
    }

    /// The highest term that any voter reported as retired after it saw the latest
    /// era of the store; `None` unless a majority of the voters has reported since.
    #[must_use]
    pub fn retired_by_majority(&self) -> Option<Term> {
        let voters = &self.present.voters;
        self.retired_by(|reports| voters.has_majority(reports))
    }

    /// When the lease that the voters granted expires.
    fn voter_lease_end(&self, term: Term) -> Option<Moment> {
        let present = self.electorate_lease_end(&self.present, term, Moment::MAX);
        let present = present.map(|end| end.min(self.reliance_end()));
        present.max(self.electorate_lease_end(&self.earlier, term, self.earlier_grants_end()))
    }

    /// When the lease that a set of voters granted expires, if the vote of this instance
    /// lasts until `own_end`.
    fn electorate_lease_end(
        &self,
        electorate: &Electorate,
        term: Term,
        own_end: Moment,
    ) -> Option<Moment> {
        electorate.voters.half_until(|voter| {
            if *voter == self.me {
                return self.orders_known.then_some(own_end);
            }
            let grant = electorate.grants.get(voter).filter(|grant| grant.retired < term)?;
            Some(grant.asked_at + VOTER_LEASE)
        })
    }

    /// When the grants of this instance under the earlier voters have expired.
    fn earlier_grants_end(&self) -> Moment {
        self.adopted_at + VOTER_LEASE
    }

    /// Until when the latest voters are relied on.
    fn reliance_end(&self) -> Moment {
        if self.present.voters.has_all(|voter| *voter == self.me) {
            return Moment::MAX;
        }
        self.confirmed_at.map_or(Moment::ZERO, |at| at + VOTERS_LEASE)
    }

    /// Whether the instance holds a lease on `term` now.
    #[must_use]
    pub fn holds(&self, now: Moment, term: Term) -> bool {
        self.lease_end(term).is_some_and(|end| end > now)
    }

    /// Whether new work may begin in `term`: the instance holds the lease, and work
    /// is not paused.
    #[must_use]
    pub fn may_begin(&self, now: Moment, term: Term) -> bool {
        self.holds(now, term) && self.paused_until <= now
    }

    /// Starts no new work before `until`, so that running work can finish before the
    /// primary is replaced. The instance keeps its lease.
    pub fn pause(&mut self, until: Moment) {
        self.paused_until = self.paused_until.max(until);
    }

    /// The highest retired term: the instance neither uses nor grants terms up to it.
    #[must_use]
    pub fn retired(&self) -> Term {
        self.retired
    }

    /// Records a token of the group's duty.
    pub fn observe_token(&mut self, token: DutyToken) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Promises to neither use nor grant the term of `request` and those before it, so
    /// that the successor can be promoted.
    ///
    /// # Errors
    ///
    /// Returns an [`Objection`] if another replacement may be in progress or has
    /// completed, or if the store may have lost the order.
    pub fn promise(&mut self, now: Moment, request: &RetireRequest) -> Result<Promise, Objection> {
        self.note_era(request.written_era.unwrap_or_default());
        self.adopt_voters(now, &request.voters);
        if request.voters.version < self.present.voters.version {
            return Err(Objection::LaterVoters(self.present.voters.clone()));
        }
        if self.used > request.term {
            return Err(Objection::LaterTerm(self.used));
        }
        if self.highest_token > request.token {
            return Err(Objection::HigherToken(self.highest_token));
        }
        let Some(written_era) = request.written_era else {
            return Err(Objection::NotWritten);
        };
        if written_era < self.era {
            return Err(Objection::LaterEra(self.era));
        }
        self.discard_settled_orders(now);
        self.voted.retain(|voted| voted.token != request.withdrawn);
        if now < self.promises_from {
            return Err(Objection::JustStarted);
        }
        let may_be_sent = |voted: &&VotedOrder| {
            let is_own = voted.holder == request.holder && voted.life == request.life;
            !is_own && voted.voted_at + ORDER_LEASE > now
        };
        if let Some(other) = self.voted.iter().find(may_be_sent) {
            return Err(Objection::UnsentOrder(other.token));
        }
        // If the platform carried out that earlier order later, it would undo the
        // promotion that is being prepared.
        if let Some(other) = self.voted.iter().find(|voted| voted.successor != request.successor) {
            return Err(Objection::OtherSuccessor(other.successor.clone()));
        }
        self.highest_token = request.token;
        self.retired = self.retired.max(request.term);
        self.voted.retain(|voted| voted.token != request.token);
        let RetireRequest { holder, life, token, successor, .. } = request.clone();
        self.voted.push(VotedOrder { holder, life, token, successor, voted_at: now });
        let unexpired = self.granted_until.iter().filter(|(_, until)| **until > now);
        let unexpired_grants = unexpired.map(|(id, until)| (id.clone(), until.saturating_sub(now)));
        Ok(Promise { unexpired_grants: unexpired_grants.collect() })
    }

    /// Discards the orders that are too old to be carried out.
    fn discard_settled_orders(&mut self, now: Moment) {
        self.voted.retain(|voted| voted.voted_at + ORDER_OUTSTANDING > now);
    }

    /// Records that the order under `token` was carried out or never will be.
    pub fn record_order_ended(&mut self, token: DutyToken) {
        self.voted.retain(|voted| voted.token != token);
    }

    /// Records that a request needs the lease on `term` now. Returns whether the
    /// instance holds it.
    pub fn note_needed(&mut self, now: Moment, term: Term) -> bool {
        if self.holds(now, term) {
            self.missing_since = None;
            return true;
        }
        // The instance may have got the lease while no request needed it.
        let last_end = self.lease_end(term);
        self.missing_since.take_if(|since| last_end.is_some_and(|end| end > *since));
        self.missing_since.get_or_insert(now);
        false
    }

    /// For how long the instance has needed the lease on `term` and lacked it, if it does now.
    #[must_use]
    pub fn missing_for(&self, now: Moment, term: Term) -> Option<Duration> {
        let since = self.missing_since.filter(|_| !self.holds(now, term));
        since.map(|since| now.saturating_sub(since))
    }

    /// Whether voters grant the instance a lease on `term` now.
    #[must_use]
    pub fn holds_from_voters(&self, now: Moment, term: Term) -> bool {
        term > self.retired && self.voter_lease_end(term).is_some_and(|end| end > now)
    }

    /// Whether a request needs the lease, and there are no voters yet that could grant it.
    #[must_use]
    pub fn lacks_voters(&self) -> bool {
        self.missing_since.is_some() && !self.present.voters.is_known()
    }

    /// Whether the instance has lacked the lease for so long that another instance
    /// should serve its requests.
    #[must_use]
    pub fn is_cut_off(&self, now: Moment, term: Term) -> bool {
        let missing = self.missing_since.is_some_and(|since| since + CUT_OFF_AFTER <= now);
        missing && !self.holds(now, term)
    }
}

/// Counts the promises that a replacement of a primary collects, and decides when
/// the promotion may be ordered.
#[derive(Clone, Debug)]
pub struct PromiseTally {
    voters: VoterSet,
    /// Instances that are asked for a promise.
    asked: Vec<InstanceId>,
    /// When the order was written to the store.
    written_at: Moment,
    /// When the last lease expires that the store granted to an instance that does not vote.
    readers_end: Moment,
    promised: Vec<InstanceId>,
    /// When the latest grant to each instance expires, as the voters that promised
    /// reported it.
    granted_until: BTreeMap<InstanceId, Moment>,
}

/// Whether the promotion may be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may be ordered from this time on.
    From(Moment),
    /// Too few voters have promised.
    TooFewVotes,
}

/// When the last lease expires that the store granted to an instance that does not vote, on
/// the primary that the order written at `written_at` replaces.
///
/// `admits_readers` tells whether the record in which the order was put admitted readers. If it
/// did not, it had not since `known_since`, when this instance received that record.
#[must_use]
pub fn readers_end(written_at: Moment, admits_readers: bool, known_since: Moment) -> Moment {
    let last_read_before = if admits_readers { written_at } else { known_since };
    last_read_before + STORE_LEASE
}

impl PromiseTally {
    /// A tally without promises. `asked` are the instances that are asked to promise,
    /// `written_at` is when the order was written to the store, and `readers_end` is when the
    /// leases of instances that do not vote have expired.
    #[must_use]
    pub fn new(
        voters: VoterSet,
        asked: Vec<InstanceId>,
        written_at: Moment,
        readers_end: Moment,
    ) -> Self {
        Self {
            voters,
            asked,
            written_at,
            readers_end,
            promised: Vec::new(),
            granted_until: BTreeMap::new(),
        }
    }

    /// Records a promise of the instance `id` that arrived at `now`.
    pub fn promised(&mut self, now: Moment, id: &InstanceId, promise: Promise) {
        if !self.promised.contains(id) {
            self.promised.push(id.clone());
        }
        for (to, lasting) in promise.unexpired_grants {
            let until = self.granted_until.entry(to).or_default();
            *until = (*until).max(now + lasting);
        }
    }

    /// Whether a majority of the voters has promised.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        self.voters.has_majority(|voter| self.promised.contains(voter))
    }

    /// Instances that were asked to promise and have not.
    pub fn missing(&self) -> impl Iterator<Item = &InstanceId> {
        self.asked.iter().filter(|id| !self.promised.contains(id))
    }

    /// Whether the promotion may be ordered, and from when on no instance uses the old
    /// term any more.
    ///
    /// An instance that does not answer may still hold a lease. One that the voters
    /// granted includes a grant of a voter that has promised since, so it expires
    /// with the last such grant at the latest. One that the store granted belongs to
    /// a voter that read the store before the order was written, or to a reader. With
    /// `last_resort`, a majority of promises is not required.
    #[must_use]
    pub fn readiness(&self, last_resort: bool) -> Readiness {
        let has_promised = |voter: &InstanceId| self.promised.contains(voter);
        if !self.has_majority() && !last_resort {
            return Readiness::TooFewVotes;
        }
        let unreachable = self.granted_until.iter().filter(|(id, _)| !self.promised.contains(id));
        let voter_leases_end = unreachable.map(|(_, until)| *until).max().unwrap_or_default();
        let store_leases_end = if self.voters.has_all(has_promised) {
            self.readers_end
        } else {
            self.written_at + STORE_LEASE
        };
        Readiness::From(voter_leases_end.max(store_leases_end))
    }
}
