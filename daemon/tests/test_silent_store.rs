//! A store that is silent for a while: what it received meanwhile, or on connections
//! that went silent, it never answers.

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
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::id::ConfigVersion;
use stubs::Listed;
use stubs::NoServer;
use stubs::ReadOnly;
use tokio::time::Instant;

/// By then a configuration has to be in force, from its acknowledgement on.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Time of a call, beyond what the call itself waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// When the first silence can begin: by then all followers watch.
const SETTLED: Duration = Duration::from_secs(10);

/// Versions before and after the change, and the revisions of both.
const BEFORE: (ConfigVersion, u64) = (1, 10);
const AFTER: (ConfigVersion, u64) = (2, 20);

/// What goes silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The store: calls under way, and those that it receives until it is back.
    Store(Duration),
    /// Calls under way; others are answered.
    CallsUnderWay,
}

/// A store that goes silent once, and a configuration that it takes afterwards.
#[derive(Clone, Copy, Debug)]
struct SilentOnce {
    silence: Silence,
    silent_from: Instant,
    changed_at: Instant,
}

impl SilentOnce {
    fn silent_until(&self) -> Instant {
        match self.silence {
            Silence::Store(lasts) => self.silent_from + lasts,
            Silence::CallsUnderWay => self.silent_from,
        }
    }

    /// Whether a call that is answered at a moment is answered at all.
    fn answers(&self, called_at: Instant, answered_at: Instant) -> bool {
        called_at >= self.silent_until() || answered_at < self.silent_from
    }

    fn present(&self) -> (ConfigVersion, u64) {
        if Instant::now() < self.changed_at { BEFORE } else { AFTER }
    }

    fn entry(&self) -> Entry {
        let (version, number) = self.present();
        let catalog = Catalog { version, ..Catalog::default() };
        let record = Record::Configuration(Arc::new(catalog));
        Entry { name: "main".into(), revision: Revision::new(0, number), record }
    }
}

#[async_trait]
impl Listed for SilentOnce {
    async fn list(&self, kind: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        let called_at = Instant::now();
        if !self.answers(called_at, called_at + ANSWER_TIME) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(DirectoryError::Silent);
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
        let is_told = kind == RecordKind::Configuration && after.number < AFTER.1;
        let told_at = if is_told { self.changed_at.max(called_at) } else { called_at + wait };
        let answered_at = told_at.min(called_at + wait) + ANSWER_TIME;
        if !self.answers(called_at, answered_at) {
            tokio::time::sleep(wait + CALL_TIMEOUT).await;
            return Err(DirectoryError::Silent);
        }
        tokio::time::sleep_until(answered_at).await;
        let has_changed = is_told && answered_at > self.changed_at;
        let changes = has_changed.then(|| Change::Present(self.entry())).into_iter().collect();
        Ok(Changes { changes, revision: Revision::new(0, self.present().1) })
    }
}

/// Time from the acknowledgement of a configuration until it is in force.
async fn time_until_in_force(silence: Silence, phase: Duration, later: Duration) -> Duration {
    let silent_from = Instant::now() + SETTLED + phase;
    let mut store = SilentOnce { silence, silent_from, changed_at: silent_from };
    store.changed_at = store.silent_until() + later;
    let engine = Arc::new(Engine::new(stubs::instance("one"), Arc::new(NoServer)));
    let directory: Arc<dyn Directory> = ReadOnly::new(&Arc::new(store));
    let followers = controllers::start_followers(&engine, &directory);
    tokio::time::sleep_until(store.changed_at).await;
    while engine.catalog().version < AFTER.0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let took = store.changed_at.elapsed();
    followers.iter().for_each(tokio::task::JoinHandle::abort);
    took
}

/// Times between the start of a call and the silence that swallows it: all of a watch.
fn phases() -> impl Iterator<Item = Duration> {
    (0..20).map(|step| Duration::from_millis(step * 250))
}

/// Cases in which a configuration was in force too late.
async fn late(silences: &[Silence], later_ms: &[u64]) -> Vec<String> {
    let mut late = Vec::new();
    for silence in silences {
        for phase in phases() {
            for later in later_ms.iter().copied().map(Duration::from_millis) {
                let took = time_until_in_force(*silence, phase, later).await;
                if took >= CONFIGURATION_BOUND {
                    late.push(format!("{silence:?}, {phase:?}, {later:?} later: {took:?}"));
                }
            }
        }
    }
    late
}

/// Guards against a watch that the store swallowed and that holds up what is told
/// after the store is back, and against a retry that is swallowed as well.
#[tokio::test(start_paused = true)]
async fn test_configuration_is_in_force_in_time_after_an_outage_of_any_length() {
    let silences: Vec<_> = [100, 500, 900, 1_500, 2_500, 3_300, 4_500, 5_600, 8_000]
        .map(|lasts_ms| Silence::Store(Duration::from_millis(lasts_ms)))
        .into();
    let late = late(&silences, &[0, 700]).await;
    assert!(late.is_empty(), "{} late: {:#?}", late.len(), &late[..late.len().min(5)]);
}

/// Guards against a watch on a connection that went silent without a reset, while the
/// store answers on others.
#[tokio::test(start_paused = true)]
async fn test_configuration_is_in_force_in_time_after_open_connections_stop_answering() {
    let late = late(&[Silence::CallsUnderWay], &[100, 1_000]).await;
    assert!(late.is_empty(), "{} late: {:#?}", late.len(), &late[..late.len().min(5)]);
}
