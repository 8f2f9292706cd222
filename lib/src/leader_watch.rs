//! When an instance doubts the primary of a group, and when it replaces it.
//!
//! Nobody else reports that a primary is dead, and replacing one that lives
//! costs a second without writes. So several signs have to come together: it
//! does not answer on new connections, and other instances do not reach it
//! either.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::group::Group;
use crate::id::TargetId;
use crate::moment::Moment;

/// What the watch wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Ask a server for its state on a new connection.
    Probe(TargetId),
    /// Ask a server for its state on a connection of the pool, to learn the
    /// position of the log.
    Sample(TargetId),
    /// Ask the other instances whether they reach this primary.
    AskPeers(Option<TargetId>),
    /// Replace the primary, which is `from`, if any.
    Replace {
        /// The primary that is given up.
        from: Option<TargetId>,
        /// Why.
        reason: ReplaceReason,
    },
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceReason {
    /// It is about to leave.
    Leaving,
    /// No instance reaches it.
    Unreachable,
    /// No server leads.
    Absent,
    /// No server has been reached that leads for so long that one which missed
    /// a change of primary has to do.
    LastResort,
}

/// What other instances say about a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReports {
    /// Those that it answers.
    pub reached: usize,
    /// Those that it does not answer.
    pub failed: usize,
    /// Those that have not tried.
    pub unknown: usize,
    /// Those that did not answer the question: dead, or behind a partition.
    pub silent: usize,
    /// Whether one of them is replacing it.
    pub replacing: bool,
}

/// A doubt about the primary.
#[derive(Clone, Debug)]
struct Doubt {
    leader: Option<TargetId>,
    since: Moment,
    probed_at: Option<Moment>,
    failed_probes: u32,
    asked_at: Option<Moment>,
    rounds: u32,
    /// Whether nobody who answers reaches it, and those who do not answer could
    /// outvote the others.
    out_of_reach: bool,
    /// When it became certain enough to act.
    confirmed_at: Option<Moment>,
}

/// Watches the primary of one group.
#[derive(Clone, Debug, Default)]
pub struct LeaderWatch {
    doubt: Option<Doubt>,
    /// Since when the primary is seen to be leaving.
    leaving_since: Option<(TargetId, Moment)>,
    /// Somebody replaces the primary; nobody else should before this time.
    quiet_until: Moment,
    /// Others should replace the primary until then.
    stepped_back_until: Moment,
    sampled_at: Option<Moment>,
    /// When replicas that had failed were last asked.
    replicas_probed_at: BTreeMap<TargetId, Moment>,
    suspected_at: Option<Moment>,
}

/// A primary that is slow and alive is asked whether it is alive no more often
/// than this: each question opens a connection.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two probes. A probe on a new connection takes 12 to 27 ms at
/// a server that works.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two probes while somebody replaces the primary: that tells who
/// leads when it is over. Each probe takes a slot of a server for 12 ms or more,
/// and all instances ask.
const PROBE_INTERVAL_QUIET: Duration = Duration::from_millis(500);

/// Failed probes before other instances are asked. One may be lost to a full
/// queue of connections.
const PROBES_BEFORE_ASKING: u32 = 2;

/// Time between two rounds of questions to other instances: those that had
/// not tried can probe meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds after which instances that know nothing do not count any more.
const ROUNDS_FOR_UNKNOWN: u32 = 3;

/// Rounds after which a primary that nobody here reaches is given up for as long
/// as that lasts: one may be lost to instances that are slow to answer.
const ROUNDS_OUT_OF_REACH: u32 = 2;

/// Without any leader, this long is left for one to appear: a promotion that
/// another instance ordered takes up to a second.
const ABSENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// A doubt that lasts longer than partitions usually do. Then silent instances
/// are taken for dead, and a server that missed a change of primary may lead.
const LAST_RESORT_AFTER: Duration = Duration::from_secs(10);

/// Each further instance in the succession waits this much longer, so that
/// the first can act alone.
const STAGGER: Duration = Duration::from_millis(700);

/// After somebody began to replace the primary, others leave it this long:
/// longer than the longest promotion (1 s) and a retry.
pub const REPLACEMENT_TIME: Duration = Duration::from_millis(2_500);

/// Time between two questions to a replica that failed; with each failure it is
/// also avoided for longer, up to 3 s.
const FAILED_REPLICA_CHECK: Duration = Duration::from_millis(500);

/// A sample of the primary's position older than this is renewed. A fraction
/// of the smallest staleness that clients allow (1.5 s), so that a replica
/// behind by a second still qualifies.
const SAMPLE_AGE: Duration = Duration::from_millis(400);

/// Samples are not asked for more often than this.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

