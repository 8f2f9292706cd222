//! Load of client accounts on instances of the platform: clients that read and write at a
//! steady rate, what they observed, and the number of operations that reached the servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_standin::platform::client::Client;
use chervilwharf_standin::platform::servers::Run;
use serde_json::Value;
use serde_json::json;
use tokio::time::MissedTickBehavior;

/// Window in which the platform counts the operations of an account.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Fraction of its limit by which an account may exceed the limit in a window.
const EXCESS: f64 = 0.1;

/// Number of operations by which an account may exceed its limit in addition.
const SLACK: f64 = 20.0;

/// Time after a fault from which on requests below the limit are served again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Longest delay of a process with which times mean something: an instance waits 20 ms for the
/// answer of an instance that counts operations.
pub const MAX_STALL: Duration = Duration::from_millis(20);

/// A client account, and the load of each of its clients.
#[derive(Debug)]
pub struct Account {
    /// Name of the account, which is also its key.
    pub name: &'static str,
    /// Its limit: operations a second.
    pub rate_per_s: u32,
    /// Its limit: operations at once.
    pub burst: u32,
    /// Time between two requests of a client.
    pub interval: Duration,
}

impl Account {
    /// The account in a configuration in the store.
    #[must_use]
    pub fn configuration(&self) -> Value {
        json!({
            "name": self.name, "api_keys": [self.name],
            "rate_per_s": self.rate_per_s, "burst": self.burst,
        })
    }

    /// Most operations of the account that may run at the servers in a window.
    #[must_use]
    pub fn max_in_window(&self) -> f64 {
        let limit = f64::from(self.rate_per_s) * WINDOW.as_secs_f64() + f64::from(self.burst);
        limit * (1.0 + EXCESS) + SLACK
    }

    /// Describes the window with the most operations of the account among the statements that
    /// servers ran, if it has more than the limit allows.
    #[must_use]
    pub fn window_above_limit<'a>(
        &self,
        runs: impl IntoIterator<Item = &'a Run>,
    ) -> Option<String> {
        let mut first_runs = HashMap::new();
        for run in runs.into_iter().filter(|run| run.caller == self.name) {
            let at = first_runs.entry(&run.request).or_insert(run.at);
            *at = run.at.min(*at);
        }
        let mut times: Vec<_> = first_runs.into_values().collect();
        times.sort_unstable();
        let in_window = |(number, first): (usize, &Instant)| {
            times[number..].partition_point(|at| *at < *first + WINDOW)
        };
        let most = times.iter().enumerate().map(in_window).max().unwrap_or_default();
        let most = f64::from(u32::try_from(most).unwrap_or(u32::MAX));
        let (name, max) = (self.name, self.max_in_window());
        println!("{name}: {most} of {max} operations in a window");
        (most > max).then(|| format!("{most} operations of {name} in a window, {max} allowed"))
    }
}

/// The time limits of the platform in the settings of an instance.
#[must_use]
pub fn bounds(grace_s: f64) -> Value {
    json!({
        "grace_s": grace_s, "quota_window_s": WINDOW.as_secs_f64(), "quota_excess": EXCESS,
        "quota_slack": SLACK,
    })
}

/// A request of a client and its outcome.
#[derive(Clone, Debug)]
pub struct Request {
    /// Name of the account.
    pub account: &'static str,
    /// Number of the instance.
    pub instance: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// Code of the answer, `CLOSED` if the connection ended without one.
    pub code: String,
    /// Whether it was refused because of the limit of the account.
    pub is_beyond_limit: bool,
    /// The value that was written, if the request was a write.
    pub written: Option<String>,
}

/// What all clients of a test share.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The requests that were answered, in the order of the answers.
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Times at which this process was delayed for longer than [`MAX_STALL`].
    pub stalls: Arc<Mutex<Vec<Instant>>>,
    /// Set when the clients have to stop.
    pub is_over: Arc<AtomicBool>,
}

impl Observed {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Records when short sleeps of this process take too long.
    pub async fn record_stalls(self) {
        const SLEEP: Duration = Duration::from_millis(5);
        while !self.is_over() {
            let before = Instant::now();
            tokio::time::sleep(SLEEP).await;
            if before.elapsed() > SLEEP + MAX_STALL {
                self.stalls.lock().expect("never poisoned").push(before);
            }
        }
    }
}

/// A client of an account at one instance, which sends reads, and one write in five.
#[derive(Debug)]
pub struct LoadClient {
    account: &'static Account,
    instance: usize,
    address: SocketAddr,
    database: &'static str,
    observed: Observed,
    write_count: u64,
}

impl LoadClient {
    /// Creates a client, which runs until the clients have to stop.
    #[must_use]
    pub fn new(
        account: &'static Account,
        (instance, address): (usize, SocketAddr),
        database: &'static str,
        observed: Observed,
    ) -> Self {
        Self { account, instance, address, database, observed, write_count: 0 }
    }

    /// Runs sessions until the clients have to stop.
    pub async fn run(mut self) {
        while !self.observed.is_over() {
            self.run_session().await;
            tokio::time::sleep(self.account.interval).await;
        }
    }

    async fn run_session(&mut self) {
        let name = format!("{}-{}-{}", self.account.name, self.instance, self.database);
        let Some(mut client) = Client::try_connect(self.address, &name).await else {
            return;
        };
        let started = client.start_session_with_key(self.database, self.account.name).await;
        if started.is_none_or(|answer| answer.error.is_some()) {
            return;
        }
        // After a delay, requests are not sent faster than at their interval.
        let mut ticks = tokio::time::interval(self.account.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for number in 0_u64.. {
            ticks.tick().await;
            if self.observed.is_over() {
                return;
            }
            let sent_at = Instant::now();
            let written = (number % 5 == 4).then(|| {
                self.write_count += 1;
                format!("{name}-{}", self.write_count)
            });
            let answer = match &written {
                Some(data) => client.try_query(&format!("WRITE {name} {data}")).await,
                None => client.try_query(&format!("READ {name}")).await,
            };
            let error = answer.as_ref().and_then(|answer| answer.error.as_deref());
            let is_of_kind = |kind: ErrorKind| error.is_some_and(|e| e.contains(&kind.to_string()));
            let request = Request {
                account: self.account.name,
                instance: self.instance,
                sent_at,
                code: answer.as_ref().map_or("CLOSED", |answer| answer.code()).to_owned(),
                is_beyond_limit: is_of_kind(ErrorKind::RateLimited)
                    || is_of_kind(ErrorKind::QuotaUnknown),
                written,
            };
            self.observed.requests.lock().expect("never poisoned").push(request);
            if answer.is_none_or(|answer| answer.state != "I") {
                return;
            }
        }
    }
}
