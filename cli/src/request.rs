//! The `request` command: reports the outcome of one request.

use serde_json::Value;
use serde_json::json;

use crate::client::Client;
use crate::command::ExitStatus;
use crate::command::Output;
use crate::command::RequestCommand;

/// Queries one instance after the other, until one returns the outcome of the request.
///
/// # Errors
///
/// Returns an error if the store does not answer or no instance can determine the outcome
/// now.
pub async fn run(
    output: &Output,
    client: &Client,
    command: &RequestCommand,
) -> Result<ExitStatus, String> {
    let query =
        [("database", &*command.database), ("account", &*command.account), ("id", &*command.id)];
    let mut reason = String::from("the store lists no instance");
    for instance in client.instances().await? {
        match client.query_instance(&instance, "request", &query).await {
            Ok(answer) => match exit_status(&answer) {
                Some(exit_status) => {
                    print(output, command, &answer);
                    return Ok(exit_status);
                }
                None => answer["reason"].as_str().unwrap_or("unknown").clone_into(&mut reason),
            },
            Err(error) => reason = error,
        }
    }
    Err(format!("no instance can determine the outcome now, try again later: {reason}"))
}

/// The exit status for an answer; `None` if the answer has no outcome.
fn exit_status(answer: &Value) -> Option<ExitStatus> {
    match answer["state"].as_str()? {
        "ran_once" => Some(ExitStatus::Done),
        "did_not_run" => Some(ExitStatus::DidNotRun),
        "in_flight" => Some(ExitStatus::InFlight),
        _ => None,
    }
}

fn print(output: &Output, command: &RequestCommand, answer: &Value) {
    if output.json {
        output.line(json!({
            "request_id": command.id,
            "account": command.account,
            "database": command.database,
            "state": answer["state"],
            "term": answer["term"],
            "index": answer["index"],
        }));
        return;
    }
    let id = &command.id;
    match answer["state"].as_str() {
        Some("ran_once") => {
            let (term, index) = (&answer["term"], &answer["index"]);
            output.line(format_args!("{id} ran once, at position {term}/{index}"));
        }
        Some("did_not_run") => {
            output.line(format_args!("{id} did not run, and will not run under this id"));
        }
        _ => output.line(format_args!("{id} is in flight")),
    }
}
