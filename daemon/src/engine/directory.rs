//! The interface to the platform's store, which keeps four kinds of records:
//! the configuration, the servers of each group, the proxy instances, and the
//! duties.
//!
//! A duty is the responsibility for replacing the primary of a group. One
//! instance holds it at a time, under a fencing token.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::keeper_lease::ShardNumber;
use chervilwharf_lib::revision::Era;
pub use chervilwharf_lib::revision::Revision;
use chervilwharf_lib::voter_set::VoterSet;
use displaydoc::Display;

/// The kinds of records.
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

/// The content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The configuration.
    Configuration(Arc<Catalog>),
    /// A server of a group.
    Server(GroupId, ServerInfo),
    /// An instance.
    Instance(InstanceRecord),
    /// The instance that is responsible for replacing the primary of a group.
    Duty(DutyRecord),
    /// The instances that vote on the keeper of a shard of client accounts. It is of the same
    /// kind as the duties, so that one watch has both.
    KeeperVoters(ShardNumber, VoterSet),
}

/// Begin of the names of the records of keepers' voters.
const KEEPER_VOTERS_PREFIX: &str = "account-shard:";

/// Name of the record of the voters on the keeper of a shard.
#[must_use]
pub fn keeper_voters_name(shard: ShardNumber) -> String {
    format!("{KEEPER_VOTERS_PREFIX}{shard}")
}

/// The shard whose voters the record of this name has; `None` for the name of a duty.
#[must_use]
pub fn keeper_voters_shard(name: &str) -> Option<ShardNumber> {
    let shard = name.strip_prefix(KEEPER_VOTERS_PREFIX)?.parse().ok()?;
    (shard < ACCOUNT_SHARDS).then_some(shard)
}

impl Record {
    /// The kind of this record.
    #[must_use]
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Configuration(_) => RecordKind::Configuration,
            Self::Server(..) => RecordKind::Servers,
            Self::Instance(_) => RecordKind::Instances,
            Self::Duty(_) | Self::KeeperVoters(..) => RecordKind::Duties,
        }
    }
}

/// A record with its name and revision in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The name, unique within the kind.
    pub name: Arc<str>,
    /// The revision of the last change.
    pub revision: Revision,
    /// The content.
    pub record: Record,
}

/// All records of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The records.
    pub entries: Vec<Entry>,
    /// Names of records that cannot be decoded. Callers keep the last content
    /// that they read of these.
    pub unreadable: Vec<Arc<str>>,
    /// Revision of the store at which the listing was read.
    pub revision: Revision,
}

/// A change of one record.
#[derive(Clone, Debug)]
pub enum Change {
    /// The record was created or changed, and is now this.
    Present(Entry),
    /// The record of this name was removed.
    Removed(Arc<str>),
}

/// Changes of records of one kind.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision of the store up to which the changes are complete.
    pub revision: Revision,
}

/// The store's reply to a liveness check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivenessReply {
    /// The newest change of the requested kind after the requested revision;
    /// `None` if there was none, or if the changes were not read.
    pub newest_change: Option<Revision>,
    /// Whether there were changes that were not read, because the reply was too long.
    pub has_unread_changes: bool,
    /// The store's era: how often it was restored from a backup.
    pub era: Era,
}

impl From<Changes> for LivenessReply {
    fn from(changes: Changes) -> Self {
        let at = |change: &Change| match change {
            Change::Present(entry) => entry.revision,
            Change::Removed(_) => changes.revision,
        };
        let newest_change = changes.changes.iter().map(at).max();
        Self { newest_change, has_unread_changes: false, era: changes.revision.era }
    }
}

/// Why a call to the store gave no result.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum DirectoryError {
    /// the store does not have the changes since that revision
    HistoryGone,
    /// the store refused with status {0}
    Refused(u16),
    /// the store cannot be reached: {0}
    Unreachable(String),
    /// the changes since that revision are longer than a listing: {0} bytes
    ChangesTooLong(u64),
    /// the store did not answer in time
    TimedOut,
    /// no more of the store's answer arrived after {0} bytes
    Incomplete(u64),
    /// the store's answer cannot be decoded: {0}
    Unreadable(String),
    /// the store was restored from a backup, and too few voters reported their retired terms
    OrdersUnknown,
    /// by the whole list of instances, another one is first in the succession to the duty
    NotFirst,
    /// the record of revision {0} cannot be decoded
    RecordUnreadable(Revision),
}

impl DirectoryError {
    /// Whether no complete answer arrived, as opposed to a refusal or an unusable answer.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::TimedOut | Self::Incomplete(_))
    }
}

/// Why a record was not written.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum WriteError {
    /// the record was changed by another writer
    Conflict(Option<Entry>),
    /// nothing was written: {0}
    NotDone(DirectoryError),
    /// no answer arrived; the write may take effect now or later: {0}
    Unanswered(DirectoryError),
}

/// How current an answer of the store has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// The present state.
    Fresh,
    /// The state may be seconds old. The platform charges a tenth of the price
    /// for such a call and does not count it toward the rate limit.
    MayBeStale,
}

/// The platform's store.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Lists all records of a kind.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError>;

    /// Waits for changes after a revision, at most for `wait`. Without a change
    /// the result is empty.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer, or has dropped the history since
    /// `after`, or when a listing is shorter than the changes since then.
    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError>;

    /// Checks that the store responds. The store answers with the first change of
    /// `kind` after a revision, or without a change once `wait` has passed. The
    /// answer may be seconds old.
    ///
    /// # Errors
    ///
    /// As for [`Directory::watch`].
    async fn check_liveness(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
    ) -> Result<LivenessReply, DirectoryError> {
        let changes = self.watch(kind, after, wait, Currency::MayBeStale).await?;
        Ok(changes.into())
    }

    /// Reads the present state of one record; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer, or the record cannot be decoded.
    async fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Entry>, DirectoryError>;

    /// Writes a record if its revision is still `expected`, where `None` means
    /// that it does not exist. Returns its new revision.
    ///
    /// # Errors
    ///
    /// When the record has another revision, or the store did not confirm the
    /// write. [`WriteError::Unanswered`] leaves open whether it was written.
    async fn write(
        &self,
        name: &str,
        record: &Record,
        expected: Option<Revision>,
    ) -> Result<Revision, WriteError>;

    /// Removes a record if its revision is still `expected`.
    ///
    /// # Errors
    ///
    /// As for [`Directory::write`].
    async fn remove(
        &self,
        kind: RecordKind,
        name: &str,
        expected: Revision,
    ) -> Result<(), WriteError>;
}
