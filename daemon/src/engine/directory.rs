//! The border to what the platform keeps: configuration, servers, instances
//! and duties, and the controllers that follow them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use displaydoc::Display;

use crate::engine::clock::now;
use crate::engine::shared::Engine;

/// Counts changes of the platform's store.
pub type Revision = u64;

/// What is kept, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display)]
pub enum RecordKind {
    /// configuration
    Configuration,
    /// servers
    Servers,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The configuration.
    Configuration(Arc<Catalog>),
    /// A server of a group.
    Server(GroupId, ServerInfo),
}

/// All records of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The records by name.
    pub records: Vec<(Arc<str>, Record)>,
    /// Revision that the listing shows.
    pub revision: Revision,
}

/// A change of one record.
#[derive(Clone, Debug)]
pub enum Change {
    /// It has this content now.
    Present(Arc<str>, Record),
    /// It is gone.
    Removed(Arc<str>),
}

/// Changes of a kind.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which they go.
    pub revision: Revision,
}

/// Why the platform's store gave no result.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum DirectoryError {
    /// the store has forgotten the changes since that revision
    HistoryGone,
    /// the store refused with status {0}
    Refused(u16),
    /// the store cannot be reached: {0}
    Unreachable(String),
    /// the store's answer cannot be read: {0}
    Unreadable(String),
}

/// What the platform keeps.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Lists all records of a kind, as they are now.
    async fn list(&self, kind: RecordKind) -> Result<Listing, DirectoryError>;

    /// Waits for changes after a revision, at most for `wait`.
    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, DirectoryError>;
}

/// Takes over what a kind of records says.
pub trait Follower: Send {
    /// The kind it follows.
    fn kind(&self) -> RecordKind;

    /// These are all records.
    fn replace(&mut self, records: Vec<(Arc<str>, Record)>);

    /// A record changed.
    fn change(&mut self, change: Change);

    /// Some time has passed without a change.
    fn tick(&mut self) {}

    /// Longest time until the next tick is due.
    fn wait_limit(&self) -> Duration {
        WATCH_WAIT
    }
}

/// Longest wait of one watch. Each call is paid for; keep-alive probes find
/// a silent connection earlier than the end of the wait does.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// First and longest pause after a failed call. The longest leaves five tries
/// within the 3 s in which a configuration has to be in force.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Follows a kind of records for ever.
pub async fn follow(directory: Arc<dyn Directory>, mut follower: impl Follower) {
    let kind = follower.kind();
    let mut pause = FIRST_PAUSE;
    let mut revision: Option<Revision> = None;
    loop {
        let result = match revision {
            None => list(&*directory, &mut follower).await,
            Some(after) => watch(&*directory, &mut follower, after).await,
        };
        match result {
            Ok(next) => {
                if pause != FIRST_PAUSE {
                    log::info!("the store answers again for {kind}, revision {next}");
                }
                pause = FIRST_PAUSE;
                revision = Some(next);
            }
            Err(DirectoryError::HistoryGone) => {
                log::info!("the store forgot the changes of {kind} since {revision:?}: list again");
                revision = None;
            }
            Err(error) => {
                if pause == FIRST_PAUSE {
                    log::warn!("the store fails for {kind}: {error}");
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                follower.tick();
            }
        }
    }
}

async fn list(
    directory: &dyn Directory,
    follower: &mut impl Follower,
) -> Result<Revision, DirectoryError> {
    let listing = directory.list(follower.kind()).await?;
    follower.replace(listing.records);
    Ok(listing.revision)
}

async fn watch(
    directory: &dyn Directory,
    follower: &mut impl Follower,
    after: Revision,
) -> Result<Revision, DirectoryError> {
    let wait = follower.wait_limit();
    let changes = directory.watch(follower.kind(), after, wait).await?;
    for change in changes.changes {
        follower.change(change);
    }
    follower.tick();
    Ok(changes.revision)
}

/// Puts configurations in force.
pub struct ConfigurationFollower {
    engine: Arc<Engine>,
}

impl ConfigurationFollower {
    /// Feeds an engine.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    fn take(&self, record: Record) {
        let Record::Configuration(catalog) = record else {
            return;
        };
        let (version, routes) = (catalog.version, catalog.routes.len());
        if self.engine.set_catalog(catalog) {
            log::info!("configuration {version} with {routes} routes is in force");
        }
    }
}

impl Follower for ConfigurationFollower {
    fn kind(&self) -> RecordKind {
        RecordKind::Configuration
    }

    fn replace(&mut self, records: Vec<(Arc<str>, Record)>) {
        for (_, record) in records {
            self.take(record);
        }
    }

    fn change(&mut self, change: Change) {
        if let Change::Present(_, record) = change {
            self.take(record);
        }
    }
}

/// A server as it was last listed.
struct ListedServer {
    group: GroupId,
    info: ServerInfo,
    /// Since when the list lacks it.
    missing_since: Option<Moment>,
}

/// Tells the shards which servers there are.
pub struct ServerFollower {
    engine: Arc<Engine>,
    servers: HashMap<TargetId, ListedServer>,
}

/// A server that the list lacks is still used for this long: entries expire
/// while the store is down, and living servers are back two seconds after.
/// Far below the time after which a server that left may get no request.
const MISSING_GRACE: Duration = Duration::from_millis(3_500);

/// How soon missing servers are looked at again.
const MISSING_CHECK: Duration = Duration::from_millis(500);

impl ServerFollower {
    /// Feeds an engine.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine, servers: HashMap::new() }
    }

    fn take(&mut self, record: Record) {
        let Record::Server(group, info) = record else {
            return;
        };
        let listed = ListedServer { group, info: info.clone(), missing_since: None };
        self.servers.insert(info.id, listed);
    }

    fn miss(&mut self, id: &str) {
        let Some(listed) = self.servers.get_mut(id) else {
            return;
        };
        if listed.info.draining {
            self.servers.remove(id);
            return;
        }
        listed.missing_since.get_or_insert_with(now);
    }

    fn drop_missing(&mut self) {
        let now = now();
        self.servers.retain(|_, listed| {
            listed.missing_since.is_none_or(|since| since + MISSING_GRACE > now)
        });
    }

    fn publish(&mut self) {
        self.drop_missing();
        let mut by_group: HashMap<GroupId, Vec<ServerInfo>> = HashMap::new();
        for shard in self.engine.shards() {
            by_group.insert(shard.id().clone(), Vec::new());
        }
        for listed in self.servers.values() {
            by_group.entry(listed.group.clone()).or_default().push(listed.info.clone());
        }
        for (group, servers) in by_group {
            self.engine.shard(&group).set_servers(servers);
        }
    }
}

impl Follower for ServerFollower {
    fn kind(&self) -> RecordKind {
        RecordKind::Servers
    }

    fn replace(&mut self, records: Vec<(Arc<str>, Record)>) {
        let listed: Vec<_> = records.iter().map(|(name, _)| name.clone()).collect();
        for (_, record) in records {
            self.take(record);
        }
        let missing: Vec<_> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.miss(&id);
        }
        self.publish();
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Present(_, record) => self.take(record),
            Change::Removed(id) => self.miss(&id),
        }
        self.publish();
    }

    fn tick(&mut self) {
        if self.servers.values().any(|listed| listed.missing_since.is_some()) {
            self.publish();
        }
    }

    fn wait_limit(&self) -> Duration {
        let missing = self.servers.values().any(|listed| listed.missing_since.is_some());
        if missing { MISSING_CHECK } else { WATCH_WAIT }
    }
}