impl LeaderWatch {
    /// Decides what to do now. `rank` is this instance's place in the
    /// succession, `None` if it takes no duties.
    pub fn tick(&mut self, now: Moment, group: &Group, rank: Option<usize>) -> Vec<WatchAction> {
        let mut actions = Vec::new();
        self.sample(now, group, &mut actions);
        let lagging_replicas = group.lagging_replicas(now).filter(|view| view.failures == 0);
        actions.extend(lagging_replicas.map(|view| WatchAction::Sample(view.info.id.clone())));
        self.probe_failed_replicas(now, group, &mut actions);
        self.watch_leaving(now, group, rank, &mut actions);
        self.watch_failing(now, group, rank, &mut actions);
        actions
    }

    /// Asks replicas that failed whether they are back.
    ///
    /// Reads find that out by themselves, but none goes to a replica that was also
    /// far behind when it was last heard: one that had failed while it lagged was
    /// asked by nobody any more, and the primary had its reads.
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
        // Others tell its position and not its term, without which there is no
        // right to use it.
        let known = leader.term > 0;
        if known && group.sample_age(now).is_some_and(|age| age < SAMPLE_AGE) {
            return;
        }
        if self.sampled_at.is_some_and(|at| at + SAMPLE_INTERVAL > now) {
            return;
        }
        self.sampled_at = Some(now);
        actions.push(WatchAction::Sample(leader.id.clone()));
    }

    fn watch_leaving(
        &mut self,
        now: Moment,
        group: &Group,
        rank: Option<usize>,
        actions: &mut Vec<WatchAction>,
    ) {
        // One that was succeeded already would be replaced in the place of its
        // successor.
        let leaving = group
            .confirmed_leader()
            .filter(|leader| group.server(&leader.id).is_some_and(|view| view.info.draining));
        let Some(leader) = leaving else {
            self.leaving_since = None;
            return;
        };
        let since = match &self.leaving_since {
            Some((id, since)) if *id == leader.id => *since,
            _ => {
                self.leaving_since = Some((leader.id.clone(), now));
                now
            }
        };
        if self.may_act(now, since, rank) {
            let from = Some(leader.id.clone());
            actions.push(WatchAction::Replace { from, reason: ReplaceReason::Leaving });
        }
    }

    fn may_act(&self, now: Moment, confirmed_at: Moment, rank: Option<usize>) -> bool {
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return false;
        };
        let free = now >= self.quiet_until && now >= self.stepped_back_until;
        now >= confirmed_at + STAGGER * rank && free
    }

    fn watch_failing(
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
        // A group without any server has nobody to lead it.
        if !failing || group.servers().next().is_none() {
            self.doubt = None;
            return;
        }
        let same = self.doubt.as_ref().is_some_and(|doubt| doubt.leader == leader);
        if !same {
            self.doubt = Some(Doubt::new(leader.clone(), now));
        }
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        let quiet = now < self.quiet_until;
        doubt.probe(now, group, quiet, actions);
        doubt.ask(now, actions);
        let (since, confirmed_at) = (doubt.since, doubt.confirmed_at);
        let Some(confirmed_at) = confirmed_at else {
            return;
        };
        if self.may_act(now, confirmed_at, rank) {
            let reason = match leader {
                _ if since + LAST_RESORT_AFTER <= now => ReplaceReason::LastResort,
                Some(_) => ReplaceReason::Unreachable,
                None => ReplaceReason::Absent,
            };
            actions.push(WatchAction::Replace { from: leader, reason });
        }
    }

    /// Whether a primary is doubted and has not answered anything since.
    fn is_suspected(&self, group: &Group, leader: &TargetId) -> bool {
        let doubt = self.doubt.as_ref().filter(|doubt| doubt.leader.as_ref() == Some(leader));
        doubt.is_some_and(|doubt| !group.has_answered_since(leader, doubt.since))
    }

    /// The primary takes long to answer a statement.
    ///
    /// It is probed as one that fails from the start: a primary that went dark
    /// was found dead 770 ms after its last answer (median of ten) when the
    /// first probe only raised the doubt in which the others were counted.
    pub fn suspected(&mut self, now: Moment, group: &Group) -> Option<WatchAction> {
        if self.suspected_at.is_some_and(|at| at + SUSPICION_INTERVAL > now) {
            return None;
        }
        self.suspected_at = Some(now);
        let leader = group.leader().map(|leader| leader.id.clone())?;
        if self.doubt.as_ref().is_none_or(|doubt| doubt.leader.as_ref() != Some(&leader)) {
            self.doubt = Some(Doubt::new(Some(leader.clone()), now));
        }
        if let Some(doubt) = &mut self.doubt {
            doubt.probed_at = Some(now);
        }
        Some(WatchAction::Probe(leader))
    }

    /// A probe of the primary on a new connection failed.
    pub fn probe_failed(&mut self, id: &TargetId) {
        if let Some(doubt) = &mut self.doubt {
            if doubt.leader.as_ref() == Some(id) {
                doubt.failed_probes += 1;
            }
        }
    }

    /// Other instances answered.
    pub fn heard(&mut self, now: Moment, about: Option<&TargetId>, opinions: PeerReports) {
        if opinions.replacing {
            self.replacing(now);
        }
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        if doubt.leader.as_ref() != about {
            return;
        }
        doubt.rounds += 1;
        let lasting = doubt.since + LAST_RESORT_AFTER <= now;
        doubt.out_of_reach = doubt.rounds >= ROUNDS_OUT_OF_REACH && is_out_of_reach(opinions);
        if should_replace(opinions, doubt.rounds, lasting) {
            doubt.confirmed_at.get_or_insert(now);
        } else {
            doubt.confirmed_at = None;
        }
    }

    /// The primary that can neither be reached nor replaced from this side of a
    /// partition, if there is one.
    ///
    /// Requests for it waited for their whole time, 760 ms and more, and were told
    /// that there was no primary; refused at once, their clients reach an
    /// instance on the other side.
    #[must_use]
    pub fn out_of_reach(&self) -> Option<&TargetId> {
        let doubt = self.doubt.as_ref().filter(|doubt| doubt.out_of_reach);
        doubt.and_then(|doubt| doubt.leader.as_ref())
    }

    /// Somebody, maybe this instance, replaces the primary now.
    pub fn replacing(&mut self, now: Moment) {
        self.quiet_until = now + REPLACEMENT_TIME;
    }

    /// This instance cannot replace the primary now, and others may: it leaves
    /// it to them for the time of two in the succession and a replacement.
    pub fn step_back(&mut self, now: Moment) {
        self.stepped_back_until = now + STAGGER * 2 + REPLACEMENT_TIME;
    }

    /// A replacement ended without a new primary; it may be tried again.
    pub fn replacement_failed(&mut self, now: Moment) {
        self.quiet_until = now;
    }
}

