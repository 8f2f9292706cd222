//! Failure detection for the primary of a group: decides when to suspect the
//! primary and when to replace it.
//!
//! The platform does not report a failed primary, and replacing a working one
//! costs a second without writes. An instance therefore replaces a primary only
//! when it fails probes on new connections and the other instances cannot reach it
//! either.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::group::Group;
use crate::id::TargetId;
use crate::moment::Moment;

/// An action that the caller of [`LeaderWatch`] has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Query a server for its state on a new connection.
    Probe(TargetId),
    /// Query a server for its state on a connection of the pool, to get the position
    /// of its log.
    Sample(TargetId),
    /// Ask the other instances whether they reach this primary, or which server leads
    /// if it is `None`.
    AskPeers(Option<TargetId>),
    /// Replace the primary.
    Replace {
        /// The primary to replace; `None` if no server leads.
        from: Option<TargetId>,
        /// Why the primary is replaced.
        reason: ReplaceReason,
    },
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceReason {
    /// The primary is draining.
    Leaving,
    /// No instance reaches it.
    Unreachable,
    /// No server leads.
    Absent,
    /// No primary has been reached for so long that even a server which missed a
    /// change of primary may be promoted.
    LastResort,
}

/// Counts of the other instances by what they report about a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReports {
    /// Instances that the primary answers.
    pub reached: usize,
    /// Instances that the primary does not answer.
    pub failed: usize,
    /// Instances that have not tried to reach the primary.
    pub unknown: usize,
    /// Instances that did not answer the request for a report, because they have failed
    /// or are partitioned from this one.
    pub unresponsive: usize,
    /// Whether one of the instances is replacing the primary.
    pub replacing: bool,
}

/// A suspicion that the primary has failed, or that no server leads.
#[derive(Clone, Debug)]
struct Suspicion {
    /// The suspected primary; `None` if no server leads.
    leader: Option<TargetId>,
    since: Moment,
    probed_at: Option<Moment>,
    failed_probes: u32,
    asked_at: Option<Moment>,
    /// Rounds of reports from the other instances.
    rounds: u32,
    /// Whether none of the answering instances reaches the primary, and too few
    /// instances answer to replace it.
    out_of_reach: bool,
    /// When the reports confirmed that the primary should be replaced.
    confirmed_at: Option<Moment>,
}

/// Monitors the primary of one group.
#[derive(Clone, Debug, Default)]
pub struct LeaderWatch {
    suspicion: Option<Suspicion>,
    /// The draining primary, and since when it drains.
    draining_since: Option<(TargetId, Moment)>,
    /// An instance is replacing the primary; this one starts no replacement before
    /// this time.
    replacement_until: Moment,
    /// This instance leaves the replacement to others before this time.
    deferred_until: Moment,
    /// Whether the store, which has to accept the order to replace a primary, fails for this
    /// instance.
    lacks_store: bool,
    sampled_at: Option<Moment>,
    /// When each failed replica was last probed.
    replicas_probed_at: BTreeMap<TargetId, Moment>,
    suspected_at: Option<Moment>,
}

/// Shortest time between two probes of a primary that takes long to answer a
/// statement. Each probe opens a connection.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two probes. A probe on a new connection takes 12 to 27 ms at
/// a server that works.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two probes while an instance replaces the primary. That instance
/// reports the new primary when the replacement completes. Each probe occupies a
/// slot of a server for 12 ms or more, and all instances send probes.
const PROBE_INTERVAL_DURING_REPLACEMENT: Duration = Duration::from_millis(500);

/// Failed probes before the other instances are asked. One probe may fail because
/// the server's connection queue is full.
const PROBES_BEFORE_ASKING: u32 = 2;

/// Time between two rounds of requests to the other instances. In between,
/// instances that had not tried to reach the primary can probe it.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds to wait for instances that have not tried to reach the primary. From this
/// round on they count as instances that do not reach it.
const ROUNDS_FOR_UNKNOWN: u32 = 3;

/// Rounds before a primary counts as out of reach. One round may fail because
/// instances are slow to answer.
const ROUNDS_OUT_OF_REACH: u32 = 2;

/// How long a group may have no primary before the other instances are asked. A
/// promotion that another instance ordered takes up to a second.
const ABSENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Duration of a suspicion after which replacement is a last resort. This is longer
/// than most partitions. Unresponsive instances then count as failed, and a server
/// that missed a change of primary may be promoted.
const LAST_RESORT_AFTER: Duration = Duration::from_secs(10);

