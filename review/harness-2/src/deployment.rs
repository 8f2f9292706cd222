//! Instances as processes, started with the command of the deploy file.

use std::fmt::Write as _;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::servers::Service;
use crate::store::Store;

/// The program and arguments of `run` in deploy/system.toml.
const PROGRAM: &str = "target/release/chervilwharf-platform";
const ARGUMENTS: [&str; 2] = ["--metrics-port", "9464"];

/// Limit for the start of all instances.
const START_LIMIT: Duration = Duration::from_secs(20);

pub struct Deployment {
    pub store: Store,
    pub fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    processes: Vec<Child>,
    folder: PathBuf,
    ports: [u16; 4],
    seeds: Vec<String>,
}

/// A random loopback network, so that fixed ports are free.
pub fn network() -> String {
    let nanoseconds = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.subsec_nanos());
    let seed = u64::from(nanoseconds) ^ (u64::from(std::process::id()) << 20);
    format!("127.{}.{}", 20 + seed % 200, 1 + (seed / 200) % 250)
}

fn machine_ip(network: &str, number: usize) -> String {
    format!("{network}.{}", number + 10)
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|l| l.local_addr()).expect("a free port").port()
}

impl Deployment {
    /// Starts `count` instances before these services, and waits until all are ready.
    pub fn start(network: &str, store: Store, services: &[&Service], count: usize) -> Option<Self> {
        for service in services {
            for (number, (id, _)) in service.servers.iter().enumerate() {
                store.put("servers", id, &service.entry(number));
            }
        }
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let ips: Vec<_> = (0..count).map(|number| machine_ip(network, number)).collect();
        let ports = [0; 4].map(|_: u16| free_port(&ips[0]));
        let seeds = ips.iter().take(3).cloned().collect();
        let (fronts, readies, processes) = (Vec::new(), Vec::new(), Vec::new());
        let mut deployment = Self { store, fronts, readies, processes, folder, ports, seeds };
        for (number, ip) in ips.iter().enumerate() {
            deployment.start_instance(number, ip, true)?;
        }
        deployment.wait_until_ready().then_some(deployment)
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, number: usize) {
        let id = self.processes[number].id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.processes.clear();
        self.fronts.clear();
        self.readies.clear();
    }

    /// Starts these machines, whose names and addresses follow from their numbers, and waits
    /// until all are ready.
    pub fn start_machines(&mut self, network: &str, numbers: std::ops::Range<usize>) -> bool {
        for number in numbers {
            if self.start_instance(number, &machine_ip(network, number), false).is_none() {
                return false;
            }
        }
        self.wait_until_ready()
    }

    /// Notes a process for run.sh, which ends it if this program cannot.
    fn note_process(&self, id: u32) {
        if let Ok(path) = std::env::var("PROCESSES") {
            let file = File::options().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| {
                std::io::Write::write_all(&mut file, format!("{id}\n").as_bytes())
            });
        }
    }

    fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            let is_ready = |ready: &SocketAddr| http::get_status(*ready, "/-/ready") == Some(200);
            if self.readies.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn start_instance(&mut self, number: usize, ip: &str, bootstrap: bool) -> Option<()> {
        let [front, ready, control, internal] = self.ports;
        let mut seeds = String::new();
        for (index, seed) in self.seeds.iter().enumerate() {
            let _ = write!(seeds, "{}\"{seed}:{control}\"", if index > 0 { "," } else { "" });
        }
        let store = self.store.address;
        let settings = format!(
            r#"{{"node":"front-hall1-{number}","role":"proxy","machine_class":"front",
"serves":["front","control"],"ip":"{ip}","zone":"hall1","region":"mid","zones":{{"hall1":"mid"}},
"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"internal_ports":[{internal},{internal}],"seeds":[{seeds}],"bootstrap":{bootstrap},"counts_as_loss":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4300,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","recover","sql","platform"],
"tolerate":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":4000,"ack_ms":5000,"catchup_s":4,"drain_ms":7000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"downgrade_slack_ms":250,"max_skew_ms":12000,"recovery_s":12,"require_fence":true,"thaw_ms":300}},
"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}},
"cloud":{{"address":"{store}","rate_per_s":50.0,"duties":["promote"],"duty_per_s":50.0}}}}"#
        );
        let path = self.folder.join(format!("front-{number}.json"));
        std::fs::write(&path, settings).ok()?;
        let log = File::create(self.folder.join(format!("front-{number}.log"))).ok()?;
        let process = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("CHERVILWHARF_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn();
        let process = process.ok()?;
        self.note_process(process.id());
        self.processes.push(process);
        self.fronts.push(format!("{ip}:{front}").parse().ok()?);
        self.readies.push(format!("{ip}:{ready}").parse().ok()?);
        Some(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.kill_all();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
