//! Forwarding of statements to another instance that holds connections to their group (a
//! holder). The other instance runs them in a forwarded session.
//!
//! This module decides where single statements go, and keeps the links to the holders;
//! [`transaction`] does the former for transactions.

mod encoding;
mod exchange;
pub mod transaction;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;

use crate::engine::holder_search::HolderSearch;
use crate::engine::load_choice::request_kind;
use crate::engine::peers::PeerLink;
use crate::engine::remote::encoding::decode;
use crate::engine::remote::exchange::Abandoning;
use crate::engine::remote::exchange::SendError;
use crate::engine::remote::exchange::send_first;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::single::Work;

/// How many idle links to one instance are kept open. Further links are opened while more
/// statements run at once, and closed afterwards.
const KEPT_LINKS: usize = 4;

/// Idle links for forwarded statements, by address of the other instance.
#[derive(Default)]
pub struct StatementLinks {
    idle: Mutex<HashMap<SocketAddr, Vec<PeerLink>>>,
}

impl StatementLinks {
    fn take(&self, address: SocketAddr) -> PeerLink {
        let mut idle = self.idle.lock().expect("never poisoned");
        let links = idle.entry(address).or_default();
        while let Some(mut link) = links.pop() {
            if link.is_open() {
                return link;
            }
        }
        PeerLink::default()
    }

    /// Closes the idle links to an address, after one of the same age stopped working.
    fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().expect("never poisoned").remove(&address);
    }

    /// Closes links to all addresses except these.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        let mut idle = self.idle.lock().expect("never poisoned");
        idle.retain(|address, _| addresses.contains(address));
    }

    fn give_back(&self, address: SocketAddr, link: PeerLink) {
        let mut idle = self.idle.lock().expect("never poisoned");
        let links = idle.entry(address).or_default();
        if links.len() < KEPT_LINKS {
            links.push(link);
        }
    }
}

/// Runs a single statement at a holder.
///
/// # Errors
///
/// When it did not run, failed, or has an unknown outcome.
pub async fn single(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    let mut search = HolderSearch::new(request_kind(request, writes));
    while let Some(holder) = search.next(session, request).await {
        match single_at(session, request, work, writes, &holder).await {
            Err(failure) if needs_other_holder(failure.kind) => {
                search.refused(session, &holder, failure);
            }
            Err(failure) if failure.kind == ErrorKind::HolderSilent => {
                search.unanswered(session, &holder);
            }
            Err(failure) if search.moves_on(session, request, &holder, &failure) => {}
            Err(failure) => return Err(search.final_failure(session, request, failure)),
            served => return served,
        }
    }
    Err(search.into_failure())
}

/// Runs a single statement at this holder only.
///
/// # Errors
///
/// When it did not run, failed, or has an unknown outcome.
pub async fn single_at(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
    holder: &InstanceRecord,
) -> Result<Served, Failure> {
    // Running a read twice has no visible effect.
    let abandoning = if writes { Abandoning::LosesOutcome } else { Abandoning::LosesNothing };
    match send_first(session, request, holder, work, Begin::No, abandoning).await {
        Ok((reply, link)) => {
            let result = decode(session, reply);
            if !result.as_ref().is_err_and(|failure| needs_other_holder(failure.kind)) {
                session.engine().statement_links().give_back(holder.peer_address, link);
            }
            result
        }
        Err(SendError::Lost) if writes => Err(Failure::new(ErrorKind::OutcomeUnknown)),
        Err(_) => Err(Failure::new(ErrorKind::HolderSilent)),
    }
}

/// Whether another holder may serve a statement that was refused with this error. The
/// statement did not run.
pub(super) fn needs_other_holder(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::NotOwner | ErrorKind::Stopping | ErrorKind::CutOff)
}
