//! Where reads go, and what they have to see.

use std::time::Duration;

use crate::catalog::Consistency;
use crate::group::Group;
use crate::group::ServerView;
use crate::id::TargetId;
use crate::moment::Moment;
use crate::position::Position;

/// A server is asked for a position this much before it is expected to have
/// it: about the time that a statement takes to get there and begin.
const ASKED_EARLY: Duration = Duration::from_millis(4);

/// A replica further behind than this is asked for its state now and then.
const LAGGARD_BEHIND: Duration = Duration::from_millis(300);

/// Time between two questions to a replica that is far behind.
const LAGGARD_CHECK: Duration = Duration::from_millis(500);

/// How far a server is taken to be behind when it lacks a position of which
/// it is not known when the primary reached it. A few times less than the
/// usual replication delay of 60 ms, so that it is soon asked again.
const BEHIND_AT_LEAST: Duration = Duration::from_millis(20);

/// A server whose exchange failed gets no reads for this long per failure, so
/// that a dead one costs each instance few requests.
const AVOID_STEP: Duration = Duration::from_millis(500);

/// Longest time that a server is avoided.
const AVOID_LIMIT: Duration = Duration::from_secs(3);

/// Weight of the newest sample in the smoothed read time, as one over this.
const READ_TIME_SMOOTHING: u32 = 8;

impl Group {
    /// A server answered, with the position that its log had reached.
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

    /// A server answered something sent at `asked_at` that only the primary
    /// answers so: a write, or a statement in a transaction that may write.
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

    /// A server lacks `floor`; its log reached `applied`.
    ///
    /// Returns whether this proves that `floor` was rolled back: the server's
    /// log has entries of a later term, and so everything of the earlier term
    /// that survived.
    pub fn observe_lagging(
        &mut self,
        now: Moment,
        id: &TargetId,
        floor: Position,
        applied: Option<Position>,
    ) -> bool {
        self.observe_answer(now, id, applied);
        let reached_at = self.samples.reached_at(floor);
        if let Some(view) = self.servers.get_mut(id) {
            let known = reached_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            view.behind = view.behind.max(known + BEHIND_AT_LEAST);
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

    /// An exchange with a server failed: no connection, or no answer.
    pub fn observe_failure(&mut self, now: Moment, id: &TargetId) {
        let Some(view) = self.servers.get_mut(id) else {
            return;
        };
        view.failures += 1;
        let avoided_for = (AVOID_STEP * view.failures).min(AVOID_LIMIT);
        view.avoided_until = now + avoided_for;
    }

    /// How long reads take at a server now.
    #[must_use]
    pub fn read_time(&self, id: &str) -> Duration {
        self.servers.get(id).map_or(Duration::ZERO, |view| view.read_time)
    }

    /// A read took this long at a server.
    pub fn observe_read_time(&mut self, id: &TargetId, took: Duration) {
        if let Some(view) = self.servers.get_mut(id) {
            let kept = view.read_time * (READ_TIME_SMOOTHING - 1);
            view.read_time = (kept + took) / READ_TIME_SMOOTHING;
        }
    }

    /// Lowest position that a read which arrived at `arrived_at` has to see.
    /// `None` while it is not known: only the primary can answer then.
    #[must_use]
    pub fn floor(
        &self,
        arrived_at: Moment,
        consistency: Consistency,
        session_floor: Option<Position>,
    ) -> Option<Position> {
        match consistency {
            Consistency::Latest => None,
            Consistency::Bounded(age) => self.samples.floor(arrived_at, age),
            Consistency::ReadYourWrites(age) => {
                let floor = self.samples.floor(arrived_at, age)?;
                let own = session_floor.map(|position| self.surviving(position));
                Some(own.map_or(floor, |own| own.max(floor)))
            }
        }
    }

    /// What is left of a position after the changes of primary since.
    #[must_use]
    pub fn surviving(&self, position: Position) -> Position {
        let later = self.term_bases.range(position.term + 1..).next();
        match later {
            // The numbers of a log go on over terms, so the index compares.
            Some((_, base)) if position.index > base.index => *base,
            _ => position,
        }
    }

    /// Whether a server can be expected to answer a read with this floor now.
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
        // Delays of replication change slowly: what the primary reached this
        // long ago has been applied by now.
        match self.samples.reached_at(floor) {
            Some(reached_at) => reached_at + view.behind <= now + ASKED_EARLY,
            None => view.behind.is_zero(),
        }
    }

    /// Servers for a read with this floor, best first: replicas before the
    /// primary, whose slots are needed for writes.
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
                let surely = view.applied >= floor;
                (avoided, leads, view.running, far, !surely, view.read_time, &view.info.id)
            })
            .collect();
        able.sort_unstable();
        able.into_iter().map(|(.., id)| id.clone()).collect()
    }

    /// Replicas whose last exchange failed, and that reads need not avoid for that
    /// any more.
    pub fn failed_replicas(&self, now: Moment) -> impl Iterator<Item = &ServerView> {
        self.servers.values().filter(move |view| {
            view.failures > 0 && !view.is_avoided(now) && !self.leads(&view.info.id)
        })
    }

    /// Replicas that are too far behind to get reads, and so do not tell by
    /// themselves when they have caught up.
    pub fn lagging_replicas(&self, now: Moment) -> impl Iterator<Item = &ServerView> {
        self.servers.values().filter(move |view| {
            let silent = view.answered_at + LAGGARD_CHECK <= now;
            silent && view.behind > LAGGARD_BEHIND && !self.leads(&view.info.id)
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

    /// Another instance asked the primary at `asked_at` or later, and the
    /// primary had reached `position`.
    ///
    /// Without these an instance whose own questions a busy primary refuses
    /// knows no floor, and sends all its reads to that primary as well.
    pub fn observe_reported_position(&mut self, asked_at: Moment, position: Position) {
        let leader_term = self.leader.as_ref().map_or(0, |leader| leader.term);
        // The log may have been cut back since.
        if position.term >= leader_term || self.term_bases.contains_key(&leader_term) {
            self.samples.record(asked_at, self.surviving(position));
        }
    }
}
