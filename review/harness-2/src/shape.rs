//! A prepared statement whose shape contains blanks.

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
    r#"{"version":11,"routes":[{"name":"r1","host":"mail","kind":"primary","timeout_ms":800,"slo_ms":150,"priority":1,"service":"ledger"}],
"services":[{"name":"ledger","max_conns":22,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}}"#
        .to_owned()
}

pub fn run(record: &Record, with_blanks: bool) -> Verdict {
    let network = deployment::network();
    let service = Service::start(&format!("{network}.2"), "ledger", 3, REPLICA_LAG);
    let store = Store::start(&format!("{network}.3"));
    store.put("config", "main", &configuration());
    let Some(deployment) = Deployment::start(&network, store, &[&service], INSTANCES) else {
        return Verdict::NotRun("the instances are not ready".to_owned());
    };
    let front = deployment.fronts[0];
    let until = Instant::now() + FIRST_WRITE_LIMIT;
    while !Client::start(front, "mail")
        .and_then(|mut client| client.query("first", "WRITE box empty"))
        .is_some_and(|answer| answer.is_done())
    {
        if Instant::now() > until {
            return Verdict::NotRun("the first write is not served".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let blank = if with_blanks { " " } else { "_" };
    let shapes = [
        ("a", format!("file{blank}under{blank}item"), "WRITE", "box12 bills"),
        ("b", format!("mark{blank}READ{blank}messages"), "WRITE", "box7 done"),
    ];
    let mut broken = false;
    for (name, shape, access, arguments) in shapes {
        let Some(mut client) = Client::start(front, "mail") else {
            return Verdict::NotRun("no session".to_owned());
        };
        let prepare = format!("PREPARE {name} {access} {shape}");
        let answer = client.query(&format!("prepare-{name}"), &prepare);
        record.line(&format!("client sends {prepare:?}, gets {answer:?}"));
        if !answer.is_some_and(|answer| answer.is_done()) {
            continue;
        }
        let id = format!("execute-{name}");
        let execute = format!("EXECUTE {name} {arguments}");
        let answer = client.query(&id, &execute);
        record.line(&format!("client sends {execute:?}, gets {answer:?}"));
        for run in service.runs().iter().filter(|run| run.id == id) {
            let ran = run.prepared.clone().unwrap_or_default();
            let same = ran == (access.to_owned(), shape.clone());
            let note = if same { "as prepared" } else { "NOT WHAT THE CLIENT PREPARED" };
            record
                .line_at(run.at, &format!("{} ran {:?} as {ran:?}: {note}", run.server, run.text));
            broken |= !same;
        }
        let (item, data) = arguments.split_once(' ').unwrap_or_default();
        let stored = service.data_of(item);
        let kept = stored.as_deref() == Some(data);
        let acknowledged = answer.as_ref().is_some_and(|answer| answer.is_done());
        record.line(&format!("acknowledged: {acknowledged}; the primary has {item} = {stored:?}"));
        // Acknowledged preparing, and yet the name cannot be executed.
        let unknown = answer.and_then(|answer| answer.error);
        if let Some(error) = unknown {
            record.line(&format!("the name was prepared, and executing it gives {error:?}"));
            broken |= !error.starts_with("BUSY");
        }
        broken |= acknowledged && !kept;
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
