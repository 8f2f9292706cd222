//! A deployment of database servers and instances as real processes, and a store in the
//! process of the test, with a fault proxy in front of each of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_daemon::platform::CONFIGURATION_KEY;
use chervilwharf_daemon::platform_sync::StoredConfiguration;
use chervilwharf_lib::config::Account;
use chervilwharf_lib::config::Config;
use chervilwharf_lib::config::Database;
use chervilwharf_lib::config::DefaultFreshness;
use chervilwharf_lib::config::Dependencies;
use chervilwharf_lib::config::Server;
use chervilwharf_lib::config::Service;
use chervilwharf_lib::verifier;
use chervilwharf_standin::fault_proxy::FaultProxy;
use chervilwharf_standin::store::Store;
use serde_json::Value;
use serde_json::json;

use crate::process::Process;
use crate::process::program;

/// Longest wait for a condition before a test fails. It is far longer than any condition
/// takes, so that a test gives the same result on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Size and properties of a deployment.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of databases, with three servers each.
    pub databases: usize,
    /// Number of instances.
    pub instances: usize,
    /// Time that a server takes to open a connection.
    pub connect_cost: Duration,
    /// Time that a server takes for each statement in addition to its execution.
    pub statement_cost: Duration,
    /// Maximum number of connections to a server.
    pub connections: usize,
    /// One-way network delay to the servers, and between instances.
    pub delay: Duration,
    /// Whether servers keep their log across a restart.
    pub durable: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            domains: 3,
            databases: 1,
            instances: 3,
            connect_cost: Duration::ZERO,
            statement_cost: Duration::ZERO,
            connections: 20,
            delay: Duration::ZERO,
            durable: false,
        }
    }
}

/// A database server and the fault proxies in front of it.
pub struct TargetNode {
    /// Name of the server.
    pub id: String,
    /// The process; `None` before the first start.
    pub process: Option<Process>,
    /// Fault proxy in front of the SQL port.
    pub sql_proxy: FaultProxy,
    /// Fault proxy in front of the replication port.
    pub log_proxy: FaultProxy,
    log_file: Option<PathBuf>,
}

/// An instance and the fault proxies around it.
pub struct InstanceNode {
    /// Name of the instance.
    pub id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// The process; `None` while the instance is down.
    pub process: Option<Process>,
    /// Fault proxy in front of the client port.
    pub client_proxy: FaultProxy,
    /// Fault proxy in front of the port for other instances.
    pub peer_proxy: FaultProxy,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    store_proxy: FaultProxy,
}

impl InstanceNode {
    /// Fault proxy between the instance and the store.
    #[must_use]
    pub fn store_proxy(&self) -> &FaultProxy {
        &self.store_proxy
    }
}

/// A running deployment.
pub struct Cluster {
    /// The store of the platform.
    pub store: Store,
    /// Servers: three for each database, ordered by database.
    pub targets: Vec<TargetNode>,
    /// The instances.
    pub instances: Vec<InstanceNode>,
    /// The configuration; [`Self::store_configuration`] writes it to the store.
    pub config: Config,
    /// Login at the servers, peer key of the instances and part of all passwords.
    ///
    /// Deployments of other tests run at the same time, and the operating system can
    /// assign the port of a process that they killed to a process of this deployment.
    /// The secret is unique to the deployment, so that connections meant for another
    /// deployment are rejected.
    pub secret: String,
    options: ClusterOptions,
    folder: PathBuf,
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn proxy(options: &ClusterOptions) -> FaultProxy {
    let proxy = FaultProxy::start().await.expect("a port is available");
    if !options.delay.is_zero() {
        proxy.set(chervilwharf_standin::fault_proxy::Behaviour::delayed(options.delay));
    }
    proxy
}

fn address(process: &Process, name: &str) -> SocketAddr {
    process.ready[name].parse().expect("the program prints its addresses")
}

impl Cluster {
    /// Starts a deployment and waits until all databases are served.
    pub async fn start(options: ClusterOptions) -> Self {
        let mut cluster = Self::start_without_instances(options).await;
        cluster.store_configuration("test");
        for index in 0..cluster.instances.len() {
            cluster.start_instance(index);
        }
        cluster.list_instances();
        cluster.wait_until_served().await;
        cluster
    }

