//! The right of an instance to use the primary of a group: a lease on a term.
//!
//! The platform's servers do not step down when another one is promoted: an old
//! primary goes on, answers reads with old data and acknowledges writes that
//! are lost. So instances must not use it, by themselves. Each uses a primary
//! only while it holds a lease on its term, granted by half of the instances that
//! vote, or by the platform's store; and whoever replaces the primary first has
//! the promise of more than half that they grant it no more.
//!
//! All times are [`Moment`]s, on a clock that counts suspensions: an instance
//! that was frozen finds its lease over when it wakes up.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::duty::DutyToken;
use crate::id::InstanceId;
use crate::id::TargetId;
use crate::id::Term;
use crate::moment::Moment;
use crate::revision::Era;

/// How long a grant of another instance lasts, from when it was asked for.
///
/// Three heartbeats (500 ms): two in a row may be lost. Whoever replaces a
/// primary waits at most this long for an instance that does not answer.
pub const LEASE: Duration = Duration::from_millis(1_500);

/// How long a read of the store, which showed no order to replace the primary,
/// counts as a lease. Longer than two readings (500 ms) with the answer of a
/// slow store (250 ms).
pub const STORE_LEASE: Duration = Duration::from_millis(800);

/// A right that was wanted and missing for this long is not expected back soon:
/// requests are refused at once, since another instance can serve them. Long
/// enough for a round of heartbeats and a read of a slow store.
const CUT_OFF_AFTER: Duration = Duration::from_millis(350);

/// An answer: every term above `retired` is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    asked_at: Moment,
    retired: Term,
    /// The latest era that a voter knew when it answered, or the store's own.
    era: Era,
}

/// The right to use the primary of one group, as held by this instance and as
/// granted by it to others.
#[derive(Clone, Debug)]
pub struct PrimaryLease {
    /// Whether this instance is one of the voters.
    votes: bool,
    /// The other voters.
    others: Vec<InstanceId>,
    /// Terms up to this one are neither used nor granted any more.
    retired: Term,
    /// Highest term that somebody used under a grant of this instance.
    used: Term,
    /// Whether orders that an earlier life of this instance may have voted for
    /// are known.
    orders_known: bool,
    /// No new work before this time: the primary is about to be replaced.
    paused_until: Moment,
    grants: BTreeMap<InstanceId, Grant>,
    store_grant: Option<Grant>,
    /// Latest era of the store that this instance knows.
    era: Era,
    /// Readings of the store before this time grant nothing.
    store_from: Moment,
    /// Until when a lease can last that this instance helped to grant.
    given: BTreeMap<InstanceId, Moment>,
    /// Since when the right was wanted and missing.
    missing_since: Option<Moment>,
    /// Highest token of the group's duty that this instance knows.
    highest_token: DutyToken,
    /// Orders that it voted for, until they are settled or outdated.
    voted: Vec<VotedOrder>,
}

/// How long after a start it matters what an earlier life may have promised: a
/// replacement that collected the promise has sent its order by then, or never
/// will, and the new term can be seen.
pub const RESTART_PROMISE_WINDOW: Duration = Duration::from_secs(4);

/// How long an order that got no answer may still be carried out. The platform
/// does so within seconds; until then only the server that it names may be
/// promoted.
const ORDER_OUTSTANDING: Duration = Duration::from_secs(7);

/// What is asked of a voter before a server is promoted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    /// The term that ends.
    pub term: Term,
    /// Token under which the order will go out.
    pub token: DutyToken,
    /// The server that is to lead.
    pub successor: TargetId,
    /// Token of an order by the same instance that was not given, and never
    /// will be; 0 if there is none.
    pub withdrawn: DutyToken,
    /// Era of the store that holds the order; `None` if it is not written there.
    pub written_era: Option<Era>,
}

/// Why a voter does not promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Objection {
    /// A later term is in use: whoever asks does not know the present primary.
    LaterTerm(Term),
    /// Somebody else replaces the primary under a higher token. The platform
    /// may not check tokens, so that the orders could cross.
    HigherToken(DutyToken),
    /// An order for this server may still be carried out.
    OtherSuccessor(TargetId),
    /// The store came back from a copy since the order was written there, and may not
    /// have it.
    LaterEra(Era),
}

