//! Replay of the requests of uneven accounts to the holders of one group. It counts the
//! statements that cross into another failure domain and the connections that are opened.
//!
//! The connections at each holder are assigned as in the daemon's `shard/assign.rs`, with the
//! library's choice of the server. A statement and the opening of a connection take a
//! constant time.

mod holder;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::account::Account;
use chervilwharf_lib::account::Accounts;
use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::account_homes::AccountHomes;
use chervilwharf_lib::account_rates::AccountRates;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::peer_contact::Reachability;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_choice;
use chervilwharf_lib::server_choice::Choice;
use chervilwharf_lib::server_choice::Need;
use holder::Connection;
use holder::Holder;
use holder::Waiter;
use holder::domain_name;
pub use holder::group_of;
use holder::server_name;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const DOMAINS: usize = 3;
const HOLDERS: usize = 8;
const ACCOUNTS: usize = 76;
/// Entries in each failure domain: each receives as much as one of 67 instances does from
/// eight groups.
const ENTRIES: usize = 3;
/// Connections to a server at each holder.
const CONNECTIONS: usize = 7;
const REQUESTS_PER_S: f64 = 1_076.0 / 8.0;
const STATEMENT_TIME: Duration = Duration::from_millis(6);
const OPENING_TIME: Duration = Duration::from_millis(12);
/// As in the daemon.
const REPLACE_DELAY: Duration = Duration::from_millis(40);
/// Time that is not counted, in which the pools fill.
const WARM_UP: Duration = Duration::from_secs(30);
const MEASURED: Duration = Duration::from_secs(60);
/// Time after which openings are as before when clients have moved.
const SETTLING: Duration = Duration::from_secs(10);

/// Which homes accounts have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Homes {
    /// One for each account, and reads have connections to the primary opened although their
    /// account has one to a replica.
    SingleBefore,
    /// One for each account.
    Single,
    /// As [`AccountHomes`] decides.
    Decided,
}

/// How a replay is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub homes: Homes,
    pub read_fraction: f64,
    /// Whether all accounts have limits. If not, entries compare what they observe.
    pub has_limits: bool,
    /// From this time on, all clients are in domain 0.
    pub moved_at: Option<Duration>,
    /// A holder that becomes unreachable at a time.
    pub killed: Option<(usize, Duration)>,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    /// Requests whose home is in another domain than their entry.
    pub far_homes: u64,
    /// Statements that a holder sent to a server in another domain.
    pub far_servers: u64,
    pub reads: u64,
    /// Reads that a holder sent to a server in another domain.
    pub far_reads: u64,
    pub openings: u64,
    pub primary_openings: u64,
    /// Requests and openings since 10 s after clients moved.
    pub requests_after_move: u64,
    pub openings_after_move: u64,
    /// Requests whose home is a holder that was killed.
    pub dead_homes: u64,
    /// Sum of the times that requests waited for a connection.
    pub waited_ms: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.far_homes += other.far_homes;
        self.far_servers += other.far_servers;
        self.reads += other.reads;
        self.far_reads += other.far_reads;
        self.openings += other.openings;
        self.primary_openings += other.primary_openings;
        self.requests_after_move += other.requests_after_move;
        self.openings_after_move += other.openings_after_move;
        self.dead_homes += other.dead_homes;
        self.waited_ms += other.waited_ms;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    StatementEnd {
        holder: usize,
        server: usize,
        account: AccountId,
    },
    Opened {
        holder: usize,
        server: usize,
        account: AccountId,
    },
    /// A waiter has waited long enough to replace a connection that others wait for.
    Recheck {
        holder: usize,
    },
}

/// The account of a rank.
pub fn account_id(rank: usize) -> AccountId {
    format!("account{rank:02}").as_str().into()
}

/// Size of an account relative to the largest one.
#[allow(clippy::cast_precision_loss, reason = "the ranks are small")]
fn size(rank: usize) -> f64 {
    ((rank + 1) as f64).powf(-0.8)
}

/// A configuration with all accounts.
pub fn catalog(version: u64, has_limits: bool) -> Catalog {
    let mut accounts = Accounts::default();
    for rank in 0..ACCOUNTS {
        let limit = QuotaLimit { rate_per_s: size(rank) * 100.0, burst: 10.0 };
        let account = Account { keys: Vec::new(), limit: has_limits.then_some(limit) };
        accounts = accounts.with_account(account_id(rank), account);
    }
    let settings = GroupSettings { max_connections: 56, sync_replicas: 1 };
    let groups = [("g".into(), settings)].into();
    Catalog { version, accounts: Some(accounts), groups, ..Catalog::default() }
}

