//! The deployment under test of one run: instance processes, the simulated store and
//! database servers, and the fault proxies between them.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::FaultProxy;
use chervilwharf_standin::platform::client::Client;
use chervilwharf_standin::platform::servers;
use chervilwharf_standin::platform::servers::Group;
use chervilwharf_standin::platform::store::Mode;
use chervilwharf_standin::platform::store::Store;
use chervilwharf_standin::platform::store::StoreBackup;
use chervilwharf_testutils::account_load;
use chervilwharf_testutils::cluster::WAIT_TIMEOUT;
use chervilwharf_testutils::cluster::wait_for;
use chervilwharf_testutils::process::Process;
use chervilwharf_testutils::process::program;
use serde_json::Value;
use serde_json::json;

use crate::accounts;
use crate::accounts::SIDE_DATABASE;
use crate::history::DrainPeriod;
use crate::history::History;
use crate::history::Stop;
use crate::schedule::Selection;
use crate::schedule::SoakOptions;

/// Replication delay of servers without a fault.
const DEFAULT_LAG: Duration = Duration::from_millis(30);

/// Time that the platform takes to promote a server.
const PROMOTION_TIME: Duration = Duration::from_millis(150);

/// Time in seconds that an instance may take to stop after SIGTERM.
const STOP_GRACE_S: f64 = 4.0;

/// Maximum number of connections to each server.
const MAX_SERVER_CONNECTIONS: usize = 22;

/// How long a drained server stays down, and how long a restored store stays down and
/// then stays up before the lost writes are repeated.
const DOWNTIME: Duration = Duration::from_millis(500);

/// Era that the store reports before its first restore from a backup. Each restore starts
/// a new era.
const FIRST_ERA: u64 = 1;

/// Pause between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ports that all instances use, each instance on its own loopback address.
///
/// The ports stay bound on 127.0.0.1 during the run, so that the operating system assigns
/// them to no other run.
struct Ports {
    internal: TcpListener,
    client: TcpListener,
    readiness: TcpListener,
}

impl Ports {
    fn reserve() -> Self {
        let any = || TcpListener::bind("127.0.0.1:0").expect("a port is available");
        Self { internal: any(), client: any(), readiness: any() }
    }
}

fn port(listener: &TcpListener) -> u16 {
    listener.local_addr().expect("the listener is bound").port()
}

/// An instance and the fault proxy between it and the store.
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address that clients connect to.
    pub client_address: SocketAddr,
    /// Fault proxy between the instance and the store.
    pub store_proxy: FaultProxy,
    readiness_address: SocketAddr,
    process: Mutex<Option<Process>>,
    /// Number of times the process was started.
    incarnation: AtomicU64,
}

