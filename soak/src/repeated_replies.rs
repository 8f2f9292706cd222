//! A run with many clients and only one fault: all servers repeat replies, in another way after
//! each change.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_testutils::checked_clients::CheckedClients;
use chervilwharf_testutils::checked_clients::Findings;

use crate::deployment::Deployment;
use crate::fault::RepeatedReplies;
use crate::schedule::SoakOptions;

/// Number of clients of each database.
const CLIENTS_PER_DATABASE: usize = 16;

/// Time after which servers repeat replies in another way.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without the wanted number of statements after which a run ends.
const TIME_LIMIT: Duration = Duration::from_secs(1_200);

/// What a run found.
#[derive(Debug)]
pub struct Report {
    /// How statements were answered, and violations.
    pub findings: Findings,
    /// Number of connections that servers accepted during the run.
    pub connections_accepted: usize,
    /// Number of connections to servers that ended during the run.
    pub connections_closed: usize,
    /// Number of instances that exited.
    pub exited_instances: usize,
    /// How long the clients worked.
    pub duration: Duration,
    /// Whether the wanted number of statements was answered on each database.
    pub is_complete: bool,
}

impl Report {
    /// Whether the run was complete and found nothing wrong.
    #[must_use]
    pub fn held(&self) -> bool {
        self.is_complete && self.exited_instances == 0 && self.findings.violations.is_empty()
    }
}

/// Runs clients until this many reads, writes and commits were answered on each database, and compares the
/// answers with what the servers ran. The seed determines what clients send and how servers choose
/// replies, not the order of events.
pub async fn run(seed: u64, statements: u64) -> Report {
    let options = SoakOptions::default();
    let deployment = Deployment::new(options).await;
    let group = &deployment.group;
    let connections = || {
        let of_servers = 0..options.servers;
        let accepted: usize =
            of_servers.clone().map(|number| group.accepted_connections(number)).sum();
        let open: usize = of_servers.map(|number| group.connections(number)).sum();
        (accepted, accepted - open)
    };
    let (accepted_before, closed_before) = connections();
    let addresses: Vec<_> =
        deployment.instances.iter().map(|instance| instance.client_address).collect();
    let began = Instant::now();
    let clients = CheckedClients::start(&addresses, CLIENTS_PER_DATABASE, seed);
    let mut change = 0;
    while clients.least_answered() < statements && began.elapsed() < TIME_LIMIT {
        for server in 0..options.servers {
            let kind = RepeatedReplies::ALL[(change + server) % RepeatedReplies::ALL.len()];
            let repetition = kind.repetition(seed.wrapping_add(change as u64));
            group.repeat_replies(server, Some(repetition));
        }
        change += 1;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let is_complete = clients.least_answered() >= statements;
    let duration = began.elapsed();
    let (accepted, closed) = connections();
    let findings = clients.finish(group).await;
    let exited_instances =
        deployment.instances.iter().filter(|instance| !instance.is_running()).count();
    let report = Report {
        findings,
        connections_accepted: accepted - accepted_before,
        connections_closed: closed - closed_before,
        exited_instances,
        duration,
        is_complete,
    };
    deployment.remove_folder(!report.held());
    report
}
