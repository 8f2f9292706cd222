//! The processes, stand-ins and proxies of one run.

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
use chervilwharf_testutils::cluster::PATIENCE;
use chervilwharf_testutils::cluster::wait_for;
use chervilwharf_testutils::process::Process;
use chervilwharf_testutils::process::program;
use serde_json::Value;
use serde_json::json;

use crate::history::History;
use crate::history::Leaving;
use crate::history::Stop;
use crate::schedule::Selection;
use crate::schedule::Shape;

/// Replication delay when nothing is wrong.
const USUAL_LAG: Duration = Duration::from_millis(30);

/// Time that a promotion takes.
const PROMOTE_TIME: Duration = Duration::from_millis(150);

/// Grace of a planned stop.
const GRACE_S: f64 = 4.0;

/// Connections that each server takes.
const CONNECTIONS: usize = 22;

/// A server that left, or a store that is about to come back, stays away for this long.
const AWAY: Duration = Duration::from_millis(500);

/// Era that a store tells before it came back from a copy.
const FIRST_ERA: u64 = 1;

/// Pause between two looks whether something has happened.
pub const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Ports that all instances use, each on an address of its own.
///
/// Held on the first address as long as the run lasts, so that the system
/// gives them to no other run.
struct Ports {
    internal: TcpListener,
    front: TcpListener,
    ready: TcpListener,
}

impl Ports {
    fn hold() -> Self {
        let any = || TcpListener::bind("127.0.0.1:0").expect("a port can be had");
        Self { internal: any(), front: any(), ready: any() }
    }
}

fn port(listener: &TcpListener) -> u16 {
    listener.local_addr().expect("it is bound").port()
}

/// An instance and its way to the store.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Between it and the store.
    pub store_proxy: FaultProxy,
    ready: SocketAddr,
    process: Mutex<Option<Process>>,
    /// Counts the starts of its process.
    life: AtomicU64,
}

impl Instance {
    /// Which start of its process this is.
    #[must_use]
    pub fn life(&self) -> u64 {
        self.life.load(Ordering::SeqCst)
    }

    fn with_process(&self, f: impl FnOnce(&mut Process)) {
        if let Some(process) = &mut *self.process.lock().expect("never poisoned") {
            f(process);
        }
    }

    /// Ends its process at once.
    pub fn kill(&self) {
        let process = self.process.lock().expect("never poisoned").take();
        // Dropped, it is killed and waited for.
        drop(process);
    }

    /// Stops it in its tracks.
    pub fn freeze(&self) {
        self.with_process(|process| process.freeze());
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.with_process(|process| process.thaw());
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.with_process(|process| process.terminate());
    }

