//! Routing of reads within a group: the lowest log position that a read must see
//! (its floor), and the servers that can be expected to have it.

use std::time::Duration;

use crate::catalog::Consistency;
use crate::group::Group;
use crate::group::ServerView;
use crate::id::TargetId;
use crate::moment::Moment;
use crate::position::Position;
use crate::session_floors::OwnCommits;
use crate::session_floors::OwnPosition;

/// A read may be sent to a server this long before the server is expected to reach the
/// read's floor: about the time that a statement takes to arrive there and begin.
const READ_LEAD_TIME: Duration = Duration::from_millis(4);

/// A replica that is further behind than this counts as lagging and is queried for its
/// state from time to time.
const LAGGING_THRESHOLD: Duration = Duration::from_millis(300);

/// Time without an answer after which a lagging replica is queried.
const LAGGING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Smallest assumed delay of a server that lacks a requested position. It is added to
/// the time since the primary is known to have reached the position, if that is known.
/// A few times less than the usual replication delay of 60 ms, so that the server soon
/// gets reads again.
const MIN_ASSUMED_DELAY: Duration = Duration::from_millis(20);

/// How long a server is avoided for each consecutive failed exchange. This way an
/// unreachable server fails only few requests of each instance.
const AVOID_STEP: Duration = Duration::from_millis(500);

/// Longest time for which a server is avoided.
const AVOID_LIMIT: Duration = Duration::from_secs(3);

/// Reciprocal of the weight of the newest sample in the smoothed read time.
const READ_TIME_SMOOTHING: u32 = 8;

impl Group {
    /// Records an answer of a server, with the last position that it had applied, if the
    /// answer contains it.
    pub fn observe_answer(&mut self, now: Moment, id: &TargetId, applied: Option<Position>) {
        let Some(view) = self.servers.get_mut(id) else {
            return;
        };
        view.failures = 0;
        view.answered_at = now;
        self.out_of_reach.take_if(|out| out == id);
        view.avoided_until = Moment::ZERO;
        if let Some(applied) = applied {
            view.applied = applied;
            let lacks_since = self.samples.passed_at(applied);
            view.behind = lacks_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        }
    }

    /// Records an answer that only a primary gives, to a request sent at `asked_at`: a
    /// write, or a statement in a transaction that may write.
    pub fn observe_leading(
        &mut self,
        asked_at: Moment,
        now: Moment,
        id: &TargetId,
        position: Position,
    ) {
        self.observe_answer(now, id, Some(position));
        let term = self.leader.as_ref().filter(|leader| leader.id == *id).map(|leader| leader.term);
        if let Some(term) = term {
            self.record_sample(asked_at, term, position);
        }
    }

    /// Records that a server lacks `floor` and has applied `applied`.
    ///
    /// Returns whether this proves that `floor` was rolled back. That is so if the
    /// server's log has entries of a later term, since it then contains every entry of
    /// the earlier term that survived.
    pub fn observe_lagging(
        &mut self,
        now: Moment,
        id: &TargetId,
        floor: Position,
        applied: Option<Position>,
    ) -> bool {
        self.observe_answer(now, id, applied);
        let reached_at = self.samples.reached_at(floor);
        let is_lower_bound = applied.is_some_and(|applied| self.samples.begin_after(applied));
        if let Some(view) = self.servers.get_mut(id) {
            let known = reached_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            view.behind = view.behind.max(known + MIN_ASSUMED_DELAY);
            // Without samples that are old enough, the delay is only known to be at least as
            // long as the samples go back. An assumed delay that rose by a constant would let
            // each read of an instance that has just started try the server every few
            // milliseconds until it has caught up.
            if is_lower_bound {
                view.behind *= 2;
            }
        }
        let leader_term = match &self.leader {
            Some(leader) if leader.id == *id => leader.term,
            _ => 0,
        };
        let log_term = applied.map_or(0, |position| position.term).max(leader_term);
        let rolled_back = log_term > floor.term;
        if rolled_back {
            self.samples.clear();
        }
        rolled_back
    }

    /// Records a failed exchange with a server: no connection, or no answer.
    pub fn observe_failure(&mut self, now: Moment, id: &TargetId) {
        let Some(view) = self.servers.get_mut(id) else {
            return;
        };
        view.failures += 1;
        let avoided_for = (AVOID_STEP * view.failures).min(AVOID_LIMIT);
        view.avoided_until = now + avoided_for;
    }

    /// Smoothed duration of reads at a server; zero if there is none yet.
    #[must_use]
    pub fn read_time(&self, id: &str) -> Duration {
        self.servers.get(id).map_or(Duration::ZERO, |view| view.read_time)
    }

    /// Records the duration of a read at a server.
    pub fn observe_read_time(&mut self, id: &TargetId, took: Duration) {
        if let Some(view) = self.servers.get_mut(id) {
            let kept = view.read_time * (READ_TIME_SMOOTHING - 1);
            view.read_time = (kept + took) / READ_TIME_SMOOTHING;
        }
    }

