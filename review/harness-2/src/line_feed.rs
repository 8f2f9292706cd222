//! A message whose last field contains a line feed.

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
const FIRST_WRITE_LIMIT: Duration = Duration::from_secs(10);

fn configuration() -> String {
    r#"{"version":11,"routes":[{"name":"r1","host":"notes","kind":"primary","timeout_ms":800,"slo_ms":150,"priority":1,"service":"ledger"}],
"services":[{"name":"ledger","max_conns":22,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}}"#
        .to_owned()
}

pub fn run(record: &Record, with_line_feeds: bool) -> Verdict {
    let network = deployment::network();
    let service = Service::start(&format!("{network}.2"), "ledger", 3, REPLICA_LAG);
    let store = Store::start(&format!("{network}.3"));
    store.put("config", "main", &configuration());
    let Some(deployment) = Deployment::start(&network, store, &[&service], INSTANCES) else {
        return Verdict::NotRun("the instances are not ready".to_owned());
    };
    let front = deployment.fronts[0];
    let mut sent: Vec<(String, String)> = Vec::new();
    let until = Instant::now() + FIRST_WRITE_LIMIT;
    loop {
        let id = format!("first{}", sent.len());
        let text = "WRITE note-1 one line";
        sent.push((id.clone(), text.to_owned()));
        let answer = Client::start(front, "notes").and_then(|mut client| client.query(&id, text));
        if answer.is_some_and(|answer| answer.is_done()) {
            break;
        }
        if Instant::now() > until {
            return Verdict::NotRun("the first write is not served".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let separator = if with_line_feeds { "\n" } else { " " };
    let messages = [
        ("note", format!("WRITE note-2 first line{separator}second line")),
        ("mail", format!("WRITE note-3 dear all{separator}QUERY inner9 WRITE rent-7 paid")),
    ];
    for (id, text) in messages {
        let Some(mut client) = Client::start(front, "notes") else {
            return Verdict::NotRun("no session".to_owned());
        };
        sent.push((id.to_owned(), text.clone()));
        record.line(&format!("client sends one message {:?}", format!("QUERY {id} {text}\r\n")));
        let answer = client.query(id, &text);
        record.line(&format!("client gets {answer:?}"));
        // A second answer, to a message that was never sent, arrives at once if at all.
        let extra = if with_line_feeds { client.answer() } else { None };
        record.line(&format!("client gets besides {extra:?}"));
    }
    let mut broken = false;
    for run in service.runs() {
        let asked = sent.iter().any(|(id, text)| *id == run.id && *text == run.text);
        let note = if asked { "as sent" } else { "NO CLIENT SENT THIS" };
        let (server, id, text) = (&run.server, &run.id, &run.text);
        record.line_at(run.at, &format!("{server} ran id {id:?} text {text:?}: {note}"));
        broken |= !asked;
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
