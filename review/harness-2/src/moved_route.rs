//! A route that is moved to another service and back, under an open session.

use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::deployment;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::servers::Run;
use crate::servers::Service;
use crate::store::Store;

const INSTANCES: usize = 3;

/// Within the largest delay of a replica without a disruption, 360 ms.
const REPLICA_LAG: Duration = Duration::from_millis(320);

/// Time between two configurations: at least the smallest gap of quick successions, 80 ms.
const CONFIGURATION_GAP: Duration = Duration::from_millis(100);

/// Time between two rounds, after which all replicas have all commits.
const ROUND_GAP: Duration = Duration::from_millis(800);

const ROUNDS: u64 = 10;
const FIRST_WRITE_LIMIT: Duration = Duration::from_secs(10);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r1","host":"stock","kind":"read_your_writes","timeout_ms":800,"slo_ms":250,"priority":2,"service":"{service}","max_staleness_ms":2500}}],
"services":[{{"name":"blue","max_conns":22,"sync_replicas":0}},{{"name":"green","max_conns":22,"sync_replicas":0}}],"limits":{{"tx_idle_ms":3000}}}}"#
    )
}

struct Reader<'a> {
    client: Client,
    services: [&'a Service; 2],
    reads: u64,
}

impl Reader<'_> {
    /// Reads until a read runs at the service `name`, and returns that run.
    fn read_at(&mut self, record: &Record, name: &str) -> Option<(Run, Vec<String>)> {
        let until = Instant::now() + IN_FORCE_LIMIT;
        while Instant::now() < until {
            self.reads += 1;
            let id = format!("read{}", self.reads);
            let answer = self.client.query(&id, "READ unit")?;
            let (rows, error) = (answer.rows.clone(), answer.error.clone());
            let all_runs = self.services.iter().flat_map(|service| service.runs());
            // The last run of the id is the one that was answered.
            let run = all_runs.filter(|run| run.id == id).max_by_key(|run| run.at);
            let Some(run) = run.filter(|_| answer.is_done()) else {
                record.line(&format!("{id} not served: {error:?}"));
                continue;
            };
            if run.service == name {
                return Some((run, rows));
            }
        }
        None
    }
}

pub fn run(record: &Record, moves: bool) -> Verdict {
    let network = deployment::network();
    let ip = format!("{network}.2");
    let blue = Service::start(&ip, "blue", 3, REPLICA_LAG);
    let green = Service::start(&ip, "green", 3, REPLICA_LAG);
    let store = Store::start(&format!("{network}.3"));
    let mut version = 11;
    store.put("config", "main", &configuration(version, "blue"));
    let started = Deployment::start(&network, store, &[&blue, &green], INSTANCES);
    let Some(deployment) = started else {
        return Verdict::NotRun("the instances are not ready".to_owned());
    };
    let until = Instant::now() + FIRST_WRITE_LIMIT;
    let mut client = loop {
        let Some(mut client) = Client::start(deployment.fronts[0], "stock") else {
            return Verdict::NotRun("no session".to_owned());
        };
        if client.query("first", "WRITE unit 0").is_some_and(|answer| answer.is_done()) {
            break client;
        }
        if Instant::now() > until {
            return Verdict::NotRun("the first write is not served".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    // Lets the instance observe how far the replicas are behind.
    for number in 0..20 {
        client.query(&format!("warm{number}"), "READ unit");
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut reader = Reader { client, services: [&blue, &green], reads: 0 };
    let mut broken = 0;
    for round in 1..=ROUNDS {
        std::thread::sleep(ROUND_GAP);
        let (id, text) = (format!("write{round}"), format!("WRITE unit {round}"));
        let Some(answer) = reader.client.query(&id, &text) else {
            return Verdict::NotRun("the session ended".to_owned());
        };
        let Some(own) = answer.index().filter(|_| answer.is_done()) else {
            record.line(&format!("{id} not served: {:?}", answer.error));
            continue;
        };
        record.line(&format!("{id} {text:?} acknowledged at 1.{own} of blue"));
        if moves {
            version += 1;
            deployment.store.put("config", "main", &configuration(version, "green"));
            let moved_at = Instant::now();
            record.line(&format!("version {version} acknowledged: the route uses green"));
            let Some((run, _)) = reader.read_at(record, "green") else {
                return Verdict::NotRun("the route did not move".to_owned());
            };
            record.line_at(run.at, &format!("{} ran at {}", run.id, run.server));
            let gap = CONFIGURATION_GAP.saturating_sub(moved_at.elapsed());
            std::thread::sleep(gap);
            version += 1;
            deployment.store.put("config", "main", &configuration(version, "blue"));
            record.line(&format!("version {version} acknowledged: the route uses blue"));
        }
        let Some((run, rows)) = reader.read_at(record, "blue") else {
            return Verdict::NotRun("the route did not move back".to_owned());
        };
        let is_stale = run.applied < own;
        let note = if is_stale { "LACKS the session's own commit" } else { "has it" };
        record.line_at(
            run.at,
            &format!(
                "{} ran at {} on 1.{}: {note}; rows {rows:?}",
                run.id, run.server, run.applied
            ),
        );
        broken += u64::from(is_stale);
    }
    record.line(&format!("{broken} of {ROUNDS} rounds stale"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
