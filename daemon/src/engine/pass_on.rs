//! Requests of clients of an instance that holds connections to their group itself. It
//! serves them here, unless it is overloaded and another holder has free capacity. The
//! other holder serves such a request and does not send it on: a forwarded session always
//! uses the connections of its own instance.

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group_load::RequestKind;

use crate::engine::load_choice::HolderQuery;
use crate::engine::load_choice::request_kind;
use crate::engine::remote;
use crate::engine::remote::transaction::Begun;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::single;
use crate::engine::single::Work;
use crate::engine::transaction;
use crate::engine::transaction::Transaction;

/// Runs a single statement.
///
/// # Errors
///
/// When it did not run, failed, or has an unknown outcome.
pub async fn run_single(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    Passable { request, work, writes, transaction: None }.run(session).await
}

/// Runs a statement of a transaction that is not at another instance. Only the first one
/// may be sent to another holder, where the transaction then stays.
///
/// # Errors
///
/// When the statement, or the whole transaction, failed.
pub async fn run_in_transaction(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    Passable { request, work, writes, transaction: Some(transaction) }.run(session).await
}

/// A statement that is served here or at another holder.
struct Passable<'a> {
    request: &'a Request,
    work: &'a Work,
    writes: bool,
    /// The transaction that it belongs to.
    transaction: Option<&'a mut Transaction>,
}

/// How an attempt to run a statement at another holder ended.
enum Passed {
    /// The statement has its final result.
    Ended(Result<Served, Failure>),
    /// It did not run there, or left nothing behind, and may be served here.
    MayRunHere(Failure),
}

impl Passable<'_> {
    async fn run(mut self, session: &mut Session) -> Result<Served, Failure> {
        if self.holds_connection() || !session.may_pass_on() {
            return self.run_here(session).await;
        }
        let query = HolderQuery::new(session, self.request, self.kind());
        if let Some(holder) = session.engine().holder_to_pass_on_to(&query) {
            return match self.run_at(session, &holder).await {
                Passed::Ended(result) => result,
                Passed::MayRunHere(failure) => {
                    session.report_retry(&failure);
                    self.run_here(session).await
                }
            };
        }
        let result = self.run_here(session).await;
        let Err(failure) = &result else {
            return result;
        };
        if failure.kind != ErrorKind::Overloaded || self.holds_connection() {
            return result;
        }
        let Some(holder) = session.engine().spare_holder(&query, self.request, &[]) else {
            return Err(session.engine().spread_retries(&query, failure.clone()));
        };
        session.report_retry(failure);
        if let Some(transaction) = &mut self.transaction {
            transaction.reopen();
        }
        match self.run_at(session, &holder).await {
            Passed::Ended(later) => later,
            Passed::MayRunHere(_) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.fail();
                }
                result
            }
        }
    }

    fn holds_connection(&self) -> bool {
        self.transaction.as_ref().is_some_and(|transaction| transaction.holds_connection())
    }

    fn kind(&self) -> RequestKind {
        let writes = match &self.transaction {
            Some(transaction) => !transaction.is_read_only(),
            None => self.writes,
        };
        request_kind(self.request, writes)
    }

    async fn run_here(&mut self, session: &mut Session) -> Result<Served, Failure> {
        let (request, work, writes) = (self.request, self.work, self.writes);
        match &mut self.transaction {
            Some(transaction) => {
                transaction::run(session, transaction, request, work, writes).await
            }
            None if writes => single::write(session, request, work).await,
            None => single::read(session, request, work).await,
        }
    }

    async fn run_at(&mut self, session: &mut Session, holder: &InstanceRecord) -> Passed {
        let (request, work, writes) = (self.request, self.work, self.writes);
        let Some(transaction) = &mut self.transaction else {
            return match remote::single_at(session, request, work, writes, holder).await {
                Err(failure) if may_run_here(&failure) => Passed::MayRunHere(failure),
                result => Passed::Ended(result),
            };
        };
        transaction.record_write(writes);
        match remote::transaction::begin_at(session, transaction, request, work, holder).await {
            Begun::Ended(result) => Passed::Ended(result),
            Begun::NotHere(failure) | Begun::Overloaded(failure) => Passed::MayRunHere(failure),
            Begun::Unanswered => Passed::MayRunHere(Failure::new(ErrorKind::HolderSilent)),
        }
    }
}

/// Whether a request that another holder failed with this error has not run there, and may
/// be served here.
fn may_run_here(failure: &Failure) -> bool {
    matches!(
        failure.kind,
        ErrorKind::Overloaded
            | ErrorKind::NotOwner
            | ErrorKind::Stopping
            | ErrorKind::CutOff
            | ErrorKind::HolderSilent
    )
}