    /// Lowest position that a read which arrived at `arrived_at` has to see, in a session with
    /// these own commits. `None` if only the primary can answer the read, because it must see the
    /// latest commits or because no sample of the primary's position is young enough.
    ///
    /// Nor can a replica answer if it is not known which own commits the read has to see, or if the
    /// log lacks one although it was not rolled back: the group was removed and created again under
    /// its name, and a position of the former log means nothing in the present one.
    #[must_use]
    pub fn floor(
        &self,
        arrived_at: Moment,
        consistency: Consistency,
        own: OwnCommits,
    ) -> Option<Position> {
        match consistency {
            Consistency::Latest => None,
            Consistency::Bounded(age) => self.samples.floor(arrived_at, age),
            Consistency::ReadYourWrites(age) => {
                let floor = self.samples.floor(arrived_at, age)?;
                match own {
                    OwnCommits::None => Some(floor),
                    OwnCommits::UpTo(own) if !self.is_of_other_log(arrived_at, own) => {
                        Some(self.surviving(own.position).max(floor))
                    }
                    OwnCommits::UpTo(_) | OwnCommits::Unknown => None,
                }
            }
        }
    }

    /// Whether the primary lacks a commit that was acknowledged to a session. With the lease on
    /// its term it has every acknowledged commit of its log.
    fn is_of_other_log(&self, now: Moment, own: OwnPosition) -> bool {
        let Some(leader) = self.usable_leader(now) else {
            return false;
        };
        let position = self.surviving(own.position);
        let lacks_it = |(asked_at, sampled): (Moment, Position)| {
            sampled.term == leader.term && asked_at > own.acknowledged_at && sampled < position
        };
        leader.term < position.term || self.samples.newest().is_some_and(lacks_it)
    }

    /// The last position at or before `position` that survived later promotions. Entries
    /// beyond it were rolled back.
    #[must_use]
    pub fn surviving(&self, position: Position) -> Position {
        let later = self.term_bases.range(position.term.saturating_add(1)..).next();
        match later {
            // The index continues across terms, so indexes of two terms can be compared.
            Some((_, base)) if position.index > base.index => *base,
            _ => position,
        }
    }

    /// Whether a read with this floor can be sent to a server now: the server has applied
    /// the floor or is expected to have applied it by the time the read begins.
    #[must_use]
    pub fn can_read(&self, now: Moment, id: &TargetId, floor: Position) -> bool {
        let Some(view) = self.servers.get(id) else {
            return false;
        };
        if view.info.draining {
            return false;
        }
        if view.applied >= floor {
            return true;
        }
        // The replication delay changes slowly, so the server has applied what the
        // primary had reached one such delay ago.
        match self.samples.reached_at(floor) {
            Some(reached_at) => reached_at + view.behind <= now + READ_LEAD_TIME,
            None => view.behind.is_zero(),
        }
    }

    /// Servers for a read with this floor, best first. Replicas come before the primary,
    /// whose slots are needed for writes.
    #[must_use]
    pub fn readers(&self, now: Moment, floor: Position) -> Vec<TargetId> {
        let mut able: Vec<_> = self
            .servers
            .values()
            .filter(|view| self.can_read(now, &view.info.id, floor))
            .map(|view| {
                let avoided = view.avoided_until > now;
                let leads = self.leads(&view.info.id);
                let far = view.info.failure_domain != self.home;
                let confirmed = view.applied >= floor;
                (avoided, leads, view.running, far, !confirmed, view.read_time, &view.info.id)
            })
            .collect();
        able.sort_unstable();
        able.into_iter().map(|(.., id)| id.clone()).collect()
    }

    /// Replicas whose last exchange failed and that reads no longer avoid because of the
    /// failure.
    pub fn failed_replicas(&self, now: Moment) -> impl Iterator<Item = &ServerView> {
        self.servers.values().filter(move |view| {
            view.failures > 0 && !view.is_avoided(now) && !self.leads(&view.info.id)
        })
    }

    /// Replicas that are too far behind to get reads. They have to be queried, because no
    /// read detects when they have caught up.
    pub fn lagging_replicas(&self, now: Moment) -> impl Iterator<Item = &ServerView> {
        self.servers.values().filter(move |view| {
            let query_due = view.answered_at + LAGGING_CHECK_INTERVAL <= now;
            query_due && view.behind > LAGGING_THRESHOLD && !self.leads(&view.info.id)
        })
    }

    /// Age of the newest sample of the primary's position.
    #[must_use]
    pub fn sample_age(&self, now: Moment) -> Option<Duration> {
        self.samples.newest_age(now)
    }

    /// The newest sample of the primary's position.
    #[must_use]
    pub fn newest_sample(&self) -> Option<(Moment, Position)> {
        self.samples.newest()
    }

    /// Records a position of the primary that another instance reported: it queried the
    /// primary at `asked_at` or later, and the primary had reached `position`.
    ///
    /// Without these samples, an instance whose own queries a busy primary refuses has no
    /// floor and sends all its reads to that primary as well.
    pub fn observe_reported_position(&mut self, asked_at: Moment, position: Position) {
        let leader_term = self.leader.as_ref().map_or(0, |leader| leader.term);
        // Entries of an earlier term may have been rolled back, so such a position is
        // usable only if the beginning of the primary's term is known.
        if position.term >= leader_term || self.term_bases.contains_key(&leader_term) {
            self.samples.record(asked_at, self.surviving(position));
        }
    }
}