    /// Whether its process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        let mut runs = false;
        self.with_process(|process| runs = process.exit_code().is_none());
        runs
    }

    /// Waits until its process has ended, as after [`Self::terminate`]. One
    /// that stands still does not end by itself; it is killed after its grace.
    pub async fn wait_for_end(&self) {
        let until = Instant::now() + Duration::from_secs_f64(GRACE_S);
        while self.is_running() && Instant::now() < until {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        self.kill();
    }

    /// Whether it says that it takes clients.
    pub async fn is_ready(&self) -> bool {
        let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(1));
        let client = client.build().expect("no unusual options");
        let answer = client.get(format!("http://{}/-/ready", self.ready)).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// Everything of one run.
pub struct Deployment {
    /// The platform's store.
    pub store: Store,
    /// The servers.
    pub group: Group,
    /// The instances.
    pub instances: Vec<Instance>,
    /// What was seen.
    pub history: Arc<History>,
    server_proxies: Vec<FaultProxy>,
    ports: Ports,
    folder: PathBuf,
    /// Databases added so far.
    added: AtomicU64,
    /// Copies of the store that it has not come back from yet.
    copies: Mutex<VecDeque<StoreBackup>>,
    /// Counts beginnings and ends of silences.
    silences: AtomicU64,
}

impl Deployment {
    /// Starts everything and waits until all instances take clients.
    ///
    /// # Panics
    ///
    /// When one of them never does.
    pub async fn new(shape: Shape) -> Self {
        let group = Group::start("db", shape.servers, USUAL_LAG).await;
        tokio::spawn(servers::run_replication(group.clone()));
        let mut server_proxies = Vec::new();
        for number in 0..shape.servers {
            let proxy = FaultProxy::start().await.expect("a port can be had");
            proxy.set_upstream(group.address(number));
            group.set_address(number, proxy.address);
            server_proxies.push(proxy);
        }
        let store = Store::start(PROMOTE_TIME).await;
        store.add_group(&group);
        let ports = Ports::hold();
        let folder =
            std::env::temp_dir().join(format!("chervilwharf-soak-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let mut instances = Vec::new();
        for number in 0..shape.instances {
            instances.push(instance(number, &ports, &store).await);
        }
        let deployment = Self {
            store,
            group,
            instances,
            history: Arc::default(),
            server_proxies,
            ports,
            folder,
            added: AtomicU64::new(0),
            copies: Mutex::default(),
            silences: AtomicU64::new(0),
        };
        if shape.selection == Selection::StoreCopies {
            deployment.store.set_reported_era(FIRST_ERA);
        }
        deployment.write_configuration();
        for number in 0..shape.instances {
            deployment.start(number);
        }
        for instance in &deployment.instances {
            wait_for("the instance takes clients", async || instance.is_ready().await).await;
        }
        deployment
    }

    /// The network before a server.
    #[must_use]
    pub fn server(&self, number: usize) -> &FaultProxy {
        &self.server_proxies[number]
    }

    /// Starts an instance that does not run.
    pub fn start(&self, number: usize) {
        let instance = &self.instances[number];
        if instance.is_running() {
            return;
        }
        let path = self.folder.join(format!("{}.json", instance.name));
        std::fs::write(&path, self.settings(instance).to_string())
            .expect("the folder can be written");
        let log = self.folder.join(format!("{}.log", instance.name));
        let arguments = ["--settings", &path.display().to_string()];
        let process = Process::start_quiet(&program("soak-instance"), &arguments, &log);
        instance.life.fetch_add(1, Ordering::SeqCst);
        *instance.process.lock().expect("never poisoned") = Some(process);
    }

    /// Asks an instance to stop.
    pub fn stop(&self, number: usize) {
        let stop = Stop { instance: number, at: Instant::now() };
        self.instances[number].terminate();
        self.history.stops.lock().expect("never poisoned").push(stop);
    }

    fn settings(&self, instance: &Instance) -> Value {
        let internal = port(&self.ports.internal);
        let seeds: Vec<_> = self.instances.iter().map(|other| other.front).collect();
        let store = instance.store_proxy.address;
        json!({
            "node": instance.name, "zone": "a", "ip": instance.front.ip(),
            "bounds": { "grace_s": GRACE_S }, "limits": { "cpu_share": 0.25, "cores": 1 },
            "listen": { "front": instance.front, "ready": instance.ready },
            "internal_ports": [internal, internal], "seeds": seeds,
            "platform": { "address": store }, "cloud": { "address": store },
        })
    }

    /// Adds a database that was not there before.
    pub fn add_database(&self) {
        self.added.fetch_add(1, Ordering::SeqCst);
        self.write_configuration();
    }

    /// All ways to the store go silent, and the connections on them for good.
    pub fn silence_store(&self) {
        self.forget_store_connections();
        for instance in &self.instances {
            instance.store_proxy.set(Behaviour::unresponsive());
        }
    }

    /// New connections to the store work again.
    pub fn end_silence_of_store(&self) {
        self.forget_store_connections();
        for instance in &self.instances {
            instance.store_proxy.set(Behaviour::default());
        }
    }

    /// Open connections to the store go silent for good.
    pub fn forget_store_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
        for instance in &self.instances {
            instance.store_proxy.blackhole_open_connections();
        }
    }

    /// Adds a database, and measures when all instances know it.
    pub fn add_measured_database(self: &Arc<Self>) {
        self.add_database();
        let (added_at, number) = (Instant::now(), self.added());
        let silences = self.silences.load(Ordering::SeqCst);
        let deployment = self.clone();
        tokio::spawn(async move {
            // How long it took is judged, also where some never knew it.
            let _unaware = deployment.unaware_of(number, added_at + PATIENCE).await;
            // Else another silence began before all could know it.
            if deployment.silences.load(Ordering::SeqCst) == silences {
                let mut measured =
                    deployment.history.in_force_after.lock().expect("never poisoned");
                measured.push(added_at.elapsed());
            }
        });
    }

    /// Instances that do not get to know an added database until a moment.
    pub async fn unaware_of(&self, number: u64, until: Instant) -> Vec<&Instance> {
        let database = added_name(number);
        let mut unaware = Vec::new();
        for instance in &self.instances {
            while !knows_database(instance.front, &database).await {
                if Instant::now() >= until {
                    unaware.push(instance);
                    break;
                }
                tokio::time::sleep(LOOK_AGAIN).await;
            }
        }
        unaware
    }

    /// Databases added so far; the newest has this number.
    #[must_use]
    pub fn added(&self) -> u64 {
        self.added.load(Ordering::SeqCst)
    }

    fn write_configuration(&self) {
        let added = self.added();
        let mut routes = vec![
            route("latest", "primary", 0),
            route("bounded", "bounded", BOUNDED_MS),
            route("own", "read_your_writes", OWN_MS),
        ];
        routes.extend((1..=added).map(|number| route(&added_name(number), "primary", 0)));
        let spec = json!({
            "version": 10 + added, "routes": routes,
            "services": [{
                "name": "db", "health_path": "/health", "max_conns": CONNECTIONS,
                "protocol": "h1", "tls": false, "sync_replicas": 0,
            }],
            "limits": { "tx_idle_ms": 3_000 },
        });
        self.store.put("config", "main", &spec);
    }

    /// Copies what the store keeps.
    pub fn copy_store(&self) {
        self.copies.lock().expect("never poisoned").push_back(self.store.copy());
    }

    /// The store is away for a moment and comes back from a copy. The operator and the
    /// servers write again what it lost.
    pub async fn restore_store(&self) {
        let copy = self.copies.lock().expect("never poisoned").pop_front();
        let copy = copy.expect("it was taken at the beginning of the fault");
        self.store.set_mode(Mode::Down);
        let lost = self.store.restore(&copy);
        tokio::time::sleep(AWAY).await;
        self.store.set_mode(Mode::Up);
        tokio::time::sleep(AWAY).await;
        self.store.repeat_lost_writes(&lost);
    }

    /// A server says that it leaves.
    pub fn begin_leaving(&self, server: usize) {
        self.group.set_draining(server, true);
        self.store.publish_server(&self.group, server, "draining");
        let leaving = Leaving { server, since: Instant::now(), until: None };
        self.history.leaving.lock().expect("never poisoned").push(leaving);
    }

    /// A server that left ends, and comes back a moment later.
    pub async fn end_leaving(&self, server: usize) {
        self.group.crash(server);
        tokio::time::sleep(AWAY).await;
        self.group.restart(server);
        self.group.set_draining(server, false);
        self.store.publish_server(&self.group, server, "ready");
        let mut all = self.history.leaving.lock().expect("never poisoned");
        let own = all.iter_mut().filter(|leaving| leaving.server == server);
        own.for_each(|leaving| leaving.until = leaving.until.or(Some(Instant::now())));
    }

    /// A server is as far behind as usual again.
    pub fn set_usual_lag(&self, server: usize) {
        self.group.set_lag(server, USUAL_LAG);
    }

    /// Folder with the settings and logs of the instances.
    #[must_use]
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}

/// Age that reads on the bounded route may have.
pub const BOUNDED_MS: u64 = 1_500;

/// Age that reads of what others wrote may have, on the route of own writes.
pub const OWN_MS: u64 = 2_500;

/// Whether sessions on a database can be begun.
async fn knows_database(front: SocketAddr, database: &str) -> bool {
    let Some(mut client) = Client::try_connect(front, "new").await else {
        return false;
    };
    let answer = client.start_session(database).await;
    answer.is_some_and(|answer| answer.code() == "DONE")
}

/// Name of a database that was added.
#[must_use]
pub fn added_name(number: u64) -> String {
    format!("added-{number}")
}

async fn instance(number: usize, ports: &Ports, store: &Store) -> Instance {
    let last = u8::try_from(number + 2).expect("few instances");
    let ip = IpAddr::from([127, 0, 0, last]);
    let store_proxy = FaultProxy::start().await.expect("a port can be had");
    store_proxy.set_upstream(store.address);
    Instance {
        name: format!("instance-{number}"),
        front: SocketAddr::new(ip, port(&ports.front)),
        ready: SocketAddr::new(ip, port(&ports.ready)),
        store_proxy,
        process: Mutex::new(None),
        life: AtomicU64::new(0),
    }
}

fn route(database: &str, kind: &str, max_staleness_ms: u64) -> Value {
    json!({
        "name": format!("r-{database}"), "host": database, "path_prefix": "/", "kind": kind,
        "timeout_ms": 2_000, "slo_ms": 300, "priority": 1, "service": "db", "max_attempts": 2,
        "max_staleness_ms": max_staleness_ms,
    })
}
