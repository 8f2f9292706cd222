//! Sessions that have sent BEGIN and nothing else when their instance is stopped as planned.

use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::deployment;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::servers::Service;
use crate::store::Store;

const INSTANCES: usize = 3;
const REPLICA_LAG: Duration = Duration::from_millis(60);

/// The mean of `balance-view`.
const WORK: Duration = Duration::from_millis(22);

const SESSIONS: u32 = 40;

/// After SIGTERM: when the sessions send BEGIN, and when the first of them sends its statement.
const BEGIN_AT: Duration = Duration::from_millis(1_500);
const FIRST_STATEMENT_AT: Duration = Duration::from_millis(5_300);
const STATEMENT_INTERVAL: Duration = Duration::from_millis(8);

fn configuration() -> String {
    r#"{"version":11,"routes":[{"name":"r1","host":"sale","kind":"primary","timeout_ms":800,"slo_ms":120,"priority":1,"service":"ledger"}],
"services":[{"name":"ledger","max_conns":22,"sync_replicas":0}],"limits":{"tx_idle_ms":6000}}"#
        .to_owned()
}

pub fn run(record: &Record, stops: bool) -> Verdict {
    let network = deployment::network();
    let service = Service::start_with_work(&format!("{network}.2"), "ledger", 3, REPLICA_LAG, WORK);
    let store = Store::start(&format!("{network}.3"));
    store.put("config", "main", &configuration());
    let Some(deployment) = Deployment::start(&network, store, &[&service], INSTANCES) else {
        return Verdict::NotRun("the instances are not ready".to_owned());
    };
    std::thread::sleep(Duration::from_secs(4));
    let front = deployment.fronts[0];
    let sessions: Vec<_> = (0..SESSIONS).map(|_| Client::start(front, "sale")).collect();
    let began_at = Instant::now();
    if stops {
        deployment.terminate(0);
        record.line("SIGTERM");
    }
    let clients: Vec<_> = sessions
        .into_iter()
        .zip(0..)
        .map(|(session, number): (_, u32)| {
            std::thread::spawn(move || {
                let mut session = session?;
                let wait = |after: Duration| {
                    let at = began_at + after;
                    std::thread::sleep(at.saturating_duration_since(Instant::now()));
                };
                wait(BEGIN_AT);
                session.query(&format!("begin{number}"), "BEGIN").filter(|a| a.is_done())?;
                wait(FIRST_STATEMENT_AT + STATEMENT_INTERVAL * number);
                let sent_at = Instant::now();
                let answer = session.query(&format!("read{number}"), "READ unit");
                Some((sent_at, Instant::now(), answer))
            })
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(std::thread::JoinHandle::join).collect();
    // Statements that the servers are at work on are recorded when they end.
    std::thread::sleep(Duration::from_millis(500));
    let mut cut = 0;
    for (number, result) in results.into_iter().enumerate() {
        let Ok(Some((sent_at, ended_at, answer))) = result else {
            record.line(&format!("session {number}: no BEGIN"));
            continue;
        };
        let id = format!("read{number}");
        let passed_on = service.runs().iter().any(|run| run.id == id);
        let after = sent_at.saturating_duration_since(began_at).as_millis();
        let took = ended_at.saturating_duration_since(sent_at).as_millis();
        let what = answer.as_ref().map_or("NO ANSWER".to_owned(), |a| format!("{:?}", a.error));
        record.line(&format!(
            "{id} sent {after} ms after the beginning, ended after {took} ms, ran at a server: \
             {passed_on}; {what}"
        ));
        cut += u32::from(answer.is_none() && passed_on);
    }
    record.line(&format!("{cut} statements were passed on and not answered"));
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}
