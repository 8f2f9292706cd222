//! Inquiries: a client asks whether an earlier request of its account ran.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::config::Acknowledge;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::ledger::LedgerOutcome;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Inquiry;
use chervilwharf_lib::protos::InquiryReply;
use chervilwharf_lib::protos::Submit;
use chervilwharf_lib::protos::inquiry_reply::State;

use crate::answer::failure;
use crate::confirm::NotConfirmed;
use crate::context::Shared;
use crate::owner;
use crate::owner::Request;
use crate::write;

/// Longest time that the owner works on an inquiry.
const INQUIRY_TIME: Duration = Duration::from_secs(5);

/// Answers an inquiry at the owner of the database.
///
/// The answer is "did not run" only after a tombstone, a ledger row that cancels
/// the request, is confirmed. From then on the request can never run.
pub async fn answer(context: Shared, inquiry: Inquiry) -> InquiryReply {
    match answer_inner(&context, &inquiry).await {
        Ok(reply) => reply,
        Err(failure) => InquiryReply { failure: Some(failure), ..InquiryReply::default() },
    }
}

fn state(state: State) -> InquiryReply {
    InquiryReply { state: state.into(), ..InquiryReply::default() }
}

async fn answer_inner(context: &Shared, inquiry: &Inquiry) -> Result<InquiryReply, Failure> {
    let key = (inquiry.account.as_str().into(), inquiry.request_id.as_str().into());
    let request = Request {
        submit: Submit { request_id: inquiry.request_id.clone(), ..Submit::default() },
        database: inquiry.database.as_str().into(),
        account: inquiry.account.as_str().into(),
        deadline: Instant::now() + INQUIRY_TIME,
        priority: 0,
        flow: Flow::default(),
        acknowledge: Acknowledge::Replica,
    };
    loop {
        if context.in_flight.contains(&key) {
            return Ok(state(State::InFlight));
        }
        let begun =
            owner::begin_work(context, &request.database, request.deadline, false, false).await;
        let (serving, _work) = begun?;
        // Checked again after the wait: an inquiry must not write a tombstone
        // for a request that has started in the meantime.
        if context.in_flight.contains(&key) {
            return Ok(state(State::InFlight));
        }
        if let Ok(row) = write::look_up_or_cancel(context, &request, &serving).await {
            let position = row.position_in(&serving);
            match write::confirm_write(context, &request, &serving, position).await {
                Ok(()) => {
                    let outcome = match row.outcome {
                        LedgerOutcome::Ran => State::RanOnce,
                        LedgerOutcome::Cancelled => State::DidNotRun,
                    };
                    return Ok(InquiryReply {
                        term: row.position.term,
                        index: row.position.index,
                        ..state(outcome)
                    });
                }
                Err(NotConfirmed::Late) => return Err(failure(ErrorKind::NoPrimary)),
                Err(NotConfirmed::TermOver) => {}
            }
        }
        if Instant::now() + Duration::from_millis(10) >= request.deadline {
            return Err(failure(ErrorKind::NoPrimary));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
