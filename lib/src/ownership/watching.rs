//! Monitoring by the owner of a database: how it probes the servers of the
//! group, confirms its term, replaces a failed primary and repairs replicas.

use std::time::Duration;
use std::time::Instant;

use crate::id::TargetId;
use crate::id::Term;
use crate::ownership::Ownership;
use crate::ownership::ServerView;
use crate::ownership_types::LossReason;
use crate::ownership_types::OwnershipAction;
use crate::ownership_types::ServerState;
use crate::ownership_types::TakeCause;
use crate::position::Position;

impl Ownership {
    /// Detects failures and returns the probes and repairs that are due.
    pub(super) fn tick_serving(
        &mut self,
        now: Instant,
        term: Term,
        primary: &TargetId,
    ) -> Vec<OwnershipAction> {
        for view in self.servers.values_mut() {
            view.detector.tick(now);
        }
        if self.is_isolated(now) {
            return self.end_ownership(now, LossReason::Isolated);
        }
        if let Some(cause) = self.primary_fault(primary) {
            return self.replace_primary(now, primary.clone(), cause);
        }
        let mut actions = Vec::new();
        let (interval, state_interval) = self.probe_pace(now);
        for (id, view) in &mut self.servers {
            // Answered statements show that a server responds. Only a probe
            // returns which server a replica follows and when it last received
            // data from it.
            let state_is_due =
                view.probed_at.is_none_or(|at| now.saturating_duration_since(at) >= state_interval);
            if !state_is_due && !view.detector.is_due(now, interval) {
                continue;
            }
            let sequence = view.detector.sent(now);
            view.probed_at = Some(now);
            actions.push(OwnershipAction::Probe { server: id.clone(), sequence });
        }
        actions.extend(self.repair_replicas(term, primary));
        actions
    }

    /// Returns the probe interval for servers without recent traffic, and the
    /// interval for servers that answer statements.
    ///
    /// An idle database has no waiting requests, so its servers are probed less
    /// often. With the first request, the short intervals apply again and the
    /// next probe is due at once.
    fn probe_pace(&self, now: Instant) -> (Duration, Duration) {
        let timing = &self.timing;
        let is_idle = self
            .last_request_at
            .is_none_or(|at| now.saturating_duration_since(at) >= timing.idle_after);
        let suspect = self.servers.values().any(|view| view.detector.misses() > 0);
        if is_idle && !suspect {
            return (timing.idle_interval, timing.idle_interval);
        }
        (timing.probe_interval, timing.state_interval)
    }

    /// Whether no majority of the servers was reachable for
    /// `isolation_limit`.
    pub(super) fn is_isolated(&mut self, now: Instant) -> bool {
        let reachable = self
            .servers
            .values()
            .filter(|view| view.detector.misses() < self.timing.misses_to_suspect)
            .count();
        if reachable >= self.majority() {
            self.majority_reached_at = Some(now);
            return false;
        }
        self.majority_reached_at
            .is_some_and(|at| now.saturating_duration_since(at) >= self.timing.isolation_limit)
    }

    /// Returns why the primary has to be replaced, if it has to.
    fn primary_fault(&self, primary: &TargetId) -> Option<TakeCause> {
        let view = self.servers.get(primary)?;
        if view.detector.misses() >= self.timing.misses_to_suspect {
            // Fencing needs a majority. If the other servers do not form one, an
            // attempt to replace the primary cannot succeed.
            let others = self.reachable_others(primary).count();
            return (others >= self.majority()).then_some(TakeCause::PrimarySilent);
        }
        if self.is_cut_off_from_replicas(primary) {
            return Some(TakeCause::PrimaryUnheard);
        }
        None
    }

