//! Confirmation of writes: waits until a replica has received a log position.
//!
//! Writes and reads of one database that wait at the same time share the probes
//! that ask its replicas how much of the log they have received.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;
use tokio::sync::Notify;

use crate::databases::Databases;
use crate::databases::Interruption;

/// Waiters for confirmation in one database, and the probes that serve them.
#[derive(Default)]
pub struct DatabaseWaiters {
    waiter_count: AtomicUsize,
    advanced: Notify,
    /// Confirmed position at which the waiters were last woken.
    announced: Mutex<Position>,
    /// Replicas that a task is probing.
    probed_replicas: Mutex<HashSet<TargetId>>,
}

impl DatabaseWaiters {
    /// Wakes the waiters if `confirmed` is above the position at which they were
    /// last woken. Returns whether it is.
    ///
    /// The periodic probes of the control loop also advance the confirmed
    /// position, and they wake no waiters. So the comparison is with the
    /// announced position, not with the one confirmed before this probe.
    fn announce(&self, confirmed: Position) -> bool {
        let mut announced = self.announced.lock().expect("never poisoned");
        if confirmed <= *announced {
            return false;
        }
        *announced = confirmed;
        drop(announced);
        self.advanced.notify_waiters();
        true
    }
}

struct WaiterGuard<'a>(&'a DatabaseWaiters);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.waiter_count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reason why a position was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotConfirmed {
    /// The deadline passed.
    Late,
    /// The term ended: the primary or the owner is being replaced.
    TermOver,
}

/// Pause after a probe that did not advance the confirmed position.
const PROBE_PAUSE: Duration = Duration::from_micros(200);

/// The waiters for confirmation of every database.
#[derive(Default)]
pub struct Confirmations {
    by_database: Mutex<HashMap<DatabaseId, Arc<DatabaseWaiters>>>,
}

impl Confirmations {
    fn waiters(&self, database: &DatabaseId) -> Arc<DatabaseWaiters> {
        let mut by_database = self.by_database.lock().expect("never poisoned");
        by_database.entry(database.clone()).or_default().clone()
    }

    /// Waits until a replica has received the log up to `position`, so that what
    /// was committed there survives the loss of the primary. In a group of one
    /// server the log of the primary itself counts. Occupies neither a slot nor a
    /// connection for statements during the wait.
    ///
    /// # Errors
    ///
    /// When the deadline passes or the term ends first.
    pub async fn wait(
        &self,
        databases: &Arc<Databases>,
        database: &DatabaseId,
        position: Position,
        deadline: Instant,
    ) -> Result<(), NotConfirmed> {
        if is_confirmed(databases, database, position)? {
            return Ok(());
        }
        let waiters = self.waiters(database);
        waiters.waiter_count.fetch_add(1, Ordering::SeqCst);
        let _guard = WaiterGuard(&waiters);
        probe_replicas(databases, database, &waiters);
        let confirmed = async {
            loop {
                let advanced = waiters.advanced.notified();
                if is_confirmed(databases, database, position)? {
                    return Ok(());
                }
                advanced.await;
            }
        };
        match databases.within_term(database, position.term, deadline, confirmed).await {
            Ok(result) => result,
            Err(Interruption::TermOver) => Err(NotConfirmed::TermOver),
            Err(Interruption::Late) => Err(NotConfirmed::Late),
        }
    }
}

fn is_confirmed(
    databases: &Databases,
    database: &DatabaseId,
    position: Position,
) -> Result<bool, NotConfirmed> {
    let confirmed = databases.with_database(database, |state| {
        let (term, _) = state.ownership.serving()?;
        (term == position.term).then(|| state.ownership.confirmed() >= position)
    });
    confirmed.flatten().ok_or(NotConfirmed::TermOver)
}

/// Starts a probe task for each replica that has none.
///
/// Every replica has its own task, so that an unresponsive replica does not
/// delay the answers of the others.
fn probe_replicas(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    waiters: &Arc<DatabaseWaiters>,
) {
    let replicas = databases.with_database(database, |state| {
        let primary = state.ownership.serving().map(|(_, primary)| primary);
        let others =
            state.ownership.servers().filter(|server| Some(&server.id) != primary.as_ref());
        others.map(|server| server.id.clone()).collect::<Vec<_>>()
    });
    for replica in replicas.unwrap_or_default() {
        if waiters.probed_replicas.lock().expect("never poisoned").insert(replica.clone()) {
            tokio::spawn(probe_while_waiting(
                databases.clone(),
                database.clone(),
                replica,
                waiters.clone(),
            ));
        }
    }
}

/// Probes one replica for its received position for as long as there are
/// waiters.
async fn probe_while_waiting(
    databases: Arc<Databases>,
    database: DatabaseId,
    replica: TargetId,
    waiters: Arc<DatabaseWaiters>,
) {
    loop {
        {
            // The check and the removal happen under one lock. A waiter that
            // arrives now is either counted here or starts the next task.
            let mut probed_replicas = waiters.probed_replicas.lock().expect("never poisoned");
            if waiters.waiter_count.load(Ordering::SeqCst) == 0 {
                probed_replicas.remove(&replica);
                return;
            }
        }
        let confirmed = probe_once(&databases, &database, &replica).await;
        if !waiters.announce(confirmed) {
            pause().await;
        }
    }
}

/// Pauses for [`PROBE_PAUSE`]. Tokio's timer has a resolution of a millisecond,
/// so this yields until the time has passed.
async fn pause() {
    let until = Instant::now() + PROBE_PAUSE;
    while Instant::now() < until {
        tokio::task::yield_now().await;
    }
}

/// Probes a replica once. Returns the position that is confirmed afterwards, or
/// [`Position::ZERO`] if the replica did not answer.
async fn probe_once(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    replica: &TargetId,
) -> Position {
    let Some(server) = databases.server(replica) else {
        tokio::time::sleep(Duration::from_millis(10)).await;
        return Position::ZERO;
    };
    let Ok(state) = server.confirm.state().await else {
        return Position::ZERO;
    };
    let confirmed = databases.with_database(database, |known| {
        known.ownership.received(replica, state.term, state.received);
        known.ownership.confirmed()
    });
    confirmed.unwrap_or(Position::ZERO)
}
