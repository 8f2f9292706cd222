//! The search for a holder that can serve a forwarded request.

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group_load::RequestKind;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::statement_timing;

use crate::engine::clock::now;
use crate::engine::load_choice::ExpectedRefusal;
use crate::engine::load_choice::HolderQuery;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::session::Session;

/// The search for a holder that can serve a request.
pub(super) struct HolderSearch {
    kind: RequestKind,
    tried: Vec<InstanceId>,
    /// Why the last holder that was tried did not serve the request.
    last: Option<Failure>,
    /// The holder to try after one that is overloaded.
    spare: Option<InstanceRecord>,
    /// Whether a holder refused the request because it is overloaded, and another one was
    /// found. A third one is not tried: all retries together would add to the overload.
    has_moved: bool,
}

impl HolderSearch {
    /// The search for a request of this kind.
    pub(super) fn new(kind: RequestKind) -> Self {
        Self { kind, tried: Vec::new(), last: None, spare: None, has_moved: false }
    }

    /// The next holder to try; `None` if no holder is left that may serve the request, or
    /// its time is over.
    pub(super) async fn next(
        &mut self,
        session: &mut Session,
        request: &Request,
    ) -> Option<InstanceRecord> {
        if now() >= request.deadline {
            return None;
        }
        if self.has_moved {
            return self.spare.take();
        }
        let query = HolderQuery::new(session, request, self.kind);
        let engine = session.engine().clone();
        if self.tried.is_empty() {
            match engine.expected_refusal(&query) {
                Some(ExpectedRefusal::AtOnce { failure, holders }) => {
                    session.trace_mut().holders_refusing = holders;
                    self.last = Some(failure);
                    return None;
                }
                Some(ExpectedRefusal::Probe(holder)) => return Some(holder),
                None => {}
            }
        }
        let max_wait = statement_timing::max_start_wait(query.objective);
        let found = engine.find_holder(&query, &self.tried, request.arrived_at + max_wait).await?;
        // If the chosen holder recently refused statements of this group, all reachable ones
        // that are left did. Only one of them is tried, since the client can retry at another
        // instance, which may be able to serve the request.
        let give_up = found.recently_refused && self.last.is_some();
        (!give_up).then_some(found.record)
    }

    /// Records that a holder refused the request. Nothing ran.
    pub(super) fn refused(&mut self, session: &Session, holder: &InstanceRecord, failure: Failure) {
        session.engine().holder_lists().observe_refusal(session.shard().id(), &holder.id);
        self.skip_holder(session, holder, failure);
    }

    /// Whether another holder is tried after one that failed the request. That is so after
    /// the first refusal because of overload, if another one may have free capacity and time
    /// is left. A statement that was refused so has not run.
    pub(super) fn moves_on(
        &mut self,
        session: &Session,
        request: &Request,
        holder: &InstanceRecord,
        failure: &Failure,
    ) -> bool {
        if failure.kind != ErrorKind::Overloaded || self.has_moved {
            return false;
        }
        self.tried.push(holder.id.clone());
        let query = HolderQuery::new(session, request, self.kind);
        self.spare = session.engine().spare_holder(&query, request, &self.tried);
        if self.spare.is_none() {
            return false;
        }
        session.report_retry(failure);
        self.has_moved = true;
        self.last = Some(failure.clone());
        true
    }

    /// Records that a holder did not answer. The statement may have run there, but may run
    /// again.
    pub(super) fn unanswered(&mut self, session: &Session, holder: &InstanceRecord) {
        self.skip_holder(session, holder, Failure::new(ErrorKind::HolderSilent));
    }

    fn skip_holder(&mut self, session: &Session, holder: &InstanceRecord, failure: Failure) {
        session.report_retry(&failure);
        self.tried.push(holder.id.clone());
        if !self.has_moved {
            self.last = Some(failure);
        }
    }

    /// The failure of a request for which no further holder is tried. If all holders would
    /// refuse it now, its Retry-After time is spread over their backlogs.
    pub(super) fn final_failure(
        &self,
        session: &Session,
        request: &Request,
        failure: Failure,
    ) -> Failure {
        if failure.kind != ErrorKind::Overloaded {
            return failure;
        }
        let query = HolderQuery::new(session, request, self.kind);
        session.engine().spread_retries(&query, failure)
    }

    pub(super) fn into_failure(self) -> Failure {
        self.last.unwrap_or_else(|| Failure::new(ErrorKind::HolderSilent))
    }
}
