//! The border to what the platform keeps: configuration, servers, instances
//! and duties.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::revision::Era;
pub use chervilwharf_lib::revision::Revision;
use displaydoc::Display;

/// What is kept, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display)]
pub enum RecordKind {
    /// configuration
    Configuration,
    /// servers
    Servers,
    /// instances
    Instances,
    /// duties
    Duties,
}

/// What one record says.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The configuration.
    Configuration(Arc<Catalog>),
    /// A server of a group.
    Server(GroupId, ServerInfo),
    /// An instance.
    Instance(InstanceRecord),
    /// Who replaces the primary of a group.
    Duty(DutyRecord),
}

impl Record {
    /// The kind it is of.
    #[must_use]
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Configuration(_) => RecordKind::Configuration,
            Self::Server(..) => RecordKind::Servers,
            Self::Instance(_) => RecordKind::Instances,
            Self::Duty(_) => RecordKind::Duties,
        }
    }
}

/// A record as it is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: Arc<str>,
    /// Its last change.
    pub revision: Revision,
    /// What it says.
    pub record: Record,
}

/// All records of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The records.
    pub entries: Vec<Entry>,
    /// Names of records that cannot be read. What was known of them before is
    /// still the best there is.
    pub unreadable: Vec<Arc<str>>,
    /// Revision that the listing shows.
    pub revision: Revision,
}

/// A change of one record.
#[derive(Clone, Debug)]
pub enum Change {
    /// It is as this says.
    Present(Entry),
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

/// A sign of life of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivenessReply {
    /// The newest change of the kind asked for, if there was one.
    pub newest_change: Option<Revision>,
    /// Era of the history that the store shows.
    pub era: Era,
}

impl From<Changes> for LivenessReply {
    fn from(changes: Changes) -> Self {
        let at = |change: &Change| match change {
            Change::Present(entry) => entry.revision,
            Change::Removed(_) => changes.revision,
        };
        let newest_change = changes.changes.iter().map(at).max();
        Self { newest_change, era: changes.revision.era }
    }
}

/// Why the platform's store gave no result.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum DirectoryError {
    /// the store does not have the changes since that revision
    HistoryGone,
    /// the store refused with status {0}
    Refused(u16),
    /// the store cannot be reached: {0}
    Unreachable(String),
    /// the store did not answer in time
    Silent,
    /// the store's answer cannot be read: {0}
    Unreadable(String),
    /// the store came back from a copy, and too few tell what was ordered before
    OrdersUnknown,
    /// the record of revision {0} cannot be read
    RecordUnreadable(Revision),
}

impl DirectoryError {
    /// Whether the store said nothing at all, as opposed to no.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Silent)
    }
}

/// Why a record was not written.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum WriteError {
    /// the record was changed by someone else
    Conflict(Option<Entry>),
    /// nothing was done: {0}
    NotDone(DirectoryError),
    /// no answer came; it may be done, now or later: {0}
    Unanswered(DirectoryError),
}

/// How current an answer of the store has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// As it is now.
    Fresh,
    /// It may be seconds old. Such a call costs a tenth and counts toward no
    /// rate.
    MayBeOld,
}

/// What the platform keeps.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Lists all records of a kind.
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError>;

    /// Waits for changes after a revision, at most for `wait`.
    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError>;

    /// Waits for a sign of life, at most for `wait`: for a change of a kind after a
    /// revision, or for nothing. It may be seconds old.
    async fn check_liveness(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
    ) -> Result<LivenessReply, DirectoryError> {
        let changes = self.watch(kind, after, wait, Currency::MayBeOld).await?;
        Ok(changes.into())
    }

    /// Reads one record as it is now.
    async fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Entry>, DirectoryError>;

    /// Writes a record if it still is at `expected`; `None`: if there is none
    /// yet. Returns its new revision.
    async fn write(
        &self,
        name: &str,
        record: &Record,
        expected: Option<Revision>,
    ) -> Result<Revision, WriteError>;

    /// Removes a record if it still is at `expected`.
    async fn remove(
        &self,
        kind: RecordKind,
        name: &str,
        expected: Revision,
    ) -> Result<(), WriteError>;
}
