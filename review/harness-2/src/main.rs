//! Stand-ins and cases of the second independent review. `review-2 CASE` exits with 1 if the
//! rule of the case was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod deployment;
mod exchanged_fleet;
mod http;
mod json;
mod left_replica;
mod line_feed;
mod moved_route;
mod planned_stop;
mod record;
mod replicated;
mod servers;
mod shape;
mod store;
mod wire;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = record::Record::create();
    let verdict = match case.as_str() {
        "exchanged-fleet" => exchanged_fleet::run(&record, !calm),
        "left-replica" => left_replica::run(&record, !calm),
        "line-feed" => line_feed::run(&record, !calm),
        "moved-route" => moved_route::run(&record, !calm),
        "planned-stop" => planned_stop::run(&record, !calm),
        "shape" => shape::run(&record, !calm),
        other => Verdict::NotRun(format!("no case {other:?}")),
    };
    match verdict {
        Verdict::Held => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.line(&format!("verdict: not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
