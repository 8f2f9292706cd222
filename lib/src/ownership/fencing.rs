//! Fencing and promotion: how an instance takes a database.
//!
//! The instance asks all servers to accept a new term (a fence request). Once a
//! majority has granted the term, it promotes the server with the newest log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::id::TargetId;
use crate::id::Term;
use crate::ownership::Ownership;
use crate::ownership::Phase;
use crate::ownership::instance_of;
use crate::ownership_types::FenceFailure;
use crate::ownership_types::LossReason;
use crate::ownership_types::OwnershipAction;
use crate::ownership_types::ServerState;
use crate::ownership_types::TakeCause;
use crate::position::Position;

impl Ownership {
    /// Starts an attempt in a term above all observed ones.
    pub(super) fn start_fencing(&mut self, now: Instant, cause: TakeCause) -> Vec<OwnershipAction> {
        let term = self.highest_term + 1;
        self.highest_term = term;
        for view in self.servers.values_mut() {
            view.confirmed_sent_at = None;
        }
        self.phase = Phase::Fencing {
            term,
            since: now,
            majority_at: None,
            granted: BTreeMap::new(),
            failed: BTreeSet::new(),
            cause,
        };
        self.servers
            .keys()
            .map(|server| OwnershipAction::Fence { server: server.clone(), term })
            .collect()
    }

    /// Processes the answer of a server to a fence request.
    pub(super) fn fenced(
        &mut self,
        now: Instant,
        server: TargetId,
        term: Term,
        result: Result<ServerState, FenceFailure>,
    ) -> Vec<OwnershipAction> {
        match result {
            Ok(state) => self.fence_granted(now, server, term, state),
            Err(FenceFailure::HigherTerm { term: higher, owner }) => {
                self.fence_refused(now, term, higher, &owner)
            }
            Err(FenceFailure::Unreachable) => self.fence_unreachable(now, server, term),
        }
    }

    pub(super) fn fence_granted(
        &mut self,
        now: Instant,
        server: TargetId,
        term: Term,
        state: ServerState,
    ) -> Vec<OwnershipAction> {
        // While this instance serves, it fences only servers that returned with
        // an older term. Once fenced, such a server can follow the primary.
        if let Phase::Serving { term: own, primary, .. } = &self.phase {
            if *own != term || *primary == server {
                return Vec::new();
            }
            let primary = primary.clone();
            return vec![OwnershipAction::Follow { server, term, primary }];
        }
        let majority = self.majority();
        let Phase::Fencing { term: own, since, majority_at, granted, .. } = &mut self.phase else {
            return Vec::new();
        };
        if *own != term {
            return Vec::new();
        }
        let sent_at = *since;
        granted.insert(server.clone(), state.clone());
        if granted.len() >= majority && majority_at.is_none() {
            *majority_at = Some(now);
        }
        if let Some(view) = self.servers.get_mut(&server) {
            view.state = Some(state);
            view.confirmed_sent_at = Some(sent_at);
        }
        self.choose_if_ready(now)
    }

    fn fence_unreachable(
        &mut self,
        now: Instant,
        server: TargetId,
        term: Term,
    ) -> Vec<OwnershipAction> {
        let Phase::Fencing { term: own, failed, .. } = &mut self.phase else {
            return Vec::new();
        };
        if *own != term {
            return Vec::new();
        }
        failed.insert(server);
        self.choose_if_ready(now)
    }

    fn fence_refused(
        &mut self,
        now: Instant,
        term: Term,
        higher: Term,
        owner: &str,
    ) -> Vec<OwnershipAction> {
        self.highest_term = self.highest_term.max(higher);
        if let Phase::Serving { term: own, .. } = &self.phase {
            return if higher > *own {
                self.end_ownership(now, LossReason::Fenced)
            } else {
                Vec::new()
            };
        }
        let Phase::Fencing { term: own, cause, .. } = &self.phase else {
            return Vec::new();
        };
        if *own != term {
            return Vec::new();
        }
        // The holder of the higher term may answer reads in it, whatever the
        // cause of this attempt was.
        let cause = if cause.earlier_owner_may_serve() { *cause } else { TakeCause::OwnerSilent };
        // The first refusal usually means only that this instance had not
        // observed the current term, so it retries at once with a higher one. A
        // second refusal means a race with another instance, unless the refusing
        // term was granted to an earlier incarnation of this instance.
        if !self.retried_after_refusal || instance_of(owner) == &*self.me {
            self.retried_after_refusal = true;
            return self.start_fencing(now, cause);
        }
        self.back_off(now)
    }

