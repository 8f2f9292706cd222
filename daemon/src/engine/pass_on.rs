//! Requests of clients of an instance that holds connections to their group itself. It
//! serves them here, unless it is overloaded and another holder has free capacity. The
//! other holder serves such a request and does not send it on: a forwarded session always
//! uses the connections of its own instance.

use chervilwharf_lib::error_kind::ErrorKind;

use crate::engine::load_choice::HolderQuery;
use crate::engine::load_choice::request_kind;
use crate::engine::remote;
use crate::engine::remote::Begun;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::single;
use crate::engine::single::Work;
use crate::engine::transaction;
use crate::engine::transaction::Transaction;

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
    if !session.may_pass_on() {
        return single_here(session, request, work, writes).await;
    }
    let query = HolderQuery::new(session, request, request_kind(request, writes));
    if let Some(holder) = session.engine().holder_to_pass_on_to(&query) {
        match remote::single_at(session, request, work, writes, &holder).await {
            Err(failure) if may_run_here(&failure) => session.report_retry(&failure),
            result => return result,
        }
        return single_here(session, request, work, writes).await;
    }
    let result = single_here(session, request, work, writes).await;
    let Err(failure) = &result else {
        return result;
    };
    if failure.kind != ErrorKind::Overloaded {
        return result;
    }
    let Some(holder) = session.engine().spare_holder(&query, request, &[]) else {
        return Err(session.engine().spread_retries(&query, failure.clone()));
    };
    session.report_retry(failure);
    match remote::single_at(session, request, work, writes, &holder).await {
        Err(later) if may_run_here(&later) => result,
        later => later,
    }
}

async fn single_here(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    if writes {
        single::write(session, request, work).await
    } else {
        single::read(session, request, work).await
    }
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
    if transaction.holds_connection() || !session.may_pass_on() {
        return transaction::run(session, transaction, request, work, writes).await;
    }
    let kind = request_kind(request, !transaction.is_read_only());
    let query = HolderQuery::new(session, request, kind);
    if let Some(holder) = session.engine().holder_to_pass_on_to(&query) {
        transaction.record_write(writes);
        match remote::begin_at(session, transaction, request, work, &holder).await {
            Begun::Ended(result) => return result,
            Begun::NotHere(failure) | Begun::Overloaded(failure) => session.report_retry(&failure),
            Begun::Unanswered => session.report_retry(&Failure::new(ErrorKind::HolderSilent)),
        }
        return transaction::run(session, transaction, request, work, writes).await;
    }
    let result = transaction::run(session, transaction, request, work, writes).await;
    let Err(failure) = &result else {
        return result;
    };
    if failure.kind != ErrorKind::Overloaded || transaction.holds_connection() {
        return result;
    }
    let Some(holder) = session.engine().spare_holder(&query, request, &[]) else {
        return Err(session.engine().spread_retries(&query, failure.clone()));
    };
    session.report_retry(failure);
    transaction.reopen();
    transaction.record_write(writes);
    match remote::begin_at(session, transaction, request, work, &holder).await {
        Begun::Ended(later) => later,
        Begun::NotHere(_) | Begun::Overloaded(_) | Begun::Unanswered => {
            transaction.fail();
            result
        }
    }
}