    /// Returns the servers besides the primary that have missed no probe.
    pub(super) fn reachable_others<'a>(
        &'a self,
        primary: &'a TargetId,
    ) -> impl Iterator<Item = &'a ServerView> {
        self.servers
            .values()
            .filter(move |view| view.server.id != *primary && view.detector.misses() == 0)
    }

    /// Whether the replicas that this instance reaches form a majority and none
    /// of them received anything from the primary for `replication_timeout`.
    ///
    /// Such a primary still answers this instance, but none of its writes can be
    /// confirmed by a replica.
    pub(super) fn is_cut_off_from_replicas(&self, primary: &TargetId) -> bool {
        let mut cut_off = 0;
        for view in self.reachable_others(primary) {
            let Some(state) = &view.state else {
                continue;
            };
            let follows = state.follows.as_ref() == Some(primary);
            let Some(elapsed) = state.since_primary_contact else {
                continue;
            };
            if !follows || elapsed < self.timing.replication_timeout {
                return false;
            }
            cut_off += 1;
        }
        cut_off >= self.majority()
    }

    /// Pauses the database and starts an attempt that avoids the present primary.
    pub(super) fn replace_primary(
        &mut self,
        now: Instant,
        primary: TargetId,
        cause: TakeCause,
    ) -> Vec<OwnershipAction> {
        self.avoid.clear();
        self.avoid.insert(primary);
        self.retried_after_refusal = true;
        let mut actions = vec![OwnershipAction::Pause { cause }];
        actions.extend(self.start_fencing(now, cause));
        actions
    }

    /// Replaces a primary that is marked as leaving. The caller calls this once a
    /// replica has received the whole log of the primary.
    pub fn replace_leaving_primary(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let Some((_, primary)) = self.serving() else {
            return Vec::new();
        };
        self.replace_primary(now, primary, TakeCause::PrimaryLeaving)
    }

    /// Whether the primary is marked as leaving and the reachable servers that
    /// are not leaving form a majority, so that one of them can replace it.
    #[must_use]
    pub fn should_replace_leaving_primary(&self) -> bool {
        let Some((_, primary)) = self.serving() else {
            return false;
        };
        let leaving = self.servers.get(&primary).is_some_and(|view| view.server.leaving);
        let others = self.reachable_others(&primary).filter(|view| !view.server.leaving).count();
        leaving && others >= self.majority()
    }

    /// Returns the actions that repair replicas: a server with an older term is
    /// fenced again, and a server of the current term that does not follow the
    /// primary is made to follow it.
    pub(super) fn repair_replicas(&self, term: Term, primary: &TargetId) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        for (id, view) in &self.servers {
            let Some(state) = &view.state else {
                continue;
            };
            if view.detector.misses() > 0 || id == primary {
                continue;
            }
            if state.term < term {
                actions.push(OwnershipAction::Fence { server: id.clone(), term });
            } else if state.follows.as_ref() != Some(primary) {
                let primary = primary.clone();
                actions.push(OwnershipAction::Follow { server: id.clone(), term, primary });
            }
        }
        actions
    }

    /// Processes the answer of a server to a probe, or the lack of one.
    pub(super) fn probed(
        &mut self,
        now: Instant,
        server: &TargetId,
        sequence: u64,
        state: Option<ServerState>,
    ) -> Vec<OwnershipAction> {
        let own_term = self.serving().map(|(term, _)| term);
        let holder = self.holder.clone();
        let Some(view) = self.servers.get_mut(server) else {
            return Vec::new();
        };
        let Some(state) = state else {
            view.detector.failed(sequence);
            return Vec::new();
        };
        let sent_at = view.detector.succeeded(sequence);
        let (term, owner) = (state.term, state.owner.clone());
        self.highest_term = self.highest_term.max(term);
        // Answers can arrive out of order. Within a term, an answer with a lower
        // position is older than the known state and is ignored.
        let is_newer = view.state.as_ref().is_none_or(|known| {
            state.term > known.term
                || (state.term == known.term
                    && (state.received >= known.received || state.follows != known.follows))
        });
        if is_newer {
            view.state = Some(state);
        }
        let Some(own_term) = own_term else {
            return Vec::new();
        };
        if term > own_term {
            return self.end_ownership(now, LossReason::Fenced);
        }
        if term == own_term && owner == holder {
            if let Some(sent_at) = sent_at {
                view.confirmed_sent_at = view.confirmed_sent_at.max(Some(sent_at));
            }
        }
        Vec::new()
    }

    /// Records the position that a replica has received, as reported outside the
    /// regular probes to a write that waits for confirmation.
    pub fn received(&mut self, server: &str, term: Term, position: Position) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        let Some(state) = &mut view.state else {
            return;
        };
        if state.term == term && position > state.received {
            state.received = position;
        }
    }

    /// Records that a server answered a statement that was sent at `sent_at` in
    /// `term`. `applied` is the position that the server had applied afterwards.
    ///
    /// A server accepts statements only in the term that it holds, so the answer
    /// confirms the term as a probe does. Under load, statements replace nearly
    /// all probes.
    pub fn answered(&mut self, server: &str, term: Term, sent_at: Instant, applied: Position) {
        if self.serving().is_none_or(|(own, _)| own != term) {
            return;
        }
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.detector.answered_by_other_traffic(sent_at);
        view.confirmed_sent_at = view.confirmed_sent_at.max(Some(sent_at));
        if let Some(state) = view.state.as_mut().filter(|state| state.term == term) {
            state.applied = state.applied.max(applied);
            state.received = state.received.max(applied);
        }
    }
}