/// Additional delay for each further rank in the succession, so that the first
/// instance can act alone.
const STAGGER: Duration = Duration::from_millis(700);

/// How long the other instances wait after one began to replace the primary. This
/// is longer than the longest promotion (1 s) and a retry.
pub const REPLACEMENT_TIME: Duration = Duration::from_millis(2_500);

/// Time between two probes of a replica that failed. Reads also avoid such a replica
/// for longer with each failure, up to 3 s.
const FAILED_REPLICA_CHECK: Duration = Duration::from_millis(500);

/// Age at which a sample of the primary's position is renewed. This is a fraction of
/// the smallest staleness that clients allow (1.5 s), so that a replica that is a
/// second behind still qualifies.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(400);

/// Shortest time between two requests for a sample.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

impl LeaderWatch {
    /// Returns the actions that are due. `rank` is this instance's place in the
    /// succession; `None` if it takes no duties.
    pub fn tick(&mut self, now: Moment, group: &Group, rank: Option<usize>) -> Vec<WatchAction> {
        let mut actions = Vec::new();
        self.sample(now, group, &mut actions);
        let lagging_replicas = group.lagging_replicas(now).filter(|view| view.failures == 0);
        actions.extend(lagging_replicas.map(|view| WatchAction::Sample(view.info.id.clone())));
        self.probe_failed_replicas(now, group, &mut actions);
        self.check_draining_primary(now, group, rank, &mut actions);
        self.check_failing_primary(now, group, rank, &mut actions);
        actions
    }

    /// Probes replicas that failed, to detect that they are back.
    ///
    /// A read would detect it too, but no read goes to a replica that was also far
    /// behind when it last answered. Without these probes, a replica that failed
    /// while it lagged would never be contacted again, and the primary would serve
    /// its reads.
    fn probe_failed_replicas(
        &mut self,
        now: Moment,
        group: &Group,
        actions: &mut Vec<WatchAction>,
    ) {
        self.replicas_probed_at.retain(|_, at| *at + FAILED_REPLICA_CHECK > now);
        for view in group.failed_replicas(now) {
            if !self.replicas_probed_at.contains_key(&view.info.id) {
                self.replicas_probed_at.insert(view.info.id.clone(), now);
                actions.push(WatchAction::Probe(view.info.id.clone()));
            }
        }
    }

    fn sample(&mut self, now: Moment, group: &Group, actions: &mut Vec<WatchAction>) {
        let Some(leader) = group.leader() else {
            return;
        };
        // Other instances report the primary's position but not its term, and the
        // lease needs the term.
        let known = leader.term > 0;
        if known && group.sample_age(now).is_some_and(|age| age < MAX_SAMPLE_AGE) {
            return;
        }
        if self.sampled_at.is_some_and(|at| at + SAMPLE_INTERVAL > now) {
            return;
        }
        self.sampled_at = Some(now);
        actions.push(WatchAction::Sample(leader.id.clone()));
    }

    fn check_draining_primary(
        &mut self,
        now: Moment,
        group: &Group,
        rank: Option<usize>,
        actions: &mut Vec<WatchAction>,
    ) {
        // Only a primary that reported its term counts. A listed primary may have a
        // successor already, which would then be replaced instead.
        let leaving = group
            .confirmed_leader()
            .filter(|leader| group.server(&leader.id).is_some_and(|view| view.info.draining));
        let Some(leader) = leaving else {
            self.draining_since = None;
            return;
        };
        let since = match &self.draining_since {
            Some((id, since)) if *id == leader.id => *since,
            _ => {
                self.draining_since = Some((leader.id.clone(), now));
                now
            }
        };
        if self.may_start_replacement(now, since, rank) {
            let from = Some(leader.id.clone());
            actions.push(WatchAction::Replace { from, reason: ReplaceReason::Leaving });
        }
    }