impl Instance {
    /// Number of the current incarnation, which is the number of times the process was
    /// started.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    fn with_process(&self, f: impl FnOnce(&mut Process)) {
        if let Some(process) = &mut *self.process.lock().expect("never poisoned") {
            f(process);
        }
    }

    /// Kills the process, if it runs.
    pub fn kill(&self) {
        let process = self.process.lock().expect("never poisoned").take();
        // `Process` kills its child and waits for it when it is dropped.
        drop(process);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.with_process(|process| process.freeze());
    }

    /// Resumes the process with SIGCONT.
    pub fn thaw(&self) {
        self.with_process(|process| process.thaw());
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.with_process(|process| process.terminate());
    }

    /// Whether the process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        let mut runs = false;
        self.with_process(|process| runs = process.exit_code().is_none());
        runs
    }

    /// Waits until the process has exited, as it does after [`Self::terminate`]. A
    /// suspended process does not exit by itself and is killed when the time to stop is
    /// over.
    pub async fn wait_for_end(&self) {
        let until = Instant::now() + Duration::from_secs_f64(STOP_GRACE_S);
        while self.is_running() && Instant::now() < until {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.kill();
    }

    /// Whether the readiness endpoint reports that the instance accepts clients.
    pub async fn is_ready(&self) -> bool {
        let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(1));
        let client = client.build().expect("the HTTP client can be built");
        let answer = client.get(format!("http://{}/-/ready", self.readiness_address)).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// The processes, simulators and recorded history of one run.
pub struct Deployment {
    /// The simulated store of the platform.
    pub store: Store,
    /// The simulated database servers, which form one replication group.
    pub group: Group,
    /// A second group with the smaller part of the load, if the accounts have limits. It has no
    /// faults.
    pub side_group: Option<Group>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// What clients observed, and when faults happened that the checks depend on.
    pub history: Arc<History>,
    server_proxies: Vec<FaultProxy>,
    ports: Ports,
    folder: PathBuf,
    /// Number of databases added so far.
    added: AtomicU64,
    /// Backups of the store that were not restored yet, oldest first.
    backups: Mutex<VecDeque<StoreBackup>>,
    /// Counts how often the connections to the store were made unresponsive.
    outages: AtomicU64,
}

impl Deployment {
    /// Starts all parts and waits until all instances accept clients.
    ///
    /// # Panics
    ///
    /// When a part cannot be started, or an instance does not become ready in time.
    pub async fn new(options: SoakOptions) -> Self {
        let group = Group::start("db", options.servers, DEFAULT_LAG).await;
        tokio::spawn(servers::run_replication(group.clone()));
        let mut server_proxies = Vec::new();
        for number in 0..options.servers {
            let proxy = FaultProxy::start().await.expect("a port is available");
            proxy.set_upstream(group.address(number));
            group.set_address(number, proxy.address);
            server_proxies.push(proxy);
        }
        let store = Store::start(PROMOTION_TIME).await;
        store.add_group(&group);
        let mut side_group = None;
        if options.selection == Selection::AccountLimits {
            let group = Group::start(SIDE_DATABASE, options.servers, DEFAULT_LAG).await;
            tokio::spawn(servers::run_replication(group.clone()));
            store.add_group(&group);
            side_group = Some(group);
        }
        let ports = Ports::reserve();
        let folder =
            std::env::temp_dir().join(format!("chervilwharf-soak-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&folder).expect("a temporary directory can be created");
        let mut instances = Vec::new();
        for number in 0..options.instances {
            instances.push(prepare_instance(number, &ports, &store).await);
        }
        let deployment = Self {
            store,
            group,
            side_group,
            instances,
            history: Arc::default(),
            server_proxies,
            ports,
            folder,
            added: AtomicU64::new(0),
            backups: Mutex::default(),
            outages: AtomicU64::new(0),
        };
        if options.selection == Selection::StoreRestores {
            deployment.store.set_reported_era(FIRST_ERA);
        }
        deployment.write_configuration();
        for number in 0..options.instances {
            deployment.start(number);
        }
        for instance in &deployment.instances {
            wait_for("the instance takes clients", async || instance.is_ready().await).await;
        }
        deployment
    }

    /// Fault proxy in front of a server.
    #[must_use]
    pub fn server(&self, number: usize) -> &FaultProxy {
        &self.server_proxies[number]
    }

    /// Starts an instance, unless it runs already.
    pub fn start(&self, number: usize) {
        let instance = &self.instances[number];
        if instance.is_running() {
            return;
        }
        let path = self.folder.join(format!("{}.json", instance.name));
        std::fs::write(&path, self.settings(instance).to_string())
            .expect("the directory is writable");
        let log = self.folder.join(format!("{}.log", instance.name));
        let arguments = ["--settings", &path.display().to_string()];
        let process =
            Process::start_without_ready_line(&program("soak-instance"), &arguments, &log);
        instance.incarnation.fetch_add(1, Ordering::SeqCst);
        *instance.process.lock().expect("never poisoned") = Some(process);
    }

    /// Sends SIGTERM to an instance and records the planned stop.
    pub fn stop(&self, number: usize) {
        let stop = Stop { instance: number, at: Instant::now() };
        self.instances[number].terminate();
        self.history.stops.lock().expect("never poisoned").push(stop);
    }

    fn settings(&self, instance: &Instance) -> Value {
        let internal = port(&self.ports.internal);
        let seeds: Vec<_> = self.instances.iter().map(|other| other.client_address).collect();
        let store = instance.store_proxy.address;
        json!({
            "node": instance.name, "zone": "a", "ip": instance.client_address.ip(),
            "bounds": self.bounds(), "limits": { "cpu_share": 0.25, "cores": 1 },
            "listen": { "front": instance.client_address, "ready": instance.readiness_address },
            "internal_ports": [internal, internal], "seeds": seeds,
            "platform": { "address": store }, "cloud": { "address": store },
        })
    }

    /// The time limits of the platform, with those of accounts only if there are any.
    fn bounds(&self) -> Value {
        match self.side_group {
            Some(_) => account_load::bounds(STOP_GRACE_S),
            None => json!({ "grace_s": STOP_GRACE_S }),
        }
    }

    /// Adds a new database to the configuration in the store.
    pub fn add_database(&self) {
        self.added.fetch_add(1, Ordering::SeqCst);
        self.write_configuration();
    }

    /// Drops all traffic between instances and the store. Connections that are open now
    /// stay unresponsive even after [`Self::restore_store_network`].
    pub fn make_store_unresponsive(&self) {
        self.forget_store_connections();
        for instance in &self.instances {
            instance.store_proxy.set(Behaviour::unresponsive());
        }
    }

    /// Lets new connections to the store work again. Connections that are open now stay
    /// unresponsive.
    pub fn restore_store_network(&self) {
        self.forget_store_connections();
        for instance in &self.instances {
            instance.store_proxy.set(Behaviour::default());
        }
    }

    /// Makes the open connections to the store unresponsive for the rest of the run.
    /// New connections work.
    pub fn forget_store_connections(&self) {
        self.outages.fetch_add(1, Ordering::SeqCst);
        for instance in &self.instances {
            instance.store_proxy.blackhole_open_connections();
        }
    }

    /// Adds a database, and measures the time until all instances serve it.
    pub fn add_database_and_measure(self: &Arc<Self>) {
        self.add_database();
        let (added_at, number) = (Instant::now(), self.added_count());
        let outages = self.outages.load(Ordering::SeqCst);
        let deployment = self.clone();
        tokio::spawn(async move {
            // The time is recorded even if some instances did not serve the database
            // before the timeout; the check then reports the delay.
            let _without_database =
                deployment.instances_without_database(number, added_at + WAIT_TIMEOUT).await;
            // If the connections were made unresponsive again meanwhile, the time says
            // nothing about this outage.
            if deployment.outages.load(Ordering::SeqCst) == outages {
                let mut measured =
                    deployment.history.in_force_after.lock().expect("never poisoned");
                measured.push(added_at.elapsed());
            }
        });
    }

    /// Returns the instances that do not serve an added database by `until`.
    pub async fn instances_without_database(&self, number: u64, until: Instant) -> Vec<&Instance> {
        let database = added_database_name(number);
        let mut without_database = Vec::new();
        for instance in &self.instances {
            while !serves_database(instance.client_address, &database).await {
                if Instant::now() >= until {
                    without_database.push(instance);
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        without_database
    }

    /// Number of databases added so far, which is also the number of the newest one.
    #[must_use]
    pub fn added_count(&self) -> u64 {
        self.added.load(Ordering::SeqCst)
    }

    fn write_configuration(&self) {
        let added = self.added_count();
        let mut routes = vec![
            route("latest", "primary", 0),
            route("bounded", "bounded", BOUNDED_ROUTE_STALENESS_MS),
            route("own", "read_your_writes", OWN_ROUTE_STALENESS_MS),
        ];
        routes.extend((1..=added).map(|number| route(&added_database_name(number), "primary", 0)));
        let service = |name: &str| {
            json!({
                "name": name, "health_path": "/health", "max_conns": MAX_SERVER_CONNECTIONS,
                "protocol": "h1", "tls": false, "sync_replicas": 0,
            })
        };
        let mut spec = json!({
            "version": 10 + added, "routes": routes, "services": [service("db")],
            "limits": { "tx_idle_ms": 3_000 },
        });
        if self.side_group.is_some() {
            let mut side = route(SIDE_DATABASE, "primary", 0);
            side["service"] = json!(SIDE_DATABASE);
            spec["routes"].as_array_mut().expect("an array").push(side);
            spec["services"] = json!([service("db"), service(SIDE_DATABASE)]);
            spec["tenants"] = json!(accounts::configuration());
        }
        self.store.put("config", "main", &spec);
    }

    /// Takes a backup of the store.
    pub fn back_up_store(&self) {
        self.backups.lock().expect("never poisoned").push_back(self.store.copy());
    }

    /// Takes the store down for a moment and restores the oldest backup. Afterwards the
    /// simulated operator and servers repeat the writes that were lost.
    pub async fn restore_store(&self) {
        let backup = self.backups.lock().expect("never poisoned").pop_front();
        let backup = backup.expect("a backup was taken at the beginning of the fault");
        self.store.set_mode(Mode::Down);
        let lost = self.store.restore(&backup);
        tokio::time::sleep(DOWNTIME).await;
        self.store.set_mode(Mode::Up);
        tokio::time::sleep(DOWNTIME).await;
        self.store.repeat_lost_writes(&lost);
    }

    /// Marks a server as draining, at the server and in the store.
    pub fn begin_draining(&self, server: usize) {
        self.group.set_draining(server, true);
        self.store.publish_server(&self.group, server, "draining");
        let period = DrainPeriod { server, since: Instant::now(), until: None };
        self.history.drain_periods.lock().expect("never poisoned").push(period);
    }

    /// Stops a drained server, and restarts it as ready a moment later.
    pub async fn finish_draining(&self, server: usize) {
        self.group.crash(server);
        tokio::time::sleep(DOWNTIME).await;
        self.group.restart(server);
        self.group.set_draining(server, false);
        self.store.publish_server(&self.group, server, "ready");
        let mut all = self.history.drain_periods.lock().expect("never poisoned");
        let own = all.iter_mut().filter(|period| period.server == server);
        own.for_each(|period| period.until = period.until.or(Some(Instant::now())));
    }

    /// Sets the replication delay of a server back to the default.
    pub fn reset_lag(&self, server: usize) {
        self.group.set_lag(server, DEFAULT_LAG);
    }

    /// Removes settings and logs of the instances, unless they can explain violations.
    pub fn remove_folder(&self, has_violations: bool) {
        if has_violations {
            eprintln!("settings and logs: {}", self.folder.display());
        } else if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("cannot remove {}: {error}", self.folder.display());
        }
    }
}

/// Maximum staleness in milliseconds of reads on the `bounded` route.
pub const BOUNDED_ROUTE_STALENESS_MS: u64 = 1_500;

/// Maximum staleness in milliseconds of reads on the `own` route, for writes of other
/// sessions.
pub const OWN_ROUTE_STALENESS_MS: u64 = 2_500;

/// Whether an instance accepts a session on a database.
async fn serves_database(client_address: SocketAddr, database: &str) -> bool {
    let Some(mut client) = Client::try_connect(client_address, "new").await else {
        return false;
    };
    let answer = client.start_session(database).await;
    answer.is_some_and(|answer| answer.code() == "DONE")
}

/// Name of a database that was added.
#[must_use]
pub fn added_database_name(number: u64) -> String {
    format!("added-{number}")
}

async fn prepare_instance(number: usize, ports: &Ports, store: &Store) -> Instance {
    let last = u8::try_from(number + 2).expect("there are few instances");
    let ip = IpAddr::from([127, 0, 0, last]);
    let store_proxy = FaultProxy::start().await.expect("a port is available");
    store_proxy.set_upstream(store.address);
    Instance {
        name: format!("instance-{number}"),
        client_address: SocketAddr::new(ip, port(&ports.client)),
        readiness_address: SocketAddr::new(ip, port(&ports.readiness)),
        store_proxy,
        process: Mutex::new(None),
        incarnation: AtomicU64::new(0),
    }
}

fn route(database: &str, kind: &str, max_staleness_ms: u64) -> Value {
    json!({
        "name": format!("r-{database}"), "host": database, "path_prefix": "/", "kind": kind,
        "timeout_ms": 2_000, "slo_ms": 300, "priority": 1, "service": "db", "max_attempts": 2,
        "max_staleness_ms": max_staleness_ms,
    })
}
