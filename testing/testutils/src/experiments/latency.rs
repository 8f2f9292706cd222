//! Latency experiments: the time that the proxy adds to a statement, and the number of
//! statements that a processor core can process.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::FaultProxy;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::cluster::wait_for;
use crate::experiments::failover::reference_options;
use crate::experiments::stats::quantile;
use crate::experiments::usage::Usage;

/// One-way network delay between a client and the instance that it is connected to, which
/// is the delay of the reference sites.
const CLIENT_DELAY: Duration = Duration::from_millis(3);

/// Number of statements of one latency measurement.
const SAMPLES: usize = 600;

/// Number of clients of the throughput measurement.
const CLIENTS: usize = 48;

/// Duration of one throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(8);

/// Sets the network delays of a deployment in which the owner is in the same failure
/// domain as the primary, and the replicas are in others.
fn set_delays(cluster: &Cluster, primary: usize, delay: Duration) {
    for (index, target) in cluster.targets.iter().enumerate() {
        let one_way_delay = if index == primary { Duration::ZERO } else { delay };
        target.sql_proxy.set(Behaviour::delayed(one_way_delay));
        target.log_proxy.set(Behaviour::delayed(delay));
    }
    for node in &cluster.instances {
        node.peer_proxy.set(Behaviour::delayed(delay));
        node.client_proxy.set(Behaviour::delayed(CLIENT_DELAY));
    }
}

async fn connect_direct(cluster: &Cluster, primary: usize, delay: Duration) -> Client {
    let proxy = FaultProxy::start().await.expect("a port is available");
    let process = cluster.targets[primary].process.as_ref().expect("the process is running");
    proxy.set_upstream(process.ready["target"].parse().expect("an address"));
    proxy.set(Behaviour::delayed(delay));
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(proxy.address.port()).user(&cluster.secret).dbname("db1");
    let (client, connection) = config.connect(NoTls).await.expect("the server is running");
    tokio::spawn(connection);
    client
}

async fn time_statements(client: &Client, statement: impl Fn(usize) -> String) -> Vec<Duration> {
    let mut times = Vec::with_capacity(SAMPLES);
    for number in 0..SAMPLES {
        let text = statement(number);
        let began = Instant::now();
        client.batch_execute(&text).await.expect("the statement runs");
        times.push(began.elapsed());
    }
    times.sort_unstable();
    times
}

fn row(name: &str, times: &[Duration], direct: &[Duration]) {
    let us = |time: Duration| i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    let (p50, p99) = (us(quantile(times, 0.5)), us(quantile(times, 0.99)));
    let added50 = p50 - us(quantile(direct, 0.5));
    let added99 = p99 - us(quantile(direct, 0.99));
    println!("| {name} | {p50} | {p99} | {added50} | {added99} |");
}

/// Measures and prints the latency that the proxy adds in a deployment.
///
/// # Panics
///
/// When a statement fails.
pub async fn run(deployment_name: &str) {
    let options = reference_options(deployment_name);
    let delay = options.delay;
    let cluster = Cluster::start(ClusterOptions { delay: Duration::ZERO, ..options }).await;
    let (owner, _, primary) = cluster.serving("db1").await.expect("the database is served");
    let primary = cluster.target(&primary);
    let setup = cluster.connect(owner, "tenant").await;
    setup
        .batch_execute("CREATE TABLE items (id INTEGER, name TEXT)")
        .await
        .expect("the statement runs");
    setup.batch_execute("INSERT INTO items VALUES (17, 'n')").await.expect("the statement runs");
    set_delays(&cluster, primary, delay);
    let read = |_: usize| "SELECT name FROM items WHERE id = 17".to_owned();
    let write = |number: usize| format!("INSERT INTO items VALUES ({number}, 'x')");
    let direct = connect_direct(&cluster, primary, CLIENT_DELAY).await;
    let at_owner = cluster.connect(owner, "tenant").await;
    let other = (owner + 1) % cluster.instances.len();
    let at_other = cluster.connect(other, "tenant").await;
    println!("{deployment_name}: microseconds p50, p99, added p50, added p99");
    let direct_reads = time_statements(&direct, read).await;
    row("read, direct", &direct_reads, &direct_reads);
    row("read, entry is owner", &time_statements(&at_owner, read).await, &direct_reads);
    row("read, entry is another", &time_statements(&at_other, read).await, &direct_reads);
    let direct_writes = time_statements(&direct, write).await;
    row("write, direct (not replicated)", &direct_writes, &direct_writes);
    row("write, entry is owner", &time_statements(&at_owner, write).await, &direct_writes);
    row("write, entry is another", &time_statements(&at_other, write).await, &direct_writes);
}

/// Measures and prints how many statements the instances process per second, in total and
/// per second of processor time.
///
/// # Panics
///
/// When the deployment does not start.
pub async fn throughput() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let setup = cluster.connect(0, "tenant").await;
    setup
        .batch_execute("CREATE TABLE items (id INTEGER, name TEXT)")
        .await
        .expect("the statement runs");
    setup.batch_execute("INSERT INTO items VALUES (17, 'n')").await.expect("the statement runs");
    for (name, writes_in_ten) in [("reads only", 0), ("90 % reads", 1)] {
        let processes: Vec<_> = cluster
            .instances
            .iter()
            .map(|n| n.process.as_ref().expect("the process is running").id())
            .collect();
        let before: Vec<_> = processes.iter().map(|id| Usage::of(*id)).collect();
        let began = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..CLIENTS {
            let client = cluster.connect(number % cluster.instances.len(), "tenant").await;
            tasks.push(tokio::spawn(async move {
                let mut count = 0_usize;
                while began.elapsed() < THROUGHPUT_TIME {
                    count += 1;
                    let text = if count % 10 < writes_in_ten {
                        "INSERT INTO items VALUES (1, 'x')"
                    } else {
                        "SELECT name FROM items WHERE id = 17"
                    };
                    if client.batch_execute(text).await.is_err() {
                        break;
                    }
                }
                count
            }));
        }
        let mut statements = 0;
        for task in tasks {
            statements += task.await.expect("clients do not panic");
        }
        let elapsed = began.elapsed().as_secs_f64();
        let after: Vec<_> = processes.iter().map(|id| Usage::of(*id)).collect();
        let cpu: f64 = after.iter().zip(&before).map(|(a, b)| a.cpu_s - b.cpu_s).sum();
        #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
        let count = statements as f64;
        println!("{name}: {:.0} statements/s, {:.0} a core", count / elapsed, count / cpu);
    }
    wait_for("the deployment is still served", async || cluster.serving("db1").await.is_some())
        .await;
}