    fn may_start_replacement(
        &self,
        now: Moment,
        confirmed_at: Moment,
        rank: Option<usize>,
    ) -> bool {
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return false;
        };
        let free = now >= self.replacement_until && now >= self.deferred_until;
        now >= confirmed_at + STAGGER * rank && free
    }

    fn check_failing_primary(
        &mut self,
        now: Moment,
        group: &Group,
        rank: Option<usize>,
        actions: &mut Vec<WatchAction>,
    ) {
        let leader = group.leader().map(|leader| leader.id.clone());
        let failing = leader.as_ref().is_none_or(|id| {
            let failed = group.server(id).is_some_and(|view| view.failures > 0);
            failed || self.is_suspected(group, id)
        });
        // A group without servers has no candidate for a promotion.
        if !failing || group.servers().next().is_none() {
            self.suspicion = None;
            return;
        }
        let same = self.suspicion.as_ref().is_some_and(|suspicion| suspicion.leader == leader);
        if !same {
            self.suspicion = Some(Suspicion::new(leader.clone(), now));
        }
        let Some(suspicion) = &mut self.suspicion else {
            return;
        };
        let under_replacement = now < self.replacement_until;
        suspicion.probe(now, group, under_replacement, actions);
        suspicion.ask(now, actions);
        let (since, confirmed_at) = (suspicion.since, suspicion.confirmed_at);
        let Some(confirmed_at) = confirmed_at else {
            return;
        };
        if self.may_start_replacement(now, confirmed_at, rank) {
            let reason = match leader {
                _ if since + LAST_RESORT_AFTER <= now => ReplaceReason::LastResort,
                Some(_) => ReplaceReason::Unreachable,
                None => ReplaceReason::Absent,
            };
            actions.push(WatchAction::Replace { from: leader, reason });
        }
    }

    /// Whether a primary is under suspicion and has not answered anything since.
    fn is_suspected(&self, group: &Group, leader: &TargetId) -> bool {
        let suspicion =
            self.suspicion.as_ref().filter(|suspicion| suspicion.leader.as_ref() == Some(leader));
        suspicion.is_some_and(|suspicion| !group.has_answered_since(leader, suspicion.since))
    }

    /// Records that the primary takes long to answer a statement, and returns the
    /// probe to send, if one is due.
    ///
    /// A failure of this first probe counts towards the probes that have to fail.
    /// When it did not count, an unresponsive primary was detected only 770 ms after
    /// its last answer.
    pub fn suspect_primary(&mut self, now: Moment, group: &Group) -> Option<WatchAction> {
        if self.suspected_at.is_some_and(|at| at + SUSPICION_INTERVAL > now) {
            return None;
        }
        self.suspected_at = Some(now);
        let leader = group.leader().map(|leader| leader.id.clone())?;
        if self
            .suspicion
            .as_ref()
            .is_none_or(|suspicion| suspicion.leader.as_ref() != Some(&leader))
        {
            self.suspicion = Some(Suspicion::new(Some(leader.clone()), now));
        }
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.probed_at = Some(now);
        }
        Some(WatchAction::Probe(leader))
    }

    /// Records that a probe of the server `id` on a new connection failed.
    pub fn probe_failed(&mut self, id: &TargetId) {
        if let Some(suspicion) = &mut self.suspicion {
            if suspicion.leader.as_ref() == Some(id) {
                suspicion.failed_probes += 1;
            }
        }
    }

    /// Records a round of reports from the other instances about the primary `about`.
    pub fn record_reports(&mut self, now: Moment, about: Option<&TargetId>, reports: PeerReports) {
        if reports.replacing {
            self.replacing(now);
        }
        let Some(suspicion) = &mut self.suspicion else {
            return;
        };
        if suspicion.leader.as_ref() != about {
            return;
        }
        suspicion.rounds += 1;
        let lasting = suspicion.since + LAST_RESORT_AFTER <= now;
        let is_out_of_reach = none_reaches(reports) && (self.lacks_store || are_too_few(reports));
        suspicion.out_of_reach = suspicion.rounds >= ROUNDS_OUT_OF_REACH && is_out_of_reach;
        if should_replace(reports, suspicion.rounds, lasting) {
            suspicion.confirmed_at.get_or_insert(now);
        } else {
            suspicion.confirmed_at = None;
        }
    }

    /// Records whether the store fails for this instance.
    pub fn set_lacks_store(&mut self, lacks_store: bool) {
        self.lacks_store = lacks_store;
    }

    /// The primary that can neither be reached nor replaced from this side of a
    /// partition, or while the store fails, if there is one.
    ///
    /// Requests that need it should be refused at once, so that their clients turn to
    /// an instance on the other side, or come back later. Otherwise they wait for their
    /// whole time limit, 760 ms or more, before they fail for lack of a primary.
    #[must_use]
    pub fn out_of_reach(&self) -> Option<&TargetId> {
        let suspicion = self.suspicion.as_ref().filter(|suspicion| suspicion.out_of_reach);
        suspicion.and_then(|suspicion| suspicion.leader.as_ref())
    }

    /// Records that an instance, possibly this one, is replacing the primary.
    pub fn replacing(&mut self, now: Moment) {
        self.replacement_until = now + REPLACEMENT_TIME;
    }

    /// Whether an instance, possibly this one, is replacing the primary, as far as is known.
    #[must_use]
    pub fn is_replacement_expected(&self, now: Moment) -> bool {
        now < self.replacement_until
    }

    /// Leaves the replacement to other instances for a while, because this one cannot
    /// perform it now. The time suffices for the next two ranks in the succession and a
    /// replacement.
    pub fn defer_replacement(&mut self, now: Moment) {
        self.deferred_until = now + STAGGER * 2 + REPLACEMENT_TIME;
    }

    /// Ends the time for which this instance leaves the replacement to others.
    pub fn end_deferral(&mut self) {
        self.deferred_until = Moment::ZERO;
    }

    /// Records that a replacement ended without a new primary, so that it may be
    /// tried again at once.
    pub fn replacement_failed(&mut self, now: Moment) {
        self.replacement_until = now;
    }
}

