//! Writes in progress at this owner. Copies of the same write are detected here
//! and share one run.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::ledger;
use chervilwharf_lib::protos::Answer;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;
use futures::future::BoxFuture;
use tokio::sync::watch;

use crate::answer::failure;
use crate::answer::failure_with;
use crate::answer::from_answer;
use crate::answer::to_answer;
use crate::metrics::since_epoch;

/// Key of a request: its client account and its request id.
pub type InFlightKey = (AccountId, RequestId);

type AnswerReceiver = watch::Receiver<Option<Answer>>;

/// Writes in progress at this owner.
///
/// An entry instance resends a request whose answer did not arrive. The second
/// copy must wait for the first: the ledger has no row of the first copy before
/// that commits, so both would run.
#[derive(Default)]
pub struct InFlight {
    running: Mutex<HashMap<InFlightKey, Running>>,
}

struct Running {
    digest: Vec<u8>,
    answer: AnswerReceiver,
}

/// An entry in [`InFlight`], removed when dropped.
struct InFlightGuard {
    in_flight: Arc<InFlight>,
    key: InFlightKey,
    sender: watch::Sender<Option<Answer>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.running.lock().expect("never poisoned").remove(&self.key);
    }
}

/// Decision about a request that has arrived.
enum StartDecision {
    Run(InFlightGuard),
    Join(AnswerReceiver),
    /// Refuse it: a request with the same id and another statement is in
    /// progress.
    Reused,
}

impl InFlight {
    /// Whether a request is in progress here.
    #[must_use]
    pub fn contains(&self, key: &InFlightKey) -> bool {
        self.running.lock().expect("never poisoned").contains_key(key)
    }

    fn start(self: &Arc<Self>, key: InFlightKey, digest: &[u8]) -> StartDecision {
        let mut running = self.running.lock().expect("never poisoned");
        match running.get(&key) {
            Some(other) if other.digest == digest => {
                return StartDecision::Join(other.answer.clone());
            }
            Some(_) => return StartDecision::Reused,
            None => {}
        }
        let (sender, answer) = watch::channel(None);
        running.insert(key.clone(), Running { digest: digest.to_vec(), answer });
        StartDecision::Run(InFlightGuard { in_flight: self.clone(), key, sender })
    }

    /// Runs `work` for a request, or waits for the answer of the copy that is in
    /// progress. `digest` is the digest of the request's statement.
    ///
    /// The work runs in a task of its own: the entry instance may disconnect
    /// during the write, which must still reach a known outcome.
    ///
    /// # Errors
    ///
    /// The failure for the client: that of `work`, the refusal of a request id that
    /// has expired or is in use for another statement, or, if the earlier copy has
    /// not ended before `deadline`, [`ErrorKind::InFlight`].
    pub async fn run_once(
        self: &Arc<Self>,
        key: InFlightKey,
        digest: &[u8],
        deadline: Instant,
        work: BoxFuture<'static, Result<StatementResult, Failure>>,
    ) -> Result<StatementResult, Failure> {
        if ledger::is_expired(&key.1, since_epoch()) {
            return Err(failure(ErrorKind::RequestIdExpired));
        }
        let guard = match self.start(key, digest) {
            StartDecision::Run(guard) => guard,
            StartDecision::Join(other) => return from_answer(join(other, deadline).await),
            StartDecision::Reused => return Err(failure(ErrorKind::RequestIdReused)),
        };
        let task = tokio::spawn(async move {
            let answer = to_answer(work.await);
            guard.sender.send_replace(Some(answer.clone()));
            answer
        });
        match task.await {
            Ok(answer) => from_answer(answer),
            Err(_) => Err(failure(ErrorKind::OutcomeUnknown)),
        }
    }
}

/// Waits for the answer of another copy of a request.
async fn join(mut other: AnswerReceiver, deadline: Instant) -> Answer {
    let finished = other.wait_for(Option::is_some);
    match tokio::time::timeout_at(deadline.into(), finished).await {
        Ok(Ok(answer)) => match answer.as_ref() {
            Some(answer) => answer.clone(),
            None => to_answer(Err(failure(ErrorKind::OutcomeUnknown))),
        },
        Ok(Err(_)) => to_answer(Err(failure(ErrorKind::OutcomeUnknown))),
        Err(_) => to_answer(Err(failure_with(
            ErrorKind::InFlight,
            "an earlier copy of this request is still in flight",
        ))),
    }
}