/// One group with its holders and the entries that send to them.
struct World {
    setup: Setup,
    group: GroupId,
    random: StdRng,
    now: Moment,
    happenings: BinaryHeap<Reverse<(Moment, u64, Happening)>>,
    scheduled: u64,
    holders: Vec<Holder>,
    records: Vec<InstanceRecord>,
    entries: Vec<AccountHomes>,
    cumulative_sizes: Vec<f64>,
    counts: Counts,
}

impl World {
    fn new(number: usize, setup: Setup) -> Self {
        let holder = |index: usize| {
            let domain = (index + number) % DOMAINS;
            Holder {
                domain,
                group: group_of(domain, number % DOMAINS),
                pools: (0..DOMAINS).map(|server| (server, Vec::new())).collect(),
                rates: AccountRates::default(),
                queue: Vec::new(),
                reads_wait_for_own: setup.homes != Homes::SingleBefore,
            }
        };
        let holders: Vec<_> = (0..HOLDERS).map(holder).collect();
        let record = |(index, holder): (usize, &Holder)| InstanceRecord {
            id: format!("g{number}h{index}").as_str().into(),
            life: 1,
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: domain_name(holder.domain).as_str().into(),
            capacity_millicores: 120,
        };
        let records = holders.iter().enumerate().map(record).collect();
        let mut entry = AccountHomes::default();
        entry.set_catalog(&catalog(1, setup.has_limits));
        let mut total = 0.0;
        let cumulative_sizes = (0..ACCOUNTS)
            .map(|rank| {
                total += size(rank);
                total
            })
            .collect();
        Self {
            setup,
            group: "g".into(),
            random: StdRng::seed_from_u64(number as u64),
            now: Duration::ZERO,
            happenings: BinaryHeap::new(),
            scheduled: 0,
            holders,
            records,
            entries: vec![entry; DOMAINS * ENTRIES],
            cumulative_sizes,
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, after: Duration, happening: Happening) {
        self.scheduled += 1;
        self.happenings.push(Reverse((self.now + after, self.scheduled, happening)));
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP
    }

    fn is_after_move(&self) -> bool {
        self.setup.moved_at.is_some_and(|moved_at| self.now >= moved_at + SETTLING)
    }

    fn is_dead(&self, holder: usize) -> bool {
        self.setup.killed.is_some_and(|(killed, at)| killed == holder && self.now >= at)
    }

    fn run(mut self) -> Counts {
        self.schedule(Duration::ZERO, Happening::Arrival);
        while let Some(Reverse((at, _, happening))) = self.happenings.pop() {
            self.now = at;
            if at >= WARM_UP + MEASURED {
                break;
            }
            match happening {
                Happening::Arrival => self.arrive(),
                Happening::StatementEnd { holder, server, account } => {
                    self.holders[holder].group.end_running(&server_name(server));
                    self.free(holder, server, &account, |connection| connection.lent);
                }
                Happening::Opened { holder, server, account } => {
                    self.free(holder, server, &account, |connection| connection.opening);
                }
                Happening::Recheck { holder } => self.assign(holder),
            }
        }
        self.counts
    }

    fn free(
        &mut self,
        holder: usize,
        server: usize,
        account: &AccountId,
        is_wanted: impl Fn(&Connection) -> bool,
    ) {
        let pool = self.holders[holder].pools.get_mut(&server).expect("a pool for each server");
        let mut matching = pool.iter_mut().filter(|connection| connection.account == *account);
        let connection =
            matching.find(|connection| is_wanted(connection)).expect("it is in the pool");
        (connection.lent, connection.opening) = (false, false);
        self.assign(holder);
    }

    fn arrive(&mut self) {
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / REQUESTS_PER_S;
        self.schedule(Duration::from_secs_f64(gap), Happening::Arrival);
        let moved = self.setup.moved_at.is_some_and(|moved_at| self.now >= moved_at);
        let entry_domain = if moved { 0 } else { self.random.random_range(0..DOMAINS) };
        let entry = entry_domain * ENTRIES + self.random.random_range(0..ENTRIES);
        let point =
            self.random.random_range(0.0..*self.cumulative_sizes.last().expect("76 accounts"));
        let rank = self.cumulative_sizes.partition_point(|sum| *sum <= point);
        let account = account_id(rank);
        let need = if self.random.random_bool(self.setup.read_fraction) {
            Need::Reader { floor: Position::new(1, 10), failed_server: None }
        } else {
            Need::Leader
        };
        let near = self.holders.iter().filter(|holder| holder.domain == entry_domain).count();
        let homes = &mut self.entries[entry];
        homes.observe(self.now, &account);
        let is_large = self.setup.homes == Homes::Decided
            && need != Need::Leader
            && homes.is_large(self.now, &self.group, &account, near * CONNECTIONS);
        let affinity = if is_large {
            Affinity::LargeAccount(account.clone())
        } else {
            Affinity::Account(account.clone())
        };
        let home = self.home(entry_domain, &affinity);
        if self.is_measured() {
            self.counts.requests += 1;
            self.counts.requests_after_move += u64::from(self.is_after_move());
            self.counts.dead_homes += u64::from(self.is_dead(home));
            self.counts.far_homes += u64::from(self.holders[home].domain != entry_domain);
            self.counts.reads += u64::from(need != Need::Leader);
        }
        self.holders[home].rates.observe(self.now, &account);
        self.holders[home].queue.push(Waiter { since: self.now, account, need });
        self.assign(home);
    }

    fn home(&self, entry_domain: usize, affinity: &Affinity) -> usize {
        let candidate = |(index, record): (usize, &InstanceRecord)| Candidate {
            record: record.clone(),
            reachability: if self.is_dead(index) {
                Reachability::Unreachable
            } else {
                Reachability::Reachable
            },
            recently_refused: false,
            near: *record.failure_domain == *domain_name(entry_domain),
        };
        let candidates: Vec<_> = self.records.iter().enumerate().map(candidate).collect();
        let chosen = choose(&candidates, affinity).expect("eight candidates");
        self.records.iter().position(|record| record.id == chosen.record.id).expect("one of them")
    }

    fn assign(&mut self, holder: usize) {
        let mut being_opened: HashMap<(usize, AccountId), usize> = HashMap::new();
        for (server, pool) in &self.holders[holder].pools {
            for connection in pool.iter().filter(|connection| connection.opening) {
                *being_opened.entry((*server, connection.account.clone())).or_default() += 1;
            }
        }
        let mut index = 0;
        while index < self.holders[holder].queue.len() {
            if !self.assign_one(holder, index, &mut being_opened) {
                index += 1;
            }
        }
    }

    /// Assigns a connection to one waiter; returns whether it waits no more.
    fn assign_one(
        &mut self,
        index: usize,
        place: usize,
        being_opened: &mut HashMap<(usize, AccountId), usize>,
    ) -> bool {
        let now = self.now;
        let holder = &mut self.holders[index];
        let waiter = holder.queue[place].clone();
        let waited = now.saturating_sub(waiter.since);
        let choice = server_choice::choose(&holder.group, now, &waiter.need, |id| {
            holder.view(now, id, &waiter.account, waited)
        });
        let number = |id: &str| id[1..].parse::<usize>().expect("the name of a server");
        match choice {
            Choice::Idle(id) => {
                let server = number(&id);
                let pool = holder.pools.get_mut(&server).expect("a pool for each server");
                let connection = pool
                    .iter_mut()
                    .find(|c| c.account == waiter.account && !c.lent && !c.opening)
                    .expect("an idle connection");
                connection.lent = true;
                holder.group.begin_running(&id);
                holder.queue.remove(place);
                let is_far = server != holder.domain;
                let account = waiter.account;
                if now >= WARM_UP {
                    let is_read = waiter.need != Need::Leader;
                    self.counts.far_servers += u64::from(is_far);
                    self.counts.far_reads += u64::from(is_far && is_read);
                    self.counts.waited_ms += u64::try_from(waited.as_millis()).expect("short");
                }
                let end = Happening::StatementEnd { holder: index, server, account };
                self.schedule(STATEMENT_TIME, end);
                true
            }
            Choice::Open(id) => {
                let server = number(&id);
                let expected = being_opened.entry((server, waiter.account.clone())).or_default();
                if *expected > 0 {
                    *expected -= 1;
                } else {
                    self.open(index, server, waiter.account);
                }
                false
            }
            Choice::Replace(id) => {
                let server = number(&id);
                let victim = holder.victim(now, server, waited).expect("it can be replaced");
                let pool = holder.pools.get_mut(&server).expect("a pool for each server");
                pool.swap_remove(victim);
                self.open(index, server, waiter.account);
                false
            }
            Choice::Wait => {
                if waited.is_zero() {
                    self.schedule(REPLACE_DELAY, Happening::Recheck { holder: index });
                }
                false
            }
        }
    }

    fn open(&mut self, holder: usize, server: usize, account: AccountId) {
        let pool = self.holders[holder].pools.get_mut(&server).expect("a pool for each server");
        pool.push(Connection { account: account.clone(), lent: false, opening: true });
        let is_primary = self.holders[holder].group.leads(&server_name(server).as_str().into());
        self.counts.openings += u64::from(self.is_measured());
        self.counts.primary_openings += u64::from(self.is_measured() && is_primary);
        self.counts.openings_after_move += u64::from(self.is_after_move());
        self.schedule(OPENING_TIME, Happening::Opened { holder, server, account });
    }
}

/// Replays the requests to eight groups.
pub fn replay(setup: Setup) -> Counts {
    let mut total = Counts::default();
    for number in 0..8 {
        total += World::new(number, setup).run();
    }
    total
}
