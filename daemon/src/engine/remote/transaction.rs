//! Transactions at another instance: where a transaction begins, and when it is lost.

use std::sync::Arc;

use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::engine_protos::statement::Work as WireWork;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::statement::Statement;

use crate::engine::clock::now;
use crate::engine::holder_search::HolderSearch;
use crate::engine::load_choice::request_kind;
use crate::engine::peers::PeerLink;
use crate::engine::remote::StatementLinks;
use crate::engine::remote::encoding::decode;
use crate::engine::remote::encoding::encode;
use crate::engine::remote::exchange::Abandoning;
use crate::engine::remote::exchange::SendError;
use crate::engine::remote::exchange::send;
use crate::engine::remote::exchange::send_first;
use crate::engine::remote::needs_other_holder;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::single::Work;
use crate::engine::transaction::ROLLBACK_LIMIT;
use crate::engine::transaction::Transaction;

/// A transaction that runs at another instance, bound to one link.
pub struct RemoteTransaction {
    links: Arc<StatementLinks>,
    holder: InstanceRecord,
    link: PeerLink,
}

impl RemoteTransaction {
    /// Rolls back the transaction. If the other instance does not confirm in time, the link
    /// is closed, which rolls back as well.
    pub async fn roll_back(mut self) {
        let statement = engine_protos::Statement {
            work: Some(WireWork::Rollback(true)),
            ..engine_protos::Statement::default()
        };
        let sent = self.link.exchange(self.holder.peer_address, Body::Statement(statement));
        if let Ok(Ok(_)) = tokio::time::timeout(ROLLBACK_LIMIT, sent).await {
            self.links.give_back(self.holder.peer_address, self.link);
        }
    }
}

/// Runs a statement of a transaction at the transaction's holder, which is chosen for its
/// first statement.
///
/// # Errors
///
/// When the statement, or the whole transaction, failed.
pub async fn in_transaction(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let result = match transaction.take_remote() {
        Some(remote) => continue_transaction(session, transaction, request, work, remote).await,
        None => begin(session, transaction, request, work).await,
    };
    transaction.active_at = now();
    result
}

async fn begin(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let mut search = HolderSearch::new(request_kind(request, !transaction.is_read_only()));
    while let Some(holder) = search.next(session, request).await {
        match begin_at(session, transaction, request, work, &holder).await {
            Begun::Ended(result) => return result,
            Begun::NotHere(failure) => search.refused(session, &holder, failure),
            Begun::Overloaded(failure) => {
                if !search.moves_on(session, request, &holder, &failure) {
                    transaction.fail();
                    return Err(search.final_failure(session, request, failure));
                }
            }
            Begun::Unanswered => search.unanswered(session, &holder),
        }
    }
    transaction.fail();
    Err(search.into_failure())
}

/// How an attempt to begin a transaction at a holder ended. In all cases but the first
/// nothing lasting ran, and the transaction may begin at another holder.
pub enum Begun {
    /// The first statement has its final result.
    Ended(Result<Served, Failure>),
    /// The holder cannot serve the group.
    NotHere(Failure),
    /// The holder has too many requests.
    Overloaded(Failure),
    /// There was no reply. If the statement arrived, the transaction is rolled back when
    /// the link is closed: only a COMMIT makes changes permanent.
    Unanswered,
}

/// Begins a transaction with its first statement at this holder only.
pub async fn begin_at(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    holder: &InstanceRecord,
) -> Begun {
    let mode = if transaction.is_read_only() { Begin::ReadOnly } else { Begin::ReadWrite };
    let abandoning = Abandoning::LosesNothing;
    let sent = send_first(session, request, holder, work, mode, abandoning).await;
    transaction.active_at = now();
    match sent {
        Ok((reply, link)) => {
            let kind = (!reply.error.is_empty()).then(|| ErrorKind::from_name(&reply.error));
            let has_ended = reply.failed || !reply.in_transaction;
            let is_overloaded = kind == Some(ErrorKind::Overloaded) && has_ended;
            if is_overloaded || kind.is_some_and(needs_other_holder) {
                let not_run = Failure::new(ErrorKind::HolderSilent);
                let failure = decode(session, reply).err().unwrap_or(not_run);
                let begun = if is_overloaded { Begun::Overloaded } else { Begun::NotHere };
                return begun(failure);
            }
            let (links, holder) = (session.engine().statement_links().clone(), holder.clone());
            let remote = RemoteTransaction { links, holder, link };
            Begun::Ended(finish_statement(session, transaction, reply, remote))
        }
        Err(_) => Begun::Unanswered,
    }
}

async fn continue_transaction(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    mut remote: RemoteTransaction,
) -> Result<Served, Failure> {
    let statement = encode(session, request, work, Begin::No);
    let holder = remote.holder.clone();
    // Only the COMMIT of a transaction that wrote may take effect.
    let may_be_kept = work.statement == Statement::Commit && transaction.may_have_written();
    let abandoning = if may_be_kept { Abandoning::LosesOutcome } else { Abandoning::LosesNothing };
    let sent = send(session, request, &holder, &mut remote.link, statement, abandoning).await;
    let error = match sent {
        Ok(reply) => return finish_statement(session, transaction, reply, remote),
        Err(error) => error,
    };
    transaction.fail();
    let kind = match error {
        SendError::Lost if may_be_kept => ErrorKind::OutcomeUnknown,
        _ => ErrorKind::TransactionLost,
    };
    Err(Failure::new(kind))
}

fn finish_statement(
    session: &mut Session,
    transaction: &mut Transaction,
    reply: StatementReply,
    remote: RemoteTransaction,
) -> Result<Served, Failure> {
    if reply.in_transaction && !reply.failed {
        transaction.set_remote(remote);
    } else if reply.failed || !reply.error.is_empty() {
        // The link is closed, which rolls back what is left of the transaction.
        transaction.fail();
    } else {
        remote.links.give_back(remote.holder.peer_address, remote.link);
    }
    decode(session, reply)
}