/// An order that this instance voted for.
#[derive(Clone, Debug)]
struct VotedOrder {
    token: DutyToken,
    successor: TargetId,
    voted_at: Moment,
}

/// A voter's promise to use and grant a term no more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Promise {
    /// How long leases can last that it helped to grant before.
    pub given: Vec<(InstanceId, Duration)>,
}

impl Default for PrimaryLease {
    /// The right of an instance that has no others.
    fn default() -> Self {
        Self { votes: true, orders_known: true, ..Self::unknown() }
    }
}

impl PrimaryLease {
    /// The right of an instance that knows neither who votes nor what was
    /// ordered: it has none, and grants nothing.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            votes: false,
            others: Vec::new(),
            retired: 0,
            used: 0,
            orders_known: false,
            paused_until: Moment::ZERO,
            grants: BTreeMap::new(),
            store_grant: None,
            era: 0,
            store_from: Moment::ZERO,
            given: BTreeMap::new(),
            missing_since: None,
            highest_token: 0,
            voted: Vec::new(),
        }
    }

    /// The right of an instance that started at `started_at`. For a while the
    /// store alone grants it nothing: an earlier life may have promised to use a
    /// term no more, to somebody who could not write to the store.
    #[must_use]
    pub fn with_start(self, started_at: Moment) -> Self {
        Self { store_from: started_at + RESTART_PROMISE_WINDOW, ..self }
    }

    /// Sets who votes. Grants of all others count no more.
    pub fn set_voters(&mut self, me: &InstanceId, voters: &[InstanceId]) {
        self.votes = voters.contains(me);
        self.others = voters.iter().filter(|voter| *voter != me).cloned().collect();
        let others = &self.others;
        self.grants.retain(|voter, _| others.contains(voter));
    }

    /// Whether these are the voters already.
    #[must_use]
    pub fn has_voters(&self, me: &InstanceId, voters: &[InstanceId]) -> bool {
        let others = voters.iter().filter(|voter| *voter != me);
        self.votes == voters.contains(me) && self.others.iter().eq(others)
    }

    /// The orders in the store are known now: this instance votes. It does so
    /// too when most voters have told it what they grant.
    ///
    /// Without this an instance that promised something, and was restarted,
    /// would grant an old term again. Time alone does not help: an old primary
    /// that is cut off from its successor goes on for as long.
    pub fn orders_known(&mut self) {
        self.orders_known = true;
    }

    /// The store holds an order that ends `term`, or tells that it is retired. An
    /// instance that has just started takes it for a promise of its own.
    pub fn adopt_ended_term(&mut self, term: Term) {
        if !self.orders_known {
            self.retired = self.retired.max(term);
        }
    }

    /// Another instance asks for a lease on a term, 0 if it knows none. Returns
    /// up to which term nothing is granted; `None` while this instance does
    /// not vote.
    pub fn grant(&mut self, now: Moment, to: &InstanceId, term: Term) -> Option<Term> {
        if !self.orders_known {
            return None;
        }
        if term > self.retired {
            self.used = self.used.max(term);
        }
        self.given.retain(|_, until| *until > now);
        self.given.insert(to.clone(), now + LEASE);
        Some(self.retired)
    }

    /// The store came back from a copy, for the `era`th time.
    pub fn note_era(&mut self, era: Era) {
        self.era = self.era.max(era);
    }

    /// A voter answered a question of `asked_at`, when the latest era that it knew was
    /// `era`: it grants all terms above `retired`.
    pub fn granted(&mut self, voter: &InstanceId, asked_at: Moment, retired: Term, era: Era) {
        if !self.others.contains(voter) {
            return;
        }
        self.note_era(era);
        self.grants.insert(voter.clone(), Grant { asked_at, retired, era });
        if !self.orders_known && self.grants.len() >= self.majority() {
            // One of them promised whatever an earlier life of this instance
            // helped to end.
            let retired = self.grants.values().map(|grant| grant.retired).max();
            self.retired = self.retired.max(retired.unwrap_or_default());
            self.orders_known = true;
        }
    }

    /// The store was read at `asked_at`, in an era, and held no order beyond `retired`
    /// + 1.
    pub fn record_store_grant(&mut self, asked_at: Moment, retired: Term, era: Era) {
        self.note_era(era);
        self.store_grant = Some(Grant { asked_at, retired, era });
    }

    /// Until when a term may be used; `None` if it may not.
    #[must_use]
    pub fn lease_end(&self, term: Term) -> Option<Moment> {
        if term <= self.retired || term == 0 {
            return None;
        }
        self.end_by_voters(term).max(self.end_by_store(term))
    }

    /// Only voters get anything from the store: whoever replaces a primary asks
    /// all of them, and not every instance there is.
    fn end_by_store(&self, term: Term) -> Option<Moment> {
        let grant = self.store_grant.filter(|grant| self.votes && grant.retired < term);
        let grant = grant.filter(|grant| grant.asked_at >= self.store_from);
        let grant = grant.filter(|grant| self.store_tells_all_orders(grant, term));
        grant.map(|grant| grant.asked_at + STORE_LEASE)
    }

    /// Whether the store has each order to end a term that a majority promised.
    ///
    /// One that came back from a copy may have lost an order that was written before.
    /// Half of the voters granted the term since they know of its return: whoever
    /// collects the promises of a majority for such an order finds one of them, which
    /// objects.
    fn store_tells_all_orders(&self, reading: &Grant, term: Term) -> bool {
        if self.era == 0 {
            return true;
        }
        let in_era = self.retired_by(self.half());
        reading.era == self.era && in_era.is_some_and(|retired| retired < term)
    }

    /// The highest term that voters have retired, as at least `count` of them told
    /// since they know the latest era of the store; `None` if fewer did.
    fn retired_by(&self, count: usize) -> Option<Term> {
        let others = self.grants.values().filter(|grant| grant.era == self.era);
        let mine = (self.votes && self.orders_known).then_some(self.retired);
        let told: Vec<_> = others.map(|grant| grant.retired).chain(mine).collect();
        (told.len() >= count).then(|| told.into_iter().max().unwrap_or_default())
    }

    /// The highest term that is retired, as most voters told since they know the
    /// latest era of the store; `None` if fewer did.
    #[must_use]
    pub fn retired_by_majority(&self) -> Option<Term> {
        self.retired_by(self.majority())
    }

    fn end_by_voters(&self, term: Term) -> Option<Moment> {
        let valid = self.grants.values().filter(|grant| grant.retired < term);
        let mut ends: Vec<_> = valid.map(|grant| grant.asked_at + LEASE).collect();
        if self.votes && self.orders_known {
            ends.push(Moment::MAX);
        }
        ends.sort_unstable_by(|a, b| b.cmp(a));
        // The lease ends when less than half is left.
        ends.get(self.half() - 1).copied()
    }

    /// Grants that make a lease: half of the voters, rounded up. Whoever replaces
    /// a primary needs the promises of more than half, so that one that grants is
    /// among them. With more than half here too, three of six instances that were
    /// cut off together with a primary served nothing for seven seconds, and the
    /// other three could not replace it.
    fn half(&self) -> usize {
        let voters = self.others.len() + usize::from(self.votes);
        voters.div_ceil(2).max(1)
    }

    fn majority(&self) -> usize {
        let voters = self.others.len() + usize::from(self.votes);
        voters / 2 + 1
    }

    /// Whether a term may be used now.
    #[must_use]
    pub fn holds(&self, now: Moment, term: Term) -> bool {
        self.lease_end(term).is_some_and(|end| end > now)
    }

    /// Whether new work may begin in a term.
    #[must_use]
    pub fn may_begin(&self, now: Moment, term: Term) -> bool {
        self.holds(now, term) && self.paused_until <= now
    }

    /// Begins no new work for a while, so that what runs can end before the
    /// primary is replaced. No promise: the lease stays.
    pub fn pause(&mut self, until: Moment) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Terms up to this one are not used any more.
    #[must_use]
    pub fn retired(&self) -> Term {
        self.retired
    }

    /// A token of the group's duty was seen.
    pub fn observe_token(&mut self, token: DutyToken) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Uses and grants a term no more, so that its successor can be promoted.
    ///
    /// # Errors
    ///
    /// When another change may be under way, or be over.
    pub fn promise(&mut self, now: Moment, ending: &Ending) -> Result<Promise, Objection> {
        self.note_era(ending.written_era.unwrap_or_default());
        if self.used > ending.term {
            return Err(Objection::LaterTerm(self.used));
        }
        if self.highest_token > ending.token {
            return Err(Objection::HigherToken(self.highest_token));
        }
        if ending.written_era.is_some_and(|era| era < self.era) {
            return Err(Objection::LaterEra(self.era));
        }
        self.voted.retain(|voted| {
            voted.voted_at + ORDER_OUTSTANDING > now && voted.token != ending.withdrawn
        });
        // Seconds later it would undo what is ordered now.
        if let Some(other) = self.voted.iter().find(|voted| voted.successor != ending.successor) {
            return Err(Objection::OtherSuccessor(other.successor.clone()));
        }
        self.highest_token = ending.token;
        self.retired = self.retired.max(ending.term);
        self.voted.retain(|voted| voted.token != ending.token);
        let (token, successor) = (ending.token, ending.successor.clone());
        self.voted.push(VotedOrder { token, successor, voted_at: now });
        let lasting = self.given.iter().filter(|(_, until)| **until > now);
        let given = lasting.map(|(id, until)| (id.clone(), until.saturating_sub(now)));
        Ok(Promise { given: given.collect() })
    }

    /// The order under a token was carried out, or never will be.
    pub fn settle(&mut self, token: DutyToken) {
        self.voted.retain(|voted| voted.token != token);
    }

    /// The right to use `term` is wanted now. Returns whether it is there.
    pub fn want(&mut self, now: Moment, term: Term) -> bool {
        if self.holds(now, term) {
            self.missing_since = None;
            return true;
        }
        self.missing_since.get_or_insert(now);
        false
    }

    /// Whether the right has been missing for so long that another instance
    /// should serve.
    #[must_use]
    pub fn is_cut_off(&self, now: Moment, term: Term) -> bool {
        let missing = self.missing_since.is_some_and(|since| since + CUT_OFF_AFTER <= now);
        missing && !self.holds(now, term)
    }
}

