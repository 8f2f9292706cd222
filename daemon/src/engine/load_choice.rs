//! Choice of a holder by the reports on the load of all holders.

use std::time::Duration;

use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group_load::ExpectedWait;
use chervilwharf_lib::group_load::RequestKind;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_pair::FAR_PENALTY;
use chervilwharf_lib::holder_pair::all_refuse;
use chervilwharf_lib::holder_pair::better_than;
use chervilwharf_lib::holder_pair::choose_by_load;
use chervilwharf_lib::holder_pair::spare_holder;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::peer_contact::Reachability;
use chervilwharf_lib::wait_estimator::WaitClass;

use crate::engine::clock::now;
use crate::engine::load_metrics::LoadDecision;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::session::Session;
use crate::engine::shared::Engine;

/// What the choice of a holder for a request depends on.
#[derive(Clone, Debug)]
pub struct HolderQuery {
    /// The group.
    pub group: GroupId,
    /// What decides among equal holders.
    pub affinity: Affinity,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The latency objective of the route.
    pub objective: Duration,
}

impl HolderQuery {
    /// The query for a request of a session.
    #[must_use]
    pub fn new(session: &Session, request: &Request, kind: RequestKind) -> Self {
        let (group, objective) = (request.route.group.clone(), request.route.objective);
        Self { group, affinity: session.affinity(), kind, objective }
    }
}

/// The kind of a request, as its holder will most likely see it. A read that any server
/// may answer can still need the primary there while no position of the log is known.
#[must_use]
pub fn request_kind(request: &Request, writes: bool) -> RequestKind {
    let needs_primary = writes || request.route.consistency == Consistency::Latest;
    let class = if needs_primary { WaitClass::Leader } else { WaitClass::Reader };
    RequestKind { class, priority: request.route.priority }
}

/// What happens to a request that all holders are expected to refuse.
#[derive(Clone, Debug)]
pub enum ExpectedRefusal {
    /// It is refused at once, with this failure. Nothing is sent.
    AtOnce {
        /// The failure, with a Retry-After time.
        failure: Failure,
        /// Number of holders that are expected to refuse it.
        holders: usize,
    },
    /// It is sent to this holder nevertheless, the one with the shortest backlog.
    Probe(InstanceRecord),
}

impl Engine {
    /// What happens to a request if all reachable holders are expected to refuse it; `None`
    /// if one of them may serve it.
    #[must_use]
    pub fn expected_refusal(&self, query: &HolderQuery) -> Option<ExpectedRefusal> {
        let candidates = self.candidates(&query.group, &[]);
        let expected = |candidate: &Candidate| self.expected_wait(query, &candidate.record.id);
        let all = all_refuse(&candidates, expected)?;
        if self.is_holder(&query.group) && !self.is_refused_here(query) {
            return None;
        }
        if self.loads().lock().take_probe(&query.group) {
            self.metrics().loads.record(&query.group, LoadDecision::Probe);
            return Some(ExpectedRefusal::Probe(all.shortest.record.clone()));
        }
        self.metrics().loads.record(&query.group, LoadDecision::RefusedAtOnce);
        self.shard(&query.group).record_refusal(query.kind.priority, ErrorKind::Overloaded);
        let retry_after = all.retry_after(rand::random_range(0.0..1.0));
        let failure = Failure::new(ErrorKind::Overloaded).with_retry_after(retry_after);
        Some(ExpectedRefusal::AtOnce { failure, holders: all.holders })
    }

    fn is_refused_here(&self, query: &HolderQuery) -> bool {
        self.expected_wait(query, &self.me().id).is_some_and(ExpectedWait::is_refusal)
    }

    /// The failure of a request that this holder refused, with a Retry-After time that is
    /// spread over the backlogs of the other holders if these would refuse it as well.
    #[must_use]
    pub fn spread_retries(&self, query: &HolderQuery, failure: Failure) -> Failure {
        let candidates = self.candidates(&query.group, &[]);
        let expected = |candidate: &Candidate| self.expected_wait(query, &candidate.record.id);
        match all_refuse(&candidates, expected) {
            Some(all) => failure.with_retry_after(all.retry_after(rand::random_range(0.0..1.0))),
            None => failure,
        }
    }

    /// Chooses one of the candidates, which are other instances.
    #[must_use]
    pub fn choose_holder(
        &self,
        candidates: &[Candidate],
        query: &HolderQuery,
    ) -> Option<Candidate> {
        let choice = choose_by_load(candidates, &query.affinity, query.objective, |candidate| {
            self.expected_wait(query, &candidate.record.id)
        })?;
        if choice.by_load {
            self.metrics().loads.record(&query.group, LoadDecision::Second);
        }
        Some(choice.holder.clone())
    }

    /// What a request has to expect at an instance; `None` without a valid report.
    fn expected_wait(&self, query: &HolderQuery, id: &InstanceId) -> Option<ExpectedWait> {
        if *id == self.me().id {
            return Some(self.shard(&query.group).load().expected_wait(query.kind));
        }
        self.loads().lock().expected_wait(now(), &query.group, id, query.kind)
    }

    /// Another holder for a request that a holder refused because it is overloaded; `None`
    /// if no other one may have free capacity, or no time is left for it.
    #[must_use]
    pub fn spare_holder(
        &self,
        query: &HolderQuery,
        request: &Request,
        tried: &[InstanceId],
    ) -> Option<InstanceRecord> {
        if self.is_held_by_all(&query.group) || request.time_left(now()) < MIN_TIME_TO_MOVE {
            return None;
        }
        let candidates = self.candidates(&query.group, tried);
        let spare = spare_holder(&candidates, &query.affinity, |candidate| {
            self.expected_wait(query, &candidate.record.id)
        })?;
        self.metrics().loads.record(&query.group, LoadDecision::AfterRefusal);
        Some(spare.record.clone())
    }

    /// Another holder for a request of a client of this instance, which holds connections
    /// to its group; `None` if the request is best served here.
    #[must_use]
    pub fn holder_to_pass_on_to(&self, query: &HolderQuery) -> Option<InstanceRecord> {
        if self.is_held_by_all(&query.group) || self.shard(&query.group).waiting() == 0 {
            return None;
        }
        let (record, reachability) = (self.me().clone(), Reachability::Reachable);
        let me = Candidate { record, reachability, recently_refused: false, near: true };
        let candidates = self.candidates(&query.group, &[]);
        let better =
            better_than(&me, &candidates, &query.affinity, query.objective, |candidate| {
                self.expected_wait(query, &candidate.record.id)
            })?;
        self.metrics().loads.record(&query.group, LoadDecision::PassedOn);
        Some(better.record.clone())
    }
}

/// Least time until the deadline with which another holder is tried: the additional trip
/// there and back, and the same for the statement.
const MIN_TIME_TO_MOVE: Duration = FAR_PENALTY.saturating_mul(2);
