//! Passes a request to the code path for its kind, at the owner of the database:
//! the one instance that serves it.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::protos::Answer;
use chervilwharf_lib::protos::Describe;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::StatementKind;
use chervilwharf_lib::protos::Submit;

use crate::answer::failure;
use crate::answer::to_answer;
use crate::context::Shared;
use crate::owner;
use crate::owner::Request;
use crate::read;
use crate::transaction;
use crate::write;

/// Runs a request and returns its answer.
pub async fn serve(context: Shared, submit: Submit) -> Answer {
    let request = Request::new(&context, submit);
    let result = match request.submit.kind() {
        StatementKind::Read => read::run(&context, &request).await,
        StatementKind::Write => write::run(&context, &request).await,
        StatementKind::InTransaction => transaction::run(&context, &request).await,
        StatementKind::Commit => transaction::commit(&context, &request).await,
    };
    to_answer(result)
}

/// Returns the parameter and column types of a statement, from the primary of the
/// database.
pub async fn describe(context: Shared, describe: Describe) -> Answer {
    to_answer(describe_inner(&context, &describe).await)
}

async fn describe_inner(context: &Shared, describe: &Describe) -> Result<StatementResult, Failure> {
    let database: DatabaseId = describe.database.as_str().into();
    let deadline = Instant::now() + Duration::from_millis(describe.deadline_ms);
    let (serving, _work) = owner::begin_work(context, &database, deadline, false, false).await?;
    let mut guard =
        owner::connect(context, &database, &serving, &serving.primary, deadline).await?;
    let described = guard.get().describe(&describe.sql, &describe.parameter_type_oids);
    match tokio::time::timeout_at(deadline.into(), described).await {
        Ok(Ok(described)) => Ok(described),
        Ok(Err(error)) => Err(owner::batch_failure(context, &database, &serving, &error)),
        Err(_) => Err(failure(ErrorKind::DeadlineBeforeStart)),
    }
}
