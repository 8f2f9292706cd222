//! Waits until a replica has received a write.

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

/// Waiters of one database. They share one position probe.
#[derive(Default)]
pub struct ConfirmHub {
    waiting: AtomicUsize,
    advanced: Notify,
    /// Position the waiters were last told of.
    announced: Mutex<Position>,
    /// Replicas that are being asked.
    asking: Mutex<HashSet<TargetId>>,
}

impl ConfirmHub {
    /// Wakes the waiters if more is confirmed than they were told. The paced
    /// probes also learn of positions, so what was known before this answer
    /// says nothing about what the waiters know.
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

struct Waiting<'a>(&'a ConfirmHub);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Why a position was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotConfirmed {
    /// The deadline passed.
    Late,
    /// The term is over: another primary serves, or another owner.
    TermOver,
}

/// Pause between two probes when the first brought nothing new.
const PROBE_PAUSE: Duration = Duration::from_micros(200);

/// Waits for confirmation, by database.
#[derive(Default)]
pub struct Confirmations {
    hubs: Mutex<HashMap<DatabaseId, Arc<ConfirmHub>>>,
}

impl Confirmations {
    fn hub(&self, database: &DatabaseId) -> Arc<ConfirmHub> {
        let mut hubs = self.hubs.lock().expect("never poisoned");
        hubs.entry(database.clone()).or_default().clone()
    }

    /// Waits until what was committed at `position` survives the loss of the
    /// primary. Holds neither a slot nor a connection.
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
        let hub = self.hub(database);
        hub.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiting = Waiting(&hub);
        ask_replicas(databases, database, &hub);
        let confirmed = async {
            loop {
                let advanced = hub.advanced.notified();
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

/// Starts asking each replica that is not being asked already.
///
/// Each is asked by a task of its own: one that does not answer must not
/// delay what the others have to say.
fn ask_replicas(databases: &Arc<Databases>, database: &DatabaseId, hub: &Arc<ConfirmHub>) {
    let replicas = databases.with_database(database, |state| {
        let primary = state.ownership.serving().map(|(_, primary)| primary);
        let others =
            state.ownership.servers().filter(|server| Some(&server.id) != primary.as_ref());
        others.map(|server| server.id.clone()).collect::<Vec<_>>()
    });
    for replica in replicas.unwrap_or_default() {
        if hub.asking.lock().expect("never poisoned").insert(replica.clone()) {
            tokio::spawn(ask(databases.clone(), database.clone(), replica, hub.clone()));
        }
    }
}

/// Asks one replica for its position again and again while anyone waits.
async fn ask(
    databases: Arc<Databases>,
    database: DatabaseId,
    replica: TargetId,
    hub: Arc<ConfirmHub>,
) {
    loop {
        {
            // Checked and left under one lock, so that a waiter that comes
            // now either is seen here or starts the next task.
            let mut asking = hub.asking.lock().expect("never poisoned");
            if hub.waiting.load(Ordering::SeqCst) == 0 {
                asking.remove(&replica);
                return;
            }
        }
        let confirmed = ask_once(&databases, &database, &replica).await;
        if !hub.announce(confirmed) {
            pause().await;
        }
    }
}

/// Tokio's timer works in milliseconds; a yield is the shortest pause it has.
async fn pause() {
    let until = Instant::now() + PROBE_PAUSE;
    while Instant::now() < until {
        tokio::task::yield_now().await;
    }
}

/// Asks a replica once and returns what is confirmed after its answer.
async fn ask_once(
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
