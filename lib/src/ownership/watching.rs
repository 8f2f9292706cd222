//! How an owner watches the servers of a database that it serves, and what it
//! does when one of them fails.

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
            return self.lose(now, LossReason::Isolated);
        }
        if let Some(cause) = self.primary_fault(primary) {
            return self.replace_primary(now, primary.clone(), cause);
        }
        let mut actions = Vec::new();
        let (interval, state_interval) = self.probe_pace(now);
        for (id, view) in &mut self.servers {
            // Statements prove that a server lives, but only a probe tells
            // whether a replica hears its primary and whom it follows.
            let state_is_due =
                view.probed_at.is_none_or(|at| now.saturating_duration_since(at) >= state_interval);
            if !state_is_due && !view.detector.is_due(now, interval) {
                continue;
            }
            let sequence = view.detector.sent(now);
            view.probed_at = Some(now);
            actions.push(OwnershipAction::Probe { server: id.clone(), sequence });
        }
        actions.extend(self.repair_followers(term, primary));
        actions
    }

    /// Pace of the probes to a silent server, and to one that answers.
    ///
    /// Nobody waits for an idle database, so its servers are asked seldom;
    /// the first request after that finds the next probe due at once.
    fn probe_pace(&self, now: Instant) -> (Duration, Duration) {
        let timing = &self.timing;
        let quiet = self
            .last_request_at
            .is_none_or(|at| now.saturating_duration_since(at) >= timing.idle_after);
        let suspect = self.servers.values().any(|view| view.detector.misses() > 0);
        if quiet && !suspect {
            return (timing.idle_interval, timing.idle_interval);
        }
        (timing.probe_interval, timing.state_interval)
    }

    pub(super) fn is_isolated(&mut self, now: Instant) -> bool {
        let reachable = self
            .servers
            .values()
            .filter(|view| view.detector.misses() < self.timing.misses_to_suspect)
            .count();
        if reachable >= self.majority() {
            self.majority_seen_at = Some(now);
            return false;
        }
        self.majority_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) >= self.timing.isolation_limit)
    }

    fn primary_fault(&self, primary: &TargetId) -> Option<TakeCause> {
        let view = self.servers.get(primary)?;
        if view.detector.misses() >= self.timing.misses_to_suspect {
            // Fencing needs a majority; without one the primary stays, since
            // nothing would be won.
            let others = self.reachable_others(primary).count();
            return (others >= self.majority()).then_some(TakeCause::PrimarySilent);
        }
        if self.is_cut_off_from_replicas(primary) {
            return Some(TakeCause::PrimaryUnheard);
        }
        None
    }

    pub(super) fn reachable_others<'a>(
        &'a self,
        primary: &'a TargetId,
    ) -> impl Iterator<Item = &'a ServerView> {
        self.servers
            .values()
            .filter(move |view| view.server.id != *primary && view.detector.misses() == 0)
    }

    /// Whether a majority of servers, all of them replicas we can reach, has
    /// not heard from the primary. It still answers us, but no write on it
    /// can be confirmed.
    pub(super) fn is_cut_off_from_replicas(&self, primary: &TargetId) -> bool {
        let mut unheard = 0;
        for view in self.reachable_others(primary) {
            let Some(state) = &view.state else {
                continue;
            };
            let follows = state.follows.as_ref() == Some(primary);
            let Some(heard) = state.since_primary_contact else {
                continue;
            };
            if !follows || heard < self.timing.replication_timeout {
                return false;
            }
            unheard += 1;
        }
        unheard >= self.majority()
    }

    pub(super) fn replace_primary(
        &mut self,
        now: Instant,
        primary: TargetId,
        cause: TakeCause,
    ) -> Vec<OwnershipAction> {
        self.avoid.clear();
        self.avoid.insert(primary);
        self.retried_at_once = true;
        let mut actions = vec![OwnershipAction::Pause { cause }];
        actions.extend(self.start_fencing(now, cause));
        actions
    }

    /// Replaces a primary that is to leave, once a replica has all it has.
    pub fn replace_leaving_primary(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let Some((_, primary)) = self.serving() else {
            return Vec::new();
        };
        self.replace_primary(now, primary, TakeCause::PrimaryLeaving)
    }

    /// Whether the primary is marked as leaving and a replica could replace it.
    #[must_use]
    pub fn should_replace_leaving_primary(&self) -> bool {
        let Some((_, primary)) = self.serving() else {
            return false;
        };
        let leaving = self.servers.get(&primary).is_some_and(|view| view.server.leaving);
        let others = self.reachable_others(&primary).filter(|view| !view.server.leaving).count();
        leaving && others >= self.majority()
    }

    /// Servers that hold our term but follow nobody, and servers that came
    /// back with an older term, are brought into line.
    pub(super) fn repair_followers(&self, term: Term, primary: &TargetId) -> Vec<OwnershipAction> {
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
        // Answers can cross: positions never go back within one term.
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
            return self.lose(now, LossReason::Fenced);
        }
        if term == own_term && owner == holder {
            if let Some(sent_at) = sent_at {
                view.confirmed_sent_at = view.confirmed_sent_at.max(Some(sent_at));
            }
        }
        Vec::new()
    }

    /// Learns a replica's received position outside the paced probes, from a
    /// write that waits for its confirmation.
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

    /// A statement sent at `sent_at` in our `term` was answered by a server,
    /// which had applied `applied` afterwards.
    ///
    /// Statements are only taken by servers that hold our term, so the answer
    /// confirms it like a probe. Under load hardly any probe is left to send.
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
