//! Stubs of the servers, the store and the other surroundings of an engine. Each test
//! binary uses some of them.
#![allow(dead_code, reason = "each test binary uses a part of the stubs")]

pub mod holder;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::directory::Changes;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Entry;
use chervilwharf_daemon::engine::directory::Listing;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::directory::WriteError;
use chervilwharf_daemon::engine::peers::Peers;
use chervilwharf_daemon::engine::server_connection::ConnectError;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::voter_set::VoterSet;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A connector that fails: there is no server.
pub struct NoServer;

#[async_trait]
impl Connector for NoServer {
    async fn start(
        &self,
        _stream: TcpStream,
        _group: &GroupId,
        _account: Option<&AccountId>,
        _server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        Err(ConnectError::Unreachable("there is none".to_owned()))
    }
}

/// A connector whose server never sends a greeting.
pub struct NeverGreets;

#[async_trait]
impl Connector for NeverGreets {
    async fn start(
        &self,
        _stream: TcpStream,
        _group: &GroupId,
        _account: Option<&AccountId>,
        _server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        std::future::pending().await
    }
}

/// A connector whose server refuses every connection, because it has too many.
pub struct TooManyConnections;

#[async_trait]
impl Connector for TooManyConnections {
    async fn start(
        &self,
        _stream: TcpStream,
        _group: &GroupId,
        _account: Option<&AccountId>,
        _server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        let (kind, text) = (RefusalKind::TooManyConnections, "too many".into());
        Err(ConnectError::Refused(ServerRefusal { kind, text }))
    }
}

/// The record of an instance in failure domain `a`.
pub fn instance(id: &str) -> InstanceRecord {
    InstanceRecord {
        id: id.into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 250,
    }
}

/// Makes an instance the only voter of a group, with a state as if it had run for long and
/// knew all orders. In its first second an instance makes no promise.
pub fn set_only_voter_for_long(engine: &Engine, group: &GroupId) {
    engine.shard(group).with_group(|group| {
        let lease = group.primary_lease_mut();
        *lease = PrimaryLease::unknown(engine.me().id.clone());
        lease.orders_known();
    });
    set_only_voter(engine, group);
}

/// Makes an instance the only voter of a group.
pub fn set_only_voter(engine: &Engine, group: &GroupId) {
    let voters = VoterSet::first(0, vec![engine.me().id.clone()]);
    engine.adopt_voters(&engine.shard(group), &voters);
}

/// The configuration of a version, changed at a revision of this number.
pub fn configuration((version, number): (ConfigVersion, u64)) -> Entry {
    let record = Record::Configuration(Arc::new(Catalog { version, ..Catalog::default() }));
    Entry { name: "main".into(), revision: Revision::new(0, number), record }
}

/// A primary as the platform lists it.
pub fn primary(id: TargetId, address: SocketAddr) -> ServerInfo {
    ServerInfo {
        id,
        address,
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        leads: true,
        start: "".into(),
    }
}

/// A shard with one server, the primary, at an address.
pub fn shard_with_primary(
    connector: Arc<dyn Connector>,
    id: &TargetId,
    address: SocketAddr,
) -> Arc<Shard> {
    let (peers, primary_check) = (Arc::new(Peers::default()), Arc::new(Notify::new()));
    let shard = Arc::new(Shard::new("group".into(), "a".into(), connector, peers, primary_check));
    shard.set_servers(vec![primary(id.clone(), address)]);
    shard
}

/// A store that has one record, or none.
#[derive(Default)]
pub struct OneRecord(Mutex<Option<Entry>>);

impl OneRecord {
    /// A store with this record.
    pub fn with(entry: Entry) -> Self {
        Self(Mutex::new(Some(entry)))
    }

    /// The record, if there is one.
    pub fn entry(&self) -> Option<Entry> {
        self.0.lock().unwrap().clone()
    }

    /// The record of a duty.
    pub fn duty(&self) -> DutyRecord {
        match self.entry().expect("there is a record").record {
            Record::Duty(duty) => duty,
            other => panic!("{other:?}"),
        }
    }
}

#[async_trait]
impl Directory for OneRecord {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        Err(DirectoryError::Refused(503))
    }

    async fn watch(
        &self,
        _: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        Err(DirectoryError::Refused(503))
    }

    async fn get(&self, _: RecordKind, _: &str) -> Result<Option<Entry>, DirectoryError> {
        Ok(self.entry())
    }

    async fn write(
        &self,
        name: &str,
        record: &Record,
        expected: Option<Revision>,
    ) -> Result<Revision, WriteError> {
        let mut kept = self.0.lock().unwrap();
        let present = kept.as_ref().map(|entry| entry.revision);
        if expected != present {
            return Err(WriteError::Conflict(kept.clone()));
        }
        let mut revision = present.unwrap_or_default();
        revision.number += 1;
        *kept = Some(Entry { name: name.into(), revision, record: record.clone() });
        Ok(revision)
    }

    async fn remove(&self, _: RecordKind, _: &str, _: Revision) -> Result<(), WriteError> {
        Err(WriteError::Conflict(None))
    }
}

/// The reading calls of a store.
#[async_trait]
pub trait StoreReads: Send + Sync {
    /// Lists all records of a kind.
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError>;

    /// Waits for changes after a revision.
    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError>;

    /// Reads one record.
    async fn get(&self, _: RecordKind, _: &str) -> Result<Option<Entry>, DirectoryError> {
        Ok(None)
    }
}

/// A store with empty listings, in which every watch fails with this error.
pub struct ListsOnly(pub DirectoryError);

#[async_trait]
impl StoreReads for ListsOnly {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        Ok(Listing::default())
    }

    async fn watch(
        &self,
        _: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        Err(self.0.clone())
    }
}

/// A store in which every write conflicts. Reads are those of the inner value.
pub struct ReadOnly<T>(Arc<T>);

impl<T: StoreReads> ReadOnly<T> {
    /// A store that answers listings and watches as `reads` does.
    pub fn new(reads: &Arc<T>) -> Arc<Self> {
        Arc::new(Self(reads.clone()))
    }
}

#[async_trait]
impl<T: StoreReads> Directory for ReadOnly<T> {
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError> {
        self.0.list(kind, currency).await
    }

    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError> {
        self.0.watch(kind, after, wait, currency).await
    }

    async fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Entry>, DirectoryError> {
        self.0.get(kind, name).await
    }

    async fn write(
        &self,
        _: &str,
        _: &Record,
        _: Option<Revision>,
    ) -> Result<Revision, WriteError> {
        Err(WriteError::Conflict(None))
    }

    async fn remove(&self, _: RecordKind, _: &str, _: Revision) -> Result<(), WriteError> {
        Err(WriteError::Conflict(None))
    }
}