/// Whether a primary that does not answer this instance should be replaced, after
/// this many rounds of reports.
///
/// The primary is kept while another instance reaches it: it may have acknowledged
/// commits that no replica has received, and these would be lost. Meanwhile the
/// other instance can serve the clients.
///
/// More than half of all instances have to report that they do not reach the
/// primary, because the unresponsive instances may be on the other side of a
/// partition together with it. Without this rule, three of eight instances replaced
/// a primary to which the other five continued to write, and 45 acknowledged commits
/// were lost. When the suspicion is `lasting`, unresponsive instances count as failed
/// and do not take part in the vote.
#[must_use]
pub fn should_replace(reports: PeerReports, rounds: u32, lasting: bool) -> bool {
    if reports.reached > 0 {
        return false;
    }
    if reports.unknown > 0 && rounds < ROUNDS_FOR_UNKNOWN {
        return false;
    }
    let votes = reports.failed + reports.unknown + 1;
    let all = if lasting { votes } else { votes + reports.unresponsive };
    votes * 2 > all
}

/// Whether none of the answering instances reaches a primary, or replaces it.
fn none_reaches(reports: PeerReports) -> bool {
    reports.reached == 0 && reports.unknown == 0 && !reports.replacing
}

/// Whether too few instances answer to replace a primary.
fn are_too_few(reports: PeerReports) -> bool {
    let answering = reports.failed + 1;
    answering <= reports.unresponsive
}

impl Suspicion {
    fn new(leader: Option<TargetId>, now: Moment) -> Self {
        Self {
            leader,
            since: now,
            probed_at: None,
            failed_probes: 0,
            asked_at: None,
            rounds: 0,
            out_of_reach: false,
            confirmed_at: None,
        }
    }

    /// Probes the primary, which may be back. The other servers are probed too if there
    /// is no primary, or once enough probes of it have failed, since one of them may
    /// lead.
    fn probe(
        &mut self,
        now: Moment,
        group: &Group,
        under_replacement: bool,
        actions: &mut Vec<WatchAction>,
    ) {
        let interval =
            if under_replacement { PROBE_INTERVAL_DURING_REPLACEMENT } else { PROBE_INTERVAL };
        if self.probed_at.is_some_and(|at| at + interval > now) {
            return;
        }
        self.probed_at = Some(now);
        if let Some(leader) = &self.leader {
            actions.push(WatchAction::Probe(leader.clone()));
            // After that, another instance may have replaced the primary already.
            if self.failed_probes < PROBES_BEFORE_ASKING {
                return;
            }
        }
        let others = group.servers().filter(|view| Some(&view.info.id) != self.leader.as_ref());
        actions.extend(others.map(|view| WatchAction::Probe(view.info.id.clone())));
    }

    /// Asks the other instances about the primary, once enough probes have failed or
    /// there has been no primary for long enough.
    fn ask(&mut self, now: Moment, actions: &mut Vec<WatchAction>) {
        let due = match self.leader {
            Some(_) => self.failed_probes >= PROBES_BEFORE_ASKING,
            None => self.since + ABSENCE_LIMIT <= now,
        };
        if !due || self.asked_at.is_some_and(|at| at + ASK_INTERVAL > now) {
            return;
        }
        self.asked_at = Some(now);
        actions.push(WatchAction::AskPeers(self.leader.clone()));
    }
}
