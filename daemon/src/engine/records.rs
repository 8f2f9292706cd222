//! Converts records of the platform's store to and from the messages in which
//! instances send them to each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::account::Account;
use chervilwharf_lib::account::Accounts;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::catalog_change::CatalogChange;
use chervilwharf_lib::catalog_change::MapChange;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::route::Consistency as WireConsistency;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::session_floors::OwnPosition;

/// Encodes a duration, rounded down to whole milliseconds.
#[must_use]
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes a duration in the nearest number of milliseconds, for sums of many short times.
#[must_use]
pub fn nearest_milliseconds(duration: Duration) -> u64 {
    milliseconds(duration + Duration::from_micros(500))
}

/// Encodes a duration that must not be taken for a shorter one, in more milliseconds than it
/// has.
#[must_use]
pub fn milliseconds_above(duration: Duration) -> u64 {
    milliseconds(duration).saturating_add(1)
}

fn shared_str(text: String) -> Arc<str> {
    text.into()
}

/// Encodes a configuration.
#[must_use]
pub fn encode_catalog(catalog: &Catalog) -> engine_protos::Configuration {
    let groups = catalog.groups.iter().map(|(name, settings)| engine_protos::Group {
        name: name.to_string(),
        max_connections: settings.max_connections as u64,
        sync_replicas: settings.sync_replicas as u64,
    });
    engine_protos::Configuration {
        version: catalog.version,
        routes: catalog.routes.values().map(|route| encode_route(route)).collect(),
        groups: groups.collect(),
        transaction_idle_ms: catalog.transaction_idle.map_or(0, milliseconds),
        has_accounts: catalog.accounts.is_some(),
        accounts: catalog.accounts.iter().flat_map(Accounts::iter).map(encode_account).collect(),
    }
}

/// Encodes what changed between two versions of the configuration.
#[must_use]
pub fn encode_catalog_change(change: &CatalogChange) -> engine_protos::ConfigurationChange {
    let texts = |names: &[Arc<str>]| names.iter().map(ToString::to_string).collect();
    let accounts = change.accounts.clone().unwrap_or_default();
    let present = Catalog {
        version: change.version,
        routes: change.routes.present.iter().cloned().collect(),
        groups: change.groups.present.iter().cloned().collect(),
        transaction_idle: change.transaction_idle,
        accounts: None,
    };
    engine_protos::ConfigurationChange {
        base_version: change.base_version,
        present: Some(engine_protos::Configuration {
            has_accounts: change.accounts.is_some(),
            accounts: accounts.present.iter().map(|(id, it)| encode_account((id, it))).collect(),
            ..encode_catalog(&present)
        }),
        removed_routes: texts(&change.routes.removed),
        removed_groups: texts(&change.groups.removed),
        removed_accounts: texts(&accounts.removed),
    }
}

/// Decodes what changed between two versions of the configuration.
#[must_use]
pub fn decode_catalog_change(change: engine_protos::ConfigurationChange) -> CatalogChange {
    let ids = |names: Vec<String>| names.into_iter().map(shared_str).collect();
    let mut present = change.present.unwrap_or_default();
    let has_accounts = present.has_accounts;
    let accounts = std::mem::take(&mut present.accounts).into_iter().map(decode_account);
    let accounts = MapChange { present: accounts.collect(), removed: ids(change.removed_accounts) };
    let catalog = decode_catalog(present);
    CatalogChange {
        base_version: change.base_version,
        version: catalog.version,
        routes: MapChange {
            present: catalog.routes.into_iter().collect(),
            removed: ids(change.removed_routes),
        },
        groups: MapChange {
            present: catalog.groups.into_iter().collect(),
            removed: ids(change.removed_groups),
        },
        accounts: has_accounts.then_some(accounts),
        transaction_idle: catalog.transaction_idle,
    }
}

fn encode_account((name, account): (&AccountId, &Account)) -> engine_protos::Account {
    engine_protos::Account {
        name: name.to_string(),
        key_digests: account.keys.iter().map(|key| key.as_bytes().to_vec()).collect(),
        rate_per_s: account.limit.map(|limit| limit.rate_per_s),
        burst: account.limit.map_or(0.0, |limit| limit.burst),
    }
}

fn decode_accounts(accounts: Vec<engine_protos::Account>) -> Accounts {
    let accounts = accounts.into_iter().map(decode_account);
    accounts.fold(Accounts::default(), |accounts, (id, account)| accounts.with_account(id, account))
}

fn decode_account(account: engine_protos::Account) -> (AccountId, Account) {
    let keys = account.key_digests.iter().filter_map(|key| KeyDigest::from_bytes(key));
    let burst = account.burst;
    let limit = account.rate_per_s.map(|rate_per_s| QuotaLimit { rate_per_s, burst });
    let keys = keys.collect();
    (shared_str(account.name), Account { keys, limit })
}