    /// Starts the servers and the store, but no instance.
    pub async fn start_without_instances(options: ClusterOptions) -> Self {
        let name = format!("chervilwharf-test-{}", uuid::Uuid::now_v7());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary directory can be created");
        let store = Store::start(any_port()).await.expect("a port is available");
        let mut targets = Vec::new();
        for database in 0..options.databases {
            for letter in ["a", "b", "c"] {
                let id = format!("db{}{letter}", database + 1);
                let log_file = options.durable.then(|| folder.join(format!("{id}.log")));
                targets.push(TargetNode {
                    id,
                    process: None,
                    sql_proxy: proxy(&options).await,
                    log_proxy: proxy(&options).await,
                    log_file,
                });
            }
        }
        let mut instances = Vec::new();
        for number in 0..options.instances {
            let store_proxy = FaultProxy::start().await.expect("a port is available");
            store_proxy.set_upstream(store.address);
            instances.push(InstanceNode {
                id: format!("entry-{}", number + 1),
                domain: format!("domain-{}", number % options.domains + 1),
                process: None,
                client_proxy: FaultProxy::start().await.expect("a port is available"),
                peer_proxy: proxy(&options).await,
                admin: any_port(),
                store_proxy,
            });
        }
        let secret = uuid::Uuid::now_v7().to_string();
        let config = configuration(&options, &targets, &secret);
        let mut cluster = Self { store, targets, instances, config, secret, options, folder };
        for index in 0..cluster.targets.len() {
            cluster.start_target(index);
        }
        cluster
    }

    /// Starts or restarts a server.
    pub fn start_target(&mut self, index: usize) {
        let connect_cost_ms = self.options.connect_cost.as_millis().to_string();
        let statement_cost_ms = self.options.statement_cost.as_millis().to_string();
        let log = self.folder.join("targets.txt");
        let target = &mut self.targets[index];
        let mut arguments = vec!["target", "--id", &target.id, "--login", &self.secret];
        arguments.extend(["--connect-cost-ms", &connect_cost_ms]);
        arguments.extend(["--statement-cost-ms", &statement_cost_ms]);
        let log_file = target.log_file.as_ref().map(|path| path.display().to_string());
        if let Some(path) = &log_file {
            arguments.extend(["--log-file", path]);
        }
        let process = Process::start(&program("test-standin"), &arguments, &log);
        target.sql_proxy.set_upstream(address(&process, "target"));
        target.log_proxy.set_upstream(address(&process, "replication"));
        target.process = Some(process);
    }