/// Whether a primary that does not answer this instance should be replaced.
///
/// Never while another instance reaches it: it may have acknowledged commits
/// that no replica has received, and they would be lost. Its clients are
/// served through that other instance meanwhile.
///
/// And only with the votes of more than half of all instances, since those
/// that are silent may be on the other side of a partition together with the
/// primary. Without that, three of eight instances replaced a primary on which
/// the other five went on writing, and 45 acknowledged commits were lost. When
/// the doubt is `lasting`, the silent ones are taken for dead.
#[must_use]
pub fn should_replace(opinions: PeerReports, rounds: u32, lasting: bool) -> bool {
    if opinions.reached > 0 {
        return false;
    }
    if opinions.unknown > 0 && rounds < ROUNDS_FOR_UNKNOWN {
        return false;
    }
    let votes = opinions.failed + opinions.unknown + 1;
    let all = if lasting { votes } else { votes + opinions.silent };
    votes * 2 > all
}

/// Whether nobody who answers reaches a primary, and too few answer to replace
/// it.
fn is_out_of_reach(opinions: PeerReports) -> bool {
    let nobody = opinions.reached == 0 && opinions.unknown == 0 && !opinions.replacing;
    let answering = opinions.failed + 1;
    nobody && answering <= opinions.silent
}

impl Doubt {
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

    /// The primary may have come back, and without one any server may lead.
    fn probe(&mut self, now: Moment, group: &Group, quiet: bool, actions: &mut Vec<WatchAction>) {
        let interval = if quiet { PROBE_INTERVAL_QUIET } else { PROBE_INTERVAL };
        if self.probed_at.is_some_and(|at| at + interval > now) {
            return;
        }
        self.probed_at = Some(now);
        if let Some(leader) = &self.leader {
            actions.push(WatchAction::Probe(leader.clone()));
            // Another instance may have replaced it already.
            if self.failed_probes < PROBES_BEFORE_ASKING {
                return;
            }
        }
        let others = group.servers().filter(|view| Some(&view.info.id) != self.leader.as_ref());
        actions.extend(others.map(|view| WatchAction::Probe(view.info.id.clone())));
    }

    fn ask(&mut self, now: Moment, actions: &mut Vec<WatchAction>) {
        let certain = match self.leader {
            Some(_) => self.failed_probes >= PROBES_BEFORE_ASKING,
            None => self.since + ABSENCE_LIMIT <= now,
        };
        if !certain || self.asked_at.is_some_and(|at| at + ASK_INTERVAL > now) {
            return;
        }
        self.asked_at = Some(now);
        actions.push(WatchAction::AskPeers(self.leader.clone()));
    }
}