/// Encodes a route.
#[must_use]
pub fn encode_route(route: &Route) -> engine_protos::Route {
    let (consistency, staleness) = match route.consistency {
        Consistency::Latest => (WireConsistency::Latest, Duration::ZERO),
        Consistency::Bounded(age) => (WireConsistency::Bounded, age),
        Consistency::ReadYourWrites(age) => (WireConsistency::ReadYourWrites, age),
    };
    engine_protos::Route {
        database: route.database.to_string(),
        group: route.group.to_string(),
        consistency: consistency.into(),
        staleness_ms: milliseconds(staleness),
        timeout_ms: milliseconds(route.timeout),
        objective_ms: milliseconds(route.objective),
        priority: route.priority.into(),
        is_public: route.is_public,
    }
}

/// Decodes a configuration.
#[must_use]
pub fn decode_catalog(configuration: engine_protos::Configuration) -> Catalog {
    let mut routes = HashMap::with_capacity(configuration.routes.len());
    for route in configuration.routes {
        let route = decode_route(route);
        routes.insert(route.database.clone(), Arc::new(route));
    }
    let mut groups = HashMap::new();
    for group in configuration.groups {
        let settings = GroupSettings {
            max_connections: usize::try_from(group.max_connections).unwrap_or(usize::MAX),
            sync_replicas: usize::try_from(group.sync_replicas).unwrap_or(usize::MAX),
        };
        groups.insert(shared_str(group.name), settings);
    }
    let idle_ms = configuration.transaction_idle_ms;
    let accounts = configuration.has_accounts.then(|| decode_accounts(configuration.accounts));
    Catalog {
        version: configuration.version,
        routes,
        groups,
        transaction_idle: (idle_ms > 0).then(|| Duration::from_millis(idle_ms)),
        accounts,
    }
}

/// Decodes a route.
#[must_use]
pub fn decode_route(route: engine_protos::Route) -> Route {
    let age = Duration::from_millis(route.staleness_ms);
    let consistency = match route.consistency() {
        WireConsistency::Latest => Consistency::Latest,
        WireConsistency::Bounded => Consistency::Bounded(age),
        WireConsistency::ReadYourWrites => Consistency::ReadYourWrites(age),
    };
    Route {
        consistency,
        timeout: Duration::from_millis(route.timeout_ms),
        objective: Duration::from_millis(route.objective_ms),
        priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
        is_public: route.is_public,
        database: shared_str(route.database),
        group: shared_str(route.group),
    }
}

/// Encodes a server.
#[must_use]
pub fn encode_server(group: &GroupId, info: &ServerInfo) -> engine_protos::Server {
    engine_protos::Server {
        group: group.to_string(),
        id: info.id.to_string(),
        address: info.address.to_string(),
        failure_domain: info.failure_domain.to_string(),
        slots: info.slots as u64,
        draining: info.draining,
        leads: info.leads,
        start: info.start.to_string(),
    }
}

/// Encodes an instance.
#[must_use]
pub fn encode_instance(record: &InstanceRecord) -> engine_protos::Instance {
    engine_protos::Instance {
        id: record.id.to_string(),
        life: record.life,
        peer_address: record.peer_address.to_string(),
        failure_domain: record.failure_domain.to_string(),
        capacity_millicores: record.capacity_millicores,
    }
}

/// Decodes an instance; `None` if its address cannot be parsed.
#[must_use]
pub fn decode_instance(instance: engine_protos::Instance) -> Option<InstanceRecord> {
    Some(InstanceRecord {
        peer_address: instance.peer_address.parse().ok()?,
        id: shared_str(instance.id),
        life: instance.life,
        failure_domain: shared_str(instance.failure_domain),
        capacity_millicores: instance.capacity_millicores,
    })
}

/// Decodes a server; `None` if its address cannot be parsed.
#[must_use]
pub fn decode_server(server: engine_protos::Server) -> Option<(GroupId, ServerInfo)> {
    let address: SocketAddr = server.address.parse().ok()?;
    let info = ServerInfo {
        id: shared_str(server.id),
        address,
        failure_domain: shared_str(server.failure_domain),
        slots: usize::try_from(server.slots).unwrap_or(1),
        draining: server.draining,
        leads: server.leads,
        start: shared_str(server.start),
    };
    Some((shared_str(server.group), info))
}

/// Decodes the own commits of a session in a message: the position of the last one, with a term
/// of 0 for none, and whether there may be others. They had been acknowledged at `acknowledged_at`.
#[must_use]
pub fn decode_own_commits(
    position: Position,
    is_unknown: bool,
    acknowledged_at: Moment,
) -> OwnCommits {
    match position.term {
        0 if is_unknown => OwnCommits::Unknown,
        0 => OwnCommits::None,
        _ => OwnCommits::UpTo(OwnPosition { position, acknowledged_at }),
    }
}
