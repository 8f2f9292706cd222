//! All machines are lost at once, and others come at other addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::deployment;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::servers::Service;
use crate::store::Store;

const INSTANCES: usize = 6;
const REPLICA_LAG: Duration = Duration::from_millis(60);

/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which requests are counted before the loss, and after `RECOVERY`.
const COUNTED: Duration = Duration::from_secs(12);

/// Pause of each client between two requests, and after one that was not served.
const PAUSE: Duration = Duration::from_millis(50);

const SERVED_SHARE: f64 = 0.25;

fn configuration() -> String {
    let route = |host: &str, kind: &str, staleness_ms: u32| {
        format!(
            r#"{{"name":"r-{host}","host":"{host}","kind":"{kind}","timeout_ms":800,"slo_ms":250,"priority":1,"service":"ledger","max_staleness_ms":{staleness_ms}}}"#
        )
    };
    format!(
        r#"{{"version":11,"routes":[{},{},{}],"services":[{{"name":"ledger","max_conns":22,"sync_replicas":0}}],"limits":{{"tx_idle_ms":3000}}}}"#,
        route("booking", "primary", 0),
        route("gate", "bounded", 1500),
        route("stock", "read_your_writes", 2500),
    )
}

/// When a request was sent, whether it was served, and the answer if it was not.
type Request = (Instant, bool, String);

fn send_requests(
    fronts: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
    requests: &Mutex<Vec<Request>>,
    client: usize,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        std::thread::sleep(PAUSE);
        let front = {
            let fronts = fronts.lock().unwrap();
            match fronts.len() {
                0 => continue,
                count => fronts[(client + number) % count],
            }
        };
        let (database, text) = match number % 3 {
            0 => ("booking", format!("WRITE unit{client} {number}")),
            1 => ("gate", format!("READ unit{client}")),
            _ => ("stock", format!("READ unit{client}")),
        };
        let sent_at = Instant::now();
        let session = Client::start(front, database);
        let answer = session.and_then(|mut c| c.query(&format!("q{client}x{number}"), &text));
        let served = answer.as_ref().is_some_and(|answer| answer.is_done());
        let why = answer.and_then(|answer| answer.error).unwrap_or_default();
        requests.lock().unwrap().push((sent_at, served, why));
    }
}

fn count(requests: &[Request], from: Instant, until: Instant) -> (usize, usize) {
    let sent = || requests.iter().filter(|(at, ..)| *at >= from && *at < until);
    (sent().filter(|(_, served, _)| *served).count(), sent().count())
}

pub fn run(record: &Record, at_other_addresses: bool) -> Verdict {
    let network = deployment::network();
    let service = Service::start(&format!("{network}.2"), "ledger", 3, REPLICA_LAG);
    let store = Store::start(&format!("{network}.3"));
    store.put("config", "main", &configuration());
    let Some(mut deployment) = Deployment::start(&network, store, &[&service], INSTANCES) else {
        return Verdict::NotRun("the instances are not ready".to_owned());
    };
    let fronts = Arc::new(Mutex::new(deployment.fronts.clone()));
    let stop = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(Mutex::new(Vec::new()));
    std::thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let (fronts, stop, requests) = (fronts.clone(), stop.clone(), requests.clone());
            std::thread::spawn(move || send_requests(&fronts, &stop, &requests, client))
        })
        .collect();
    std::thread::sleep(COUNTED);
    let lost_at = Instant::now();
    fronts.lock().unwrap().clear();
    deployment.kill_all();
    record.line(&format!("all {INSTANCES} processes killed at once"));
    std::thread::sleep(Duration::from_secs(1));
    let first = if at_other_addresses { INSTANCES } else { 0 };
    if !deployment.start_machines(&network, first..first + INSTANCES) {
        return Verdict::NotRun("the new instances are not ready".to_owned());
    }
    let back_at = Instant::now();
    fronts.lock().unwrap().clone_from(&deployment.fronts);
    let which = if at_other_addresses { "other machines" } else { "the same machines" };
    record.line(&format!("{INSTANCES} processes run on {which} and are ready"));
    std::thread::sleep(RECOVERY + COUNTED);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let requests = requests.lock().unwrap();
    for (at, served, why) in requests.iter().filter(|(_, served, _)| !served).take(2000) {
        record.line_at(*at, &format!("request served: {served}; answer {why:?}"));
    }
    let (before, before_all) = count(&requests, began_at, lost_at);
    record.line(&format!("before the loss {before} of {before_all} requests were served"));
    let from = back_at + RECOVERY;
    let (after, after_all) = count(&requests, from, from + COUNTED);
    record.line(&format!(
        "later than 12 s after the machines were back {after} of {after_all} were served"
    ));
    let enough = |served: usize, all: usize| served as f64 >= all as f64 * SERVED_SHARE;
    if before_all == 0 || after_all == 0 || !enough(before, before_all) {
        return Verdict::NotRun("too few requests were served before the loss".to_owned());
    }
    if enough(after, after_all) { Verdict::Held } else { Verdict::Broken }
}