    /// Starts or restarts an instance.
    pub fn start_instance(&mut self, index: usize) {
        let seeds: Vec<_> = self
            .instances
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, node)| {
                json!({
                    "instance": node.id,
                    "peer_address": node.peer_proxy.address,
                    "failure_domain": node.domain,
                })
            })
            .collect();
        let node = &mut self.instances[index];
        let settings = json!({
            "instance": node.id,
            "failure_domain": node.domain,
            "client_address": any_port(),
            "peer_address": any_port(),
            "advertised_peer_address": node.peer_proxy.address,
            "admin_address": any_port(),
            "store_url": format!("http://{}", node.store_proxy.address),
            "peer_key": self.secret,
            "seeds": seeds,
        });
        let path = self.folder.join(format!("{}.json", node.id));
        std::fs::write(&path, settings.to_string()).expect("the directory is writable");
        let log = self.folder.join(format!("{}.txt", node.id));
        let path = path.display().to_string();
        let process = Process::start(&program("test-chervilwharfd"), &["--settings", &path], &log);
        node.client_proxy.set_upstream(address(&process, "client"));
        node.peer_proxy.set_upstream(address(&process, "peer"));
        node.admin = address(&process, "admin");
        node.process = Some(process);
    }

    /// Writes the configuration to the store and returns its version.
    pub fn store_configuration(&self, author: &str) -> u64 {
        let stored = StoredConfiguration {
            update_id: uuid::Uuid::now_v7().to_string(),
            author: author.to_owned(),
            at_ms: 0,
            text: serde_json::to_string_pretty(&self.config).expect("the value can be serialized"),
            history: Vec::new(),
        };
        let value = serde_json::to_string(&stored).expect("the value can be serialized");
        self.store.put(CONFIGURATION_KEY, &value)
    }

    /// Adds all instances to the platform's list of instances.
    pub fn list_instances(&self) {
        let listed: Vec<_> = self
            .instances
            .iter()
            .map(|node| {
                json!({
                    "id": node.id,
                    "peer_address": node.peer_proxy.address,
                    "admin_address": node.admin,
                    "failure_domain": node.domain,
                })
            })
            .collect();
        self.store.set_instances(&json!(listed));
    }

    /// The status that an instance reports; `None` if it does not answer.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let url = format!("http://{}/status", self.instances[index].admin);
        let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(2));
        let client = client.build().expect("the HTTP client can be built");
        client.get(url).send().await.ok()?.json().await.ok()
    }

    /// Metrics of an instance in the text format of Prometheus.
    pub async fn metrics(&self, index: usize) -> String {
        let url = format!("http://{}/metrics", self.instances[index].admin);
        let client =
            reqwest::Client::builder().no_proxy().build().expect("the HTTP client can be built");
        let response = client.get(url).send().await.expect("the instance is running");
        response.text().await.expect("metrics are text")
    }

    /// Sets the delay with which all replicas apply replicated entries.
    ///
    /// # Panics
    ///
    /// When a server is down.
    pub async fn set_lag(&self, lag: Duration) {
        let client =
            reqwest::Client::builder().no_proxy().build().expect("the HTTP client can be built");
        for target in &self.targets {
            let address =
                &target.process.as_ref().expect("the process is running").ready["replication"];
            let url = format!("http://{address}/lag/{}", lag.as_millis());
            client.post(url).send().await.expect("the server is running");
        }
    }

    /// Index of the instance that serves a database, with the term and the name of the
    /// primary. With several, the one of the highest term.
    pub async fn serving(&self, database: &str) -> Option<(usize, u64, String)> {
        let mut best: Option<(usize, u64, String)> = None;
        for index in 0..self.instances.len() {
            if self.instances[index].process.is_none() {
                continue;
            }
            let Some(status) = self.status(index).await else {
                continue;
            };
            let own = &status["databases"][database]["serving_here"];
            let (Some(term), Some(primary)) = (own["term"].as_u64(), own["primary"].as_str())
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, known, _)| *known < term) {
                best = Some((index, term, primary.to_owned()));
            }
        }
        best
    }

    /// Waits until every database is served by an instance.
    pub async fn wait_until_served(&self) {
        for database in self.config.databases.keys() {
            wait_for("every database is served", async || self.serving(database).await.is_some())
                .await;
        }
    }

    /// Index of a server by its name.
    ///
    /// # Panics
    ///
    /// When there is no server of that name.
    #[must_use]
    pub fn target(&self, id: &str) -> usize {
        self.targets.iter().position(|node| node.id == id).expect("the server exists")
    }

    /// Directory with settings and logs, kept when a test fails.
    #[must_use]
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The directory is kept after a failure, since the logs can explain it.
        if std::thread::panicking() {
            eprintln!("logs of the failed test: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// When it does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Password of an account in a deployment with the given secret.
#[must_use]
pub fn password(account: &str, secret: &str) -> String {
    format!("{account}-{secret}")
}

fn configuration(options: &ClusterOptions, targets: &[TargetNode], secret: &str) -> Config {
    let databases: Vec<String> = (1..=options.databases).map(|n| format!("db{n}")).collect();
    let server = |(index, node): (usize, &TargetNode)| Server {
        id: node.id.as_str().into(),
        address: node.sql_proxy.address.to_string().into(),
        replication_address: Some(node.log_proxy.address.to_string().into()),
        failure_domain: format!("domain-{}", index % options.domains + 1).into(),
        slots: 3,
        connections: options.connections,
        leaving: false,
    };
    let group = |(number, name): (usize, &String)| {
        let servers = targets[number * 3..number * 3 + 3].iter().enumerate().map(server);
        let login = secret;
        let database = Database {
            servers: servers.collect(),
            urgent_reserve: 0,
            login: login.into(),
            password: login.into(),
        };
        (name.as_str().into(), database)
    };
    let service = |priority, freshness| Service {
        priority,
        objective: 0.999,
        freshness,
        acknowledge: chervilwharf_lib::config::Acknowledge::Replica,
        deadline_ms: 10_000,
        depends_on: Dependencies {
            databases: databases.iter().map(|name| name.as_str().into()).collect(),
            services: Vec::new(),
        },
    };
    let account = |name: &str, service: &str| {
        let salt = format!("salt of {name:<16}");
        let account = Account {
            verifier: verifier::make_verifier(&password(name, secret), salt.as_bytes()).into(),
            services: vec![service.into()],
            max_connections: 1000,
            requests_per_s: 100_000,
            weight: chervilwharf_lib::config::DEFAULT_WEIGHT,
        };
        (name.into(), account)
    };
    let services = BTreeMap::from([
        ("bookings".into(), service(1, DefaultFreshness::OwnWrites)),
        ("gates".into(), service(1, DefaultFreshness::Fresh)),
        ("availability".into(), service(6, DefaultFreshness::MaxAgeMs(2000))),
    ]);
    Config {
        failure_domains: (1..=options.domains).map(|n| format!("domain-{n}").into()).collect(),
        databases: databases.iter().enumerate().map(group).collect(),
        services,
        accounts: BTreeMap::from([
            account("tenant", "bookings"),
            account("tenant2", "bookings"),
            account("kiosk", "gates"),
            account("callcentre", "availability"),
            account("writer1", "bookings"),
            account("writer2", "bookings"),
            account("writer3", "bookings"),
            account("writer4", "bookings"),
        ]),
    }
}
