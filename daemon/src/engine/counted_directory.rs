//! Counts the calls to what the platform keeps, by kind and outcome, and logs those
//! without an answer.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_lib::moment::Moment;

use crate::engine::clock::now;
use crate::engine::directory::Changes;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Entry;
use crate::engine::directory::Listing;
use crate::engine::directory::LivenessReply;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::directory::WriteError;
use crate::engine::event_log;
use crate::engine::metrics::StoreMetrics;
use crate::engine::store_availability::unanswered;

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

    fn counted<T, E: CallError>(&self, call: &Call, result: Result<T, E>) -> Result<T, E> {
        self.metrics.record_call(call.kind, result.is_ok());
        let silence = result.as_ref().err().and_then(CallError::silence);
        if let Some(error) = silence {
            call.report_unanswered(error, self.metrics.answer_age());
        }
        result
    }
}

/// A call under way.
struct Call {
    kind: RecordKind,
    name: &'static str,
    sent_at: Moment,
}

impl Call {
    fn new(kind: RecordKind, name: &'static str) -> Self {
        Self { kind, name, sent_at: now() }
    }

    fn report_unanswered(&self, error: &DirectoryError, answered: Option<Duration>) {
        let waited = now().saturating_sub(self.sent_at);
        let event = unanswered(self.kind, self.name, waited, error);
        event_log::emit(&event.with_some_ms("store_answered_ms", answered));
    }
}

/// Why a call failed.
trait CallError {
    /// The error if the store gave no answer.
    fn silence(&self) -> Option<&DirectoryError>;
}

impl CallError for DirectoryError {
    fn silence(&self) -> Option<&DirectoryError> {
        self.is_unanswered().then_some(self)
    }
}

impl CallError for WriteError {
    fn silence(&self) -> Option<&DirectoryError> {
        match self {
            Self::NotDone(error) | Self::Unanswered(error) => error.silence(),
            Self::Conflict(_) => None,
        }
    }
}

#[async_trait]
impl Directory for CountedDirectory {
    async fn list(&self, kind: RecordKind, currency: Currency) -> Result<Listing, DirectoryError> {
        let call = Call::new(kind, "list");
        self.counted(&call, self.inner.list(kind, currency).await)
    }

    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        currency: Currency,
    ) -> Result<Changes, DirectoryError> {
        let call = Call::new(kind, "watch");
        self.counted(&call, self.inner.watch(kind, after, wait, currency).await)
    }

    async fn check_liveness(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
    ) -> Result<LivenessReply, DirectoryError> {
        let result = self.inner.check_liveness(kind, after, wait).await;
        self.metrics.record_liveness_check(result.is_ok());
        result
    }

    async fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Entry>, DirectoryError> {
        let call = Call::new(kind, "get");
        self.counted(&call, self.inner.get(kind, name).await)
    }

    async fn write(
        &self,
        name: &str,
        record: &Record,
        expected: Option<Revision>,
    ) -> Result<Revision, WriteError> {
        let call = Call::new(record.kind(), "write");
        self.counted(&call, self.inner.write(name, record, expected).await)
    }

    async fn remove(
        &self,
        kind: RecordKind,
        name: &str,
        expected: Revision,
    ) -> Result<(), WriteError> {
        let call = Call::new(kind, "remove");
        self.counted(&call, self.inner.remove(kind, name, expected).await)
    }
}
