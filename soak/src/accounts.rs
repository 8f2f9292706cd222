//! Client accounts with limits: their load during a run, and the checks of their limits.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::platform::servers::Group;
use chervilwharf_standin::platform::servers::Run;
use chervilwharf_testutils::account_load::Account;
use chervilwharf_testutils::account_load::LoadClient;
use chervilwharf_testutils::account_load::Observed;
use chervilwharf_testutils::account_load::RECOVERY_TIME;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::deployment::Deployment;
use crate::history::FaultPeriod;

/// The accounts with limits: one at five times its limit, and two at a quarter of theirs, with
/// one client at each of three instances.
const ACCOUNTS: [Account; 3] = [
    account("hot", 20, Duration::from_millis(30)),
    account("mild", 100, Duration::from_millis(120)),
    account("quiet", 100, Duration::from_millis(120)),
];

/// The accounts of [`ACCOUNTS`] that stay below their limit.
const BELOW_LIMIT: [&str; 2] = ["mild", "quiet"];

const fn account(name: &'static str, rate_per_s: u32, interval: Duration) -> Account {
    Account { name, rate_per_s, burst: rate_per_s, interval }
}

/// Database of the group that has the smaller part of the load.
pub const SIDE_DATABASE: &str = "side";

/// The accounts in the configuration: those with limits, and that of all other clients.
#[must_use]
pub fn configuration() -> Vec<Value> {
    let limited = ACCOUNTS.iter().map(Account::configuration);
    limited.chain([json!({ "name": "me", "api_keys": ["me"] })]).collect()
}

/// The clients of the accounts during a run.
pub struct AccountClients {
    observed: Observed,
    clients: JoinSet<()>,
    began_at: Instant,
}

impl AccountClients {
    /// Starts the clients: one of each account at each instance, and one of the last account at
    /// the group with the smaller part of the load.
    #[must_use]
    pub fn start(deployment: &Deployment) -> Self {
        let (observed, mut clients) = (Observed::default(), JoinSet::new());
        let addresses: Vec<_> = deployment.instances.iter().map(|i| i.client_address).collect();
        for account in &ACCOUNTS {
            for instance in addresses.iter().copied().enumerate() {
                let client = LoadClient::new(account, instance, "latest", observed.clone());
                clients.spawn(client.run());
            }
        }
        let last = ACCOUNTS.last().expect("there are accounts");
        let client = LoadClient::new(last, (0, addresses[0]), SIDE_DATABASE, observed.clone());
        clients.spawn(client.run());
        clients.spawn(observed.clone().record_stalls());
        Self { observed, clients, began_at: Instant::now() }
    }

    /// Ends the clients and returns the violations that they observed. `faults` are the periods
    /// in which requests below a limit may be refused.
    pub async fn finish(mut self, deployment: &Arc<Deployment>) -> Vec<String> {
        self.observed.is_over.store(true, Ordering::SeqCst);
        let mut violations = Vec::new();
        while let Some(ended) = self.clients.join_next().await {
            violations.extend(ended.err().map(|error| format!("a client panicked: {error}")));
        }
        let side = deployment.side_group.as_ref().map(Group::runs).unwrap_or_default();
        violations.extend(check_limits(&deployment.group.runs(), &side));
        let faults = deployment.history.fault_periods.lock().expect("never poisoned").clone();
        violations.extend(self.check_refusals(&faults));
        violations
    }

    /// Checks that an account below its limit is refused because of its limit only while faults
    /// last, and for [`RECOVERY_TIME`] after them. The start of the clients, and a delay of this
    /// process by the machine, count as faults.
    fn check_refusals(&self, faults: &[FaultPeriod]) -> Vec<String> {
        let stalls = self.observed.stalls.lock().expect("never poisoned").clone();
        let moments = stalls.into_iter().chain([self.began_at]);
        let moments = moments.map(|at| FaultPeriod { since: at, until: at });
        let excused: Vec<_> = faults.iter().copied().chain(moments).collect();
        let is_excused = |at: Instant| {
            excused.iter().any(|period| at >= period.since && at <= period.until + RECOVERY_TIME)
        };
        let requests = self.observed.requests.lock().expect("never poisoned");
        let (below, served) = (
            requests.iter().filter(|request| BELOW_LIMIT.contains(&request.account)),
            requests.iter().filter(|request| request.code == "DONE").count(),
        );
        let refused = below.filter(|request| request.is_beyond_limit);
        let (excused, violations): (Vec<_>, Vec<_>) =
            refused.partition(|request| is_excused(request.sent_at));
        println!(
            "accounts: {served} of {} served, {} below the limit refused during faults",
            requests.len(),
            excused.len()
        );
        let mut violations: Vec<_> = violations
            .into_iter()
            .map(|request| format!("refused below its limit: {request:?}"))
            .collect();
        if served == 0 {
            violations.push("no request of an account was served".to_owned());
        }
        violations
    }
}

/// Checks that no window has more operations of an account than its limit allows, and that one
/// group has more than half of the load.
fn check_limits(main: &[Run], side: &[Run]) -> Vec<String> {
    let above = |account: &Account| account.window_above_limit(main.iter().chain(side));
    let mut violations: Vec<_> = ACCOUNTS.iter().filter_map(above).collect();
    if side.is_empty() || side.len() >= main.len() {
        violations.push(format!("{} and {} statements at the groups", main.len(), side.len()));
    }
    violations
}
