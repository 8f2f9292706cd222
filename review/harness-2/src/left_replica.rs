//! The replica that has the acknowledged commits has left as planned, and its successor at its
//! address is not listed yet, when the primary crashes.

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
use crate::replicated::Replicated;
use crate::store::Store;

const INSTANCES: usize = 7;
const PROMOTE_TIME: Duration = Duration::from_millis(1000);

/// Times after the beginning.
const DRAINS_AT: Duration = Duration::from_secs(1);
const DEAF_AT: Duration = Duration::from_secs(5);
/// `drain_ms` is 7,000: the server serves for that time and a little longer.
const LEAVES_AT: Duration = Duration::from_millis(8_500);
const CRASHES_AT: Duration = Duration::from_millis(8_800);
/// `reuse_after_s` is 2: its address is used again.
const SUCCESSOR_AT: Duration = Duration::from_millis(10_600);
/// Six seconds after it began.
const HEARS_AT: Duration = Duration::from_secs(11);
/// Three heartbeat intervals of 1.2 s after the crash.
const EXPIRES_AT: Duration = Duration::from_millis(12_400);
/// Seven seconds after the crash.
const BACK_AT: Duration = Duration::from_millis(15_800);
const ENDS_AT: Duration = Duration::from_secs(20);

fn configuration() -> String {
    r#"{"version":11,"routes":[{"name":"r1","host":"sale","kind":"primary","timeout_ms":800,"slo_ms":120,"priority":1,"service":"passes"}],
"services":[{"name":"passes","max_conns":16,"sync_replicas":1}],"limits":{"tx_idle_ms":3000}}"#
        .to_owned()
}

pub fn run(record: &Record, with_trouble: bool) -> Verdict {
    let network = deployment::network();
    let service = Replicated::start(&format!("{network}.2"), "passes", PROMOTE_TIME);
    let store = Store::start(&format!("{network}.3"));
    let promoted = (service.clone(), store.clone());
    store.on_promote(move |id| promoted.0.promote(&promoted.1, id));
    store.put("config", "main", &configuration());
    for number in 0..3 {
        service.publish(&store, number);
    }
    let started = Deployment::start(&network, store.clone(), &[], INSTANCES);
    let Some(deployment) = started else {
        return Verdict::NotRun("the instances are not ready".to_owned());
    };
    std::thread::sleep(Duration::from_secs(5));
    let began_at = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..INSTANCES)
        .map(|client| {
            let (front, stop, acknowledged) =
                (deployment.fronts[client], stop.clone(), acknowledged.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(40));
                    number += 1;
                    let id = format!("w{client}x{number}");
                    let text = format!("WRITE pass{client} {number}");
                    let session = Client::start(front, "sale");
                    let answer = session.and_then(|mut session| session.query(&id, &text));
                    if answer.is_some_and(|answer| answer.is_done()) {
                        acknowledged.lock().unwrap().push((Instant::now(), id));
                    }
                }
            })
        })
        .collect();
    let wait_until = |after: Duration| {
        std::thread::sleep((began_at + after).saturating_duration_since(Instant::now()));
    };
    wait_until(DRAINS_AT);
    service.set_draining(1);
    service.publish(&store, 1);
    record.line(&format!("{} drains as planned", service.id(1)));
    wait_until(DEAF_AT);
    if with_trouble {
        service.set_deaf(2, true);
        record.line(&format!("{} receives nothing from now on", service.id(2)));
    }
    wait_until(LEAVES_AT);
    let left = service.id(1);
    let log_of_left = service.log(1);
    service.stop(1);
    store.remove("servers", &left);
    record.line(&format!("{left} has left; its log goes to a new server at its address"));
    wait_until(CRASHES_AT);
    let primary = service.id(0);
    if with_trouble {
        service.stop(0);
        record.line(&format!("{primary}, the primary, crashes"));
    }
    wait_until(SUCCESSOR_AT);
    service.start_again(1, Some("i-passes-1b"));
    service.publish(&store, 1);
    record.line("i-passes-1b starts at that address, with that log");
    wait_until(HEARS_AT);
    if with_trouble {
        service.set_deaf(2, false);
        record.line(&format!("{} can receive again", service.id(2)));
        wait_until(EXPIRES_AT);
        store.remove("servers", &primary);
        wait_until(BACK_AT);
        service.start_again(0, None);
        service.publish(&store, 0);
        record.line(&format!("{primary} is back"));
    }
    wait_until(ENDS_AT);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let acknowledged = acknowledged.lock().unwrap();
    record.line(&format!("{} commits acknowledged in all", acknowledged.len()));
    if acknowledged.len() < 50 {
        return Verdict::NotRun("too few commits were acknowledged".to_owned());
    }
    let mut broken = false;
    for (at, id, term, log) in service.promotions() {
        let before: Vec<_> = acknowledged.iter().filter(|(acked_at, _)| *acked_at < at).collect();
        let missing: Vec<_> = before
            .iter()
            .filter(|(_, commit)| !log.iter().any(|entry| entry.id == *commit))
            .collect();
        let elsewhere = missing
            .iter()
            .filter(|(_, commit)| log_of_left.iter().any(|entry| entry.id == *commit))
            .count();
        record.line_at(
            at,
            &format!(
                "{id} leads term {term}; of {} commits acknowledged before, {} are missing in its \
                 log, {elsewhere} of these were in the log of {left}",
                before.len(),
                missing.len()
            ),
        );
        for (acked_at, commit) in missing.iter().take(5) {
            record.line_at(*acked_at, &format!("{commit} acknowledged, and missing"));
        }
        broken |= !missing.is_empty();
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
