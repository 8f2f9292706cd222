//! Counts the calls to what the platform keeps, by kind and outcome.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::engine::directory::Changes;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Entry;
use crate::engine::directory::Listing;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::directory::WriteError;
use crate::engine::metrics::StoreMetrics;

/// A directory whose calls are counted.
pub struct CountedDirectory {
    inner: Arc<dyn Directory>,
    metrics: StoreMetrics,
}

impl CountedDirectory {
    /// Counts the calls to `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Directory>, metrics: StoreMetrics) -> Self {
        Self { inner, metrics }
    }

    fn counted<T, E>(&self, kind: RecordKind, result: Result<T, E>) -> Result<T, E> {
        self.metrics.called(kind, result.is_ok());
        result
    }
}

#[async_trait]
impl Directory for CountedDirectory {
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError> {
        self.counted(kind, self.inner.list(kind, currency).await)
    }

    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError> {
        self.counted(kind, self.inner.watch(kind, after, wait, currency).await)
    }

    async fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Entry>, DirectoryError> {
        self.counted(kind, self.inner.get(kind, name).await)
    }

    async fn write(
        &self,
        name: &str,
        record: &Record,
        expected: Option<Revision>,
    ) -> Result<Revision, WriteError> {
        self.counted(record.kind(), self.inner.write(name, record, expected).await)
    }

    async fn remove(
        &self,
        kind: RecordKind,
        name: &str,
        expected: Revision,
    ) -> Result<(), WriteError> {
        self.counted(kind, self.inner.remove(kind, name, expected).await)
    }
}
