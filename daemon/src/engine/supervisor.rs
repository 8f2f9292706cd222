//! Notices that a long-lived task of an instance has ended, and reports panics.
//!
//! A task that panics ends alone, and nothing awaits the long-lived ones. An instance without
//! the task that watches the list of servers, say, would go on with an old list and answer that
//! it is ready. These tasks share the state of the engine, which a panic may leave half changed,
//! so none of them is restarted: the process ends, and the platform starts it again. A panic in
//! the task of a request or a connection ends only that, unless it poisoned a lock: then each
//! later user of the lock would panic, and the process ends as well.

use std::panic::AssertUnwindSafe;
use std::panic::PanicHookInfo;
use std::sync::LazyLock;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use futures::FutureExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::engine::event_log;

/// Name of a long-lived task.
pub type TaskName = &'static str;

/// Reported as the failed task if a lock was poisoned, by whichever task.
const POISONED_LOCK: TaskName = "poisoned_lock";

/// Whether a panic on a poisoned lock was reported in this process.
static HAS_POISONED_LOCK: LazyLock<watch::Sender<bool>> =
    LazyLock::new(|| watch::Sender::new(false));

/// Starts the long-lived tasks of an instance and notices when one of them ends.
#[derive(Debug, Default)]
pub struct Supervisor {
    failed: watch::Sender<Option<TaskName>>,
}

impl Supervisor {
    /// Starts a task that may return, but not panic.
    pub fn spawn(
        &self,
        name: TaskName,
        work: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        self.start(name, work, false)
    }

    /// Starts a task that never returns. Aborting it by its handle is no failure.
    pub fn spawn_endless(
        &self,
        name: TaskName,
        work: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        self.start(name, work, true)
    }

    fn start(
        &self,
        name: TaskName,
        work: impl Future<Output = ()> + Send + 'static,
        is_endless: bool,
    ) -> JoinHandle<()> {
        let failed = self.failed.clone();
        tokio::spawn(async move {
            // The state that the task shares may be half changed: the instance has to end.
            let result = AssertUnwindSafe(work).catch_unwind().await;
            let reason = match result {
                Err(_) => "it panicked",
                Ok(()) if is_endless => "it returned",
                Ok(()) => return,
            };
            let event = Event::new(EventKind::TaskFailed).with("task", name);
            event_log::emit(&event.with("reason", reason));
            failed.send_replace(Some(name));
        })
    }

    /// Whether a task has failed or a lock was poisoned.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed.borrow().is_some() || *HAS_POISONED_LOCK.borrow()
    }

    /// Waits until a task has failed, and returns its name.
    pub async fn failed(&self) -> TaskName {
        let mut failed = self.failed.subscribe();
        let mut poisoned = HAS_POISONED_LOCK.subscribe();
        loop {
            let name = *failed.borrow_and_update();
            if let Some(name) = name {
                return name;
            }
            if *poisoned.borrow_and_update() {
                return POISONED_LOCK;
            }
            // The senders live as long as this waits.
            tokio::select! {
                _ = failed.changed() => {}
                _ = poisoned.changed() => {}
            }
        }
    }
}

/// Makes each panic write one event, instead of the message on standard error, which may be a
/// pipe that nothing reads.
pub fn report_panics() {
    std::panic::set_hook(Box::new(report_panic));
}

fn report_panic(panic: &PanicHookInfo<'_>) {
    let payload = panic.payload();
    let literal = payload.downcast_ref::<&str>().copied();
    let formatted = payload.downcast_ref::<String>().map(String::as_str);
    let message = literal.or(formatted).unwrap_or("no text");
    if message.contains("PoisonError") {
        HAS_POISONED_LOCK.send_replace(true);
    }
    let event = Event::new(EventKind::Panicked).with_some("location", panic.location());
    event_log::emit(&event.with("message", message));
}