    /// Promotes a server if a majority granted the term and the remaining
    /// servers have answered, are unreachable or had enough time to answer. They have more
    /// time if only a server to avoid could be promoted.
    pub(super) fn choose_if_ready(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let majority = self.majority();
        let Phase::Fencing { term, since, majority_at, granted, failed, cause } = &self.phase
        else {
            return Vec::new();
        };
        let Some(majority_at) = *majority_at else {
            if granted.len() + failed.len() == self.servers.len() {
                return self.back_off(now);
            }
            return Vec::new();
        };
        // A server that has not answered yet may be down or only slow. A short
        // wait avoids promoting a replica although the old primary still works.
        let waited = now.saturating_duration_since(majority_at) >= self.timing.straggler_wait;
        let others_may_grant = self.servers.iter().any(|(id, view)| {
            let has_answered = granted.contains_key(id) || failed.contains(id);
            !has_answered && view.detector.misses() < self.timing.misses_to_suspect
        });
        if others_may_grant && !waited {
            return Vec::new();
        }
        let (term, cause) = (*term, *cause);
        let candidate = self.choose(granted, majority);
        // With the answer of a slow server, another one may be safe to promote. Without it,
        // the server to avoid would be promoted and replaced again and again.
        let has_time = now.saturating_duration_since(*since) < self.timing.fence_timeout;
        if self.should_avoid(&candidate) && others_may_grant && has_time {
            return Vec::new();
        }
        self.phase =
            Phase::Promoting { term, candidate: candidate.clone(), since: now, majority_at, cause };
        vec![OwnershipAction::Promote { server: candidate, term }]
    }

    /// Chooses the server with the newest log among the fenced ones.
    ///
    /// Servers in `avoid` are excluded only if the fenced servers that need not
    /// be avoided form a majority by themselves. Otherwise a server to avoid may
    /// be the only fenced one that has an acknowledged write, and excluding it
    /// would lose that write.
    fn choose(&self, granted: &BTreeMap<TargetId, ServerState>, majority: usize) -> TargetId {
        let wanted = granted.keys().filter(|id| !self.should_avoid(id)).count();
        let can_exclude = wanted >= majority;
        let best = granted
            .iter()
            .filter(|(id, _)| !(can_exclude && self.avoid.contains(*id)))
            .max_by_key(|(id, state)| {
                let wanted = !self.should_avoid(id);
                let is_primary = self.primary.as_ref() == Some(*id) || state.is_primary;
                let near = self.is_in_own_domain(id);
                (state.received, wanted, is_primary, near)
            });
        best.map(|(id, _)| id.clone()).expect("a majority was fenced, so at least one server was")
    }

    /// Whether another server should be promoted instead of this one if possible.
    pub(super) fn should_avoid(&self, server: &TargetId) -> bool {
        let leaving = self.servers.get(server).is_some_and(|view| view.server.leaving);
        leaving || self.avoid.contains(server)
    }

    /// Whether a server runs in the failure domain of this instance.
    pub(super) fn is_in_own_domain(&self, server: &TargetId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|view| view.server.failure_domain == self.failure_domain)
    }

    /// Processes the answer of a server to a promotion request.
    pub(super) fn promoted(
        &mut self,
        now: Instant,
        server: &TargetId,
        term: Term,
        result: &Result<Position, FenceFailure>,
    ) -> Vec<OwnershipAction> {
        let Phase::Promoting { term: own, candidate, majority_at, cause, .. } = &self.phase else {
            return Vec::new();
        };
        if *own != term || candidate != server {
            return Vec::new();
        }
        let (majority_at, cause) = (*majority_at, *cause);
        let first = match result {
            Ok(first) => *first,
            Err(FenceFailure::HigherTerm { term, .. }) => {
                self.highest_term = self.highest_term.max(*term);
                return self.back_off(now);
            }
            Err(FenceFailure::Unreachable) => {
                return self.promotion_failed(now, server.clone());
            }
        };
        let acknowledge_from = if cause.earlier_owner_may_serve() {
            majority_at + self.timing.confirmation_max_age
        } else {
            majority_at
        };
        self.serve(server, term, first, acknowledge_from, cause)
    }

    /// Enters the serving phase and makes the other servers follow the primary.
    pub(super) fn serve(
        &mut self,
        primary: &TargetId,
        term: Term,
        first: Position,
        acknowledge_from: Instant,
        cause: TakeCause,
    ) -> Vec<OwnershipAction> {
        self.primary = Some(primary.clone());
        self.avoid.clear();
        self.phase = Phase::Serving { term, primary: primary.clone(), first, acknowledge_from };
        if let Some(state) = self.servers.get_mut(primary).and_then(|view| view.state.as_mut()) {
            state.is_primary = true;
            state.received = first;
            state.applied = first;
        }
        let mut actions = vec![OwnershipAction::Serve {
            term,
            primary: primary.clone(),
            first,
            acknowledge_from,
            cause,
        }];
        let others = self.servers.keys().filter(|id| *id != primary);
        actions.extend(others.map(|id| OwnershipAction::Follow {
            server: id.clone(),
            term,
            primary: primary.clone(),
        }));
        actions
    }

    /// Starts another attempt that avoids the server whose promotion failed.
    pub(super) fn promotion_failed(
        &mut self,
        now: Instant,
        server: TargetId,
    ) -> Vec<OwnershipAction> {
        self.avoid.insert(server);
        let cause = match &self.phase {
            // A second attempt by this instance does not rule out that an earlier
            // owner still serves, so the original cause is kept.
            Phase::Promoting { cause, .. } if cause.earlier_owner_may_serve() => *cause,
            _ => TakeCause::PromotionFailed,
        };
        self.start_fencing(now, cause)
    }

    /// Chooses a server if a majority granted the term, and backs off otherwise.
    pub(super) fn fencing_timed_out(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let Phase::Fencing { majority_at, .. } = &self.phase else {
            return Vec::new();
        };
        if majority_at.is_some() {
            return self.choose_if_ready(now);
        }
        self.back_off(now)
    }
}