/// The promises that a replacement of a primary collects, and when its order may
/// go out.
#[derive(Clone, Debug)]
pub struct PromiseTally {
    voters: Vec<InstanceId>,
    asked: Vec<InstanceId>,
    /// When the order was written into the store; `None` if it could not be.
    written_at: Option<Moment>,
    promised: Vec<InstanceId>,
    given: BTreeMap<InstanceId, Moment>,
}

/// Whether an order may go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// From this moment on.
    From(Moment),
    /// Too few voters have promised.
    TooFewVotes,
    /// Some are silent, and the store does not hold the order that they could
    /// read there.
    SomeUnreachable,
}

impl PromiseTally {
    /// Nobody has promised yet.
    #[must_use]
    pub fn new(
        voters: Vec<InstanceId>,
        asked: Vec<InstanceId>,
        written_at: Option<Moment>,
    ) -> Self {
        Self { voters, asked, written_at, promised: Vec::new(), given: BTreeMap::new() }
    }

    /// An instance promised, in an answer that came at `now`.
    pub fn promised(&mut self, now: Moment, id: &InstanceId, promise: Promise) {
        if !self.promised.contains(id) {
            self.promised.push(id.clone());
        }
        for (to, lasting) in promise.given {
            let until = self.given.entry(to).or_default();
            *until = (*until).max(now + lasting);
        }
    }

    /// Instances that were asked and have not promised.
    pub fn missing(&self) -> impl Iterator<Item = &InstanceId> {
        self.asked.iter().filter(|id| !self.promised.contains(id))
    }

    /// Whether, and from when on, nobody uses the old term any more.
    ///
    /// A silent instance needs half of the grants, one of which must come
    /// from a voter that promised; so its lease ends with the last grant of
    /// these. Or it is a voter and read the store before the order was there.
    #[must_use]
    pub fn readiness(&self, last_resort: bool) -> Readiness {
        let votes = self.voters.iter().filter(|voter| self.promised.contains(voter)).count();
        if votes * 2 <= self.voters.len() && !last_resort {
            return Readiness::TooFewVotes;
        }
        let silent = self.given.iter().filter(|(id, _)| !self.promised.contains(id));
        let by_voters = silent.map(|(_, until)| *until).max().unwrap_or_default();
        if votes == self.voters.len() {
            return Readiness::From(by_voters);
        }
        match self.written_at {
            Some(written_at) => Readiness::From(by_voters.max(written_at + STORE_LEASE)),
            None => Readiness::SomeUnreachable,
        }
    }
}
