//! The connections of one holder, as the daemon's `shard/assign.rs` sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::account_rates::AccountRates;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_choice::PoolView;

use super::CONNECTIONS;
use super::DOMAINS;
use super::REPLACE_DELAY;

/// A connection to a server.
#[derive(Clone, Debug)]
pub struct Connection {
    pub account: AccountId,
    pub lent: bool,
    pub opening: bool,
}

/// A request that waits for a connection.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub since: Moment,
    pub account: AccountId,
    pub need: Need,
}

/// A holder with its pools, by number of the server.
pub struct Holder {
    pub domain: usize,
    pub group: Group,
    pub pools: BTreeMap<usize, Vec<Connection>>,
    pub rates: AccountRates,
    pub queue: Vec<Waiter>,
    /// Whether reads wait for a connection of their account to a replica.
    pub reads_wait_for_own: bool,
}

impl Holder {
    /// The connections to a server as they count for a request.
    pub fn view(&self, now: Moment, id: &str, account: &AccountId, waited: Duration) -> PoolView {
        let server: usize = id[1..].parse().expect("the name of a server");
        let pool = &self.pools[&server];
        let is_idle = |connection: &&Connection| !connection.lent && !connection.opening;
        let idle_of_all = pool.iter().filter(is_idle).count();
        let idle = pool.iter().filter(is_idle).filter(|c| c.account == *account).count();
        let opening = pool.iter().filter(|connection| connection.opening).count();
        let replaceable = self.victim(now, server, waited).map_or(0, |_| idle_of_all - idle);
        PoolView {
            open: pool.len() - opening,
            idle,
            replaceable,
            own: pool.iter().filter(|connection| connection.account == *account).count(),
            opening,
            taking_slots: opening,
            waits_for_own: self.reads_wait_for_own && waited < REPLACE_DELAY,
            budget: CONNECTIONS,
            ..PoolView::default()
        }
    }

    /// Index of the idle connection to a server that may be closed.
    pub fn victim(&self, now: Moment, server: usize, waited: Duration) -> Option<usize> {
        let pool = &self.pools[&server];
        let is_idle = |connection: &Connection| !connection.lent && !connection.opening;
        let rate_per_connection = |connection: &Connection| {
            let same =
                pool.iter().filter(|other| is_idle(other) && other.account == connection.account);
            let same = u32::try_from(same.count()).expect("at most 7");
            self.rates.of(now, &connection.account) / f64::from(same)
        };
        let is_waited_for = |connection: &Connection| {
            let id = server_name(server).as_str().into();
            self.queue.iter().any(|waiter| {
                waiter.account == connection.account && waiter.need.accepts(&self.group, now, &id)
            })
        };
        let may_close =
            |connection: &Connection| waited >= REPLACE_DELAY || !is_waited_for(connection);
        let usable = pool.iter().enumerate().filter(|(_, c)| is_idle(c) && may_close(c));
        let least = usable
            .min_by(|(_, a), (_, b)| rate_per_connection(a).total_cmp(&rate_per_connection(b)));
        least.map(|(index, _)| index)
    }
}

pub fn domain_name(domain: usize) -> String {
    format!("d{domain}")
}

pub fn server_name(server: usize) -> String {
    format!("s{server}")
}

/// The group as a holder in a domain sees it: server `sN` is in domain `dN`.
pub fn group_of(holder_domain: usize, primary: usize) -> Group {
    let mut group = Group::with_home(domain_name(holder_domain).as_str().into());
    let info = |server: usize| ServerInfo {
        id: server_name(server).as_str().into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: domain_name(server).as_str().into(),
        slots: 4,
        draining: false,
        leads: server == primary,
        start: "".into(),
    };
    group.set_servers(Duration::ZERO, (0..DOMAINS).map(info).collect());
    for server in 0..DOMAINS {
        let received = Position::new(1, 10);
        let status = ServerStatus {
            leads: server == primary,
            term: 1,
            received,
            applied: received,
            lag: Duration::ZERO,
        };
        let id = server_name(server).as_str().into();
        group.observe_status(Duration::ZERO, Duration::ZERO, &id, status);
    }
    group
}
