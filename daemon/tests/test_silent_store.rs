//! Tests that a new configuration is in force in time after an outage of the store, or of
//! the connections to it. Calls that such an outage affects are never answered.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::controllers;
use chervilwharf_daemon::engine::directory::Change;
use chervilwharf_daemon::engine::directory::Changes;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Entry;
use chervilwharf_daemon::engine::directory::Listing;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::id::ConfigVersion;
use stubs::NoServer;
use stubs::ReadOnly;
use stubs::StoreReads;
use tokio::time::Instant;

/// Time limit from the acknowledgement of a configuration until it is in force.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Time after which a call fails without an answer, in addition to the wait that it
/// requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time after the start until all watchers have opened their watch, and the earliest begin
/// of the outage.
const SETTLED: Duration = Duration::from_secs(10);

/// Versions of the configuration before and after the change, with their revision numbers.
const BEFORE: (ConfigVersion, u64) = (1, 10);
const AFTER: (ConfigVersion, u64) = (2, 20);

/// What stops answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// The store, for this time: it never answers the calls in progress at the begin, nor
    /// those that it receives until the end.
    Store(Duration),
    /// The connections of the calls in progress; the store answers later calls.
    CallsInProgress,
}

/// A store with one outage, and a change of the configuration after it.
#[derive(Clone, Copy, Debug)]
struct UnresponsiveOnce {
    outage: Outage,
    outage_from: Instant,
    changed_at: Instant,
}

impl UnresponsiveOnce {
    fn outage_until(&self) -> Instant {
        match self.outage {
            Outage::Store(lasts) => self.outage_from + lasts,
            Outage::CallsInProgress => self.outage_from,
        }
    }

    /// Whether the store answers a call that it would answer at `answered_at`.
    fn answers(&self, called_at: Instant, answered_at: Instant) -> bool {
        called_at >= self.outage_until() || answered_at < self.outage_from
    }

    fn present(&self) -> (ConfigVersion, u64) {
        if Instant::now() < self.changed_at { BEFORE } else { AFTER }
    }

    fn entry(&self) -> Entry {
        stubs::configuration(self.present())
    }
}

#[async_trait]
impl StoreReads for UnresponsiveOnce {
    async fn list(&self, kind: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        let called_at = Instant::now();
        if !self.answers(called_at, called_at + ANSWER_TIME) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(DirectoryError::TimedOut);
        }
        tokio::time::sleep(ANSWER_TIME).await;
        let is_configuration = kind == RecordKind::Configuration;
        let entries = is_configuration.then(|| self.entry()).into_iter().collect();
        let revision = Revision::new(0, self.present().1);
        Ok(Listing { entries, revision, ..Listing::default() })
    }

    async fn watch(
        &self,
        kind: RecordKind,
        after: Revision,
        wait: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        let called_at = Instant::now();
        let is_reported = kind == RecordKind::Configuration && after.number < AFTER.1;
        let reported_at =
            if is_reported { self.changed_at.max(called_at) } else { called_at + wait };
        let answered_at = reported_at.min(called_at + wait) + ANSWER_TIME;
        if !self.answers(called_at, answered_at) {
            tokio::time::sleep(wait + CALL_TIMEOUT).await;
            return Err(DirectoryError::TimedOut);
        }
        tokio::time::sleep_until(answered_at).await;
        let has_changed = is_reported && answered_at > self.changed_at;
        let changes = has_changed.then(|| Change::Present(self.entry())).into_iter().collect();
        Ok(Changes { changes, revision: Revision::new(0, self.present().1) })
    }
}

/// Time from the acknowledgement of a configuration until it is in force.
async fn time_until_in_force(outage: Outage, offset: Duration, delay: Duration) -> Duration {
    let outage_from = Instant::now() + SETTLED + offset;
    let mut store = UnresponsiveOnce { outage, outage_from, changed_at: outage_from };
    store.changed_at = store.outage_until() + delay;
    let engine = Arc::new(Engine::new(stubs::instance("one"), Arc::new(NoServer)));
    let directory: Arc<dyn Directory> = ReadOnly::new(&Arc::new(store));
    let watchers = controllers::start_record_watchers(&engine, &directory);
    tokio::time::sleep_until(store.changed_at).await;
    while engine.catalog().version < AFTER.0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let took = store.changed_at.elapsed();
    watchers.iter().for_each(tokio::task::JoinHandle::abort);
    took
}

/// Offsets of the begin of the outage, which cover the whole duration of a watch.
fn offsets() -> impl Iterator<Item = Duration> {
    (0..20).map(|step| Duration::from_millis(step * 250))
}

/// Descriptions of the cases in which a configuration was in force too late.
async fn late(outages: &[Outage], delays_ms: &[u64]) -> Vec<String> {
    let mut late = Vec::new();
    for outage in outages {
        for offset in offsets() {
            for delay in delays_ms.iter().copied().map(Duration::from_millis) {
                let took = time_until_in_force(*outage, offset, delay).await;
                if took >= CONFIGURATION_BOUND {
                    late.push(format!("{outage:?}, {offset:?}, {delay:?} later: {took:?}"));
                }
            }
        }
    }
    late
}

/// Guards against waiting for a watch that the store never answers while a configuration
/// changes after the outage, and against a retry that stays unanswered as well.
#[tokio::test(start_paused = true)]
async fn test_configuration_is_in_force_in_time_after_an_outage_of_any_length() {
    let outages: Vec<_> = [100, 500, 900, 1_500, 2_500, 3_300, 4_500, 5_600, 8_000]
        .map(|lasts_ms| Outage::Store(Duration::from_millis(lasts_ms)))
        .into();
    let late = late(&outages, &[0, 700]).await;
    assert!(late.is_empty(), "{} late: {:#?}", late.len(), &late[..late.len().min(5)]);
}

/// Guards against waiting for a watch on a connection that is broken without a reset, while
/// the store answers on others.
#[tokio::test(start_paused = true)]
async fn test_configuration_is_in_force_in_time_after_open_connections_stop_answering() {
    let late = late(&[Outage::CallsInProgress], &[100, 1_000]).await;
    assert!(late.is_empty(), "{} late: {:#?}", late.len(), &late[..late.len().min(5)]);
}
