//! Acquires execution slots and connections of database servers. Guards release
//! them when they are dropped.
//!
//! A slot permits one statement at a server. The number of slots limits how many
//! statements run there at the same time; requests queue for them by priority.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::admission::Admission;
use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::admission::Ticket;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::pool::Checkout;
use chervilwharf_lib::protos::Failure;
use tokio::sync::oneshot;

use crate::answer::failure;
use crate::answer::failure_after;
use crate::connection_store::SlotDecision;
use crate::databases::Databases;
use crate::postgres::ServerConnection;
use crate::postgres::Step;

/// Permission to run one statement at a server. The slot is released on drop.
pub struct SlotGuard {
    databases: Arc<Databases>,
    database: DatabaseId,
    server: TargetId,
    since: Instant,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let took = self.since.elapsed();
        release(&self.databases, &self.database, &self.server, took);
    }
}

fn release(databases: &Arc<Databases>, database: &DatabaseId, server: &TargetId, took: Duration) {
    let now = Instant::now();
    let granted = databases.with_database(database, |state| {
        let slots = state.slots.get_mut(server)?;
        Some(slots.release(now, took))
    });
    wake(databases, database, server, granted.flatten().unwrap_or_default());
}

/// Wakes the waiters whose tickets were granted. The slot of a waiter that has
/// left the queue is granted to the next one.
fn wake(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    granted: Vec<Ticket>,
) {
    let Some(configured) = databases.server(server) else {
        return;
    };
    let mut abandoned = configured.connections.grant(granted);
    while !abandoned.is_empty() {
        let next = databases.with_database(database, |state| {
            let slots = state.slots.get_mut(server)?;
            let now = Instant::now();
            let freed = abandoned.iter().flat_map(|_| slots.release(now, Duration::ZERO));
            Some(freed.collect::<Vec<_>>())
        });
        abandoned = configured.connections.grant(next.flatten().unwrap_or_default());
    }
}

/// Refuses waiters that can no longer start before their deadline, and raises the
/// number of slots of a new primary step by step. The control loop calls this
/// periodically.
pub fn maintain(databases: &Arc<Databases>, database: &DatabaseId) {
    let now = Instant::now();
    let servers = databases.with_database(database, |state| {
        let expire = |(id, slots): (&TargetId, &mut chervilwharf_lib::admission::SlotQueue)| {
            let expired = slots.expire(now);
            let granted = slots.allow_more(now);
            (id.clone(), expired, granted)
        };
        state.slots.iter_mut().map(expire).collect::<Vec<_>>()
    });
    for (server, expired, granted) in servers.unwrap_or_default() {
        if let Some(configured) = databases.server(&server) {
            configured.connections.refuse(expired);
        }
        wake(databases, database, &server, granted);
    }
}

/// Waits for a slot at a server.
///
/// # Errors
///
/// When the queue refuses the request: at once if it cannot start before its
/// deadline or the queue is full, or later if its deadline can no longer be met or
/// a more important request displaces it. Also when the configuration no longer
/// has the server.
pub async fn acquire_slot(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    flow: &Flow,
    priority: Priority,
    deadline: Instant,
) -> Result<SlotGuard, Failure> {
    let configured = databases.server(server).ok_or_else(|| failure(ErrorKind::NoPrimary))?;
    let (sender, receiver) = oneshot::channel();
    let (admission, displaced) = databases
        .with_database(database, |state| {
            let slots = state.slots.get_mut(server)?;
            let admission = slots.request_for(Instant::now(), flow, priority, deadline);
            if let Admission::Queued(ticket) = admission {
                // Done under the lock of the database, so that the ticket cannot
                // be granted before the waiter is registered.
                configured
                    .connections
                    .waiting
                    .lock()
                    .expect("never poisoned")
                    .insert(ticket, sender);
            }
            Some((admission, slots.displaced()))
        })
        .flatten()
        .ok_or_else(|| failure(ErrorKind::UnknownDatabase))?;
    configured.connections.refuse(displaced);
    let guard = |since| SlotGuard {
        databases: databases.clone(),
        database: database.clone(),
        server: server.clone(),
        since,
    };
    match admission {
        Admission::Granted => Ok(guard(Instant::now())),
        Admission::Refused { retry_after } => {
            Err(failure_after(ErrorKind::Overloaded, retry_after))
        }
        Admission::Queued(ticket) => {
            let mut waiter = Waiter { databases, database, server, ticket, receiver };
            match (&mut waiter.receiver).await {
                Ok(SlotDecision::Granted) => Ok(guard(Instant::now())),
                Ok(SlotDecision::Refused(retry_after)) => {
                    Err(failure_after(ErrorKind::Overloaded, retry_after))
                }
                Err(_) => Err(failure(ErrorKind::Overloaded)),
            }
        }
    }
}

/// Takes a slot for a statement of an open transaction without waiting, even if
/// none is free.
pub fn acquire_slot_unconditionally(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
) -> SlotGuard {
    databases.with_database(database, |state| {
        if let Some(slots) = state.slots.get_mut(server) {
            slots.acquire_unconditionally();
        }
    });
    SlotGuard {
        databases: databases.clone(),
        database: database.clone(),
        server: server.clone(),
        since: Instant::now(),
    }
}

/// A request that waits for a slot. It leaves the queue when it is dropped.
/// Otherwise the slot would be granted to a request that no longer exists and
/// never be released.
struct Waiter<'a> {
    databases: &'a Arc<Databases>,
    database: &'a DatabaseId,
    server: &'a TargetId,
    ticket: Ticket,
    receiver: oneshot::Receiver<SlotDecision>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        // The channel is closed first. A grant sent after that fails, and its
        // sender passes the slot on; a grant sent before is received here. The
        // slot is released exactly once in either case.
        self.receiver.close();
        if matches!(self.receiver.try_recv(), Ok(SlotDecision::Granted)) {
            release(self.databases, self.database, self.server, Duration::ZERO);
            return;
        }
        if let Some(configured) = self.databases.server(self.server) {
            configured.connections.waiting.lock().expect("never poisoned").remove(&self.ticket);
        }
        self.databases.with_database(self.database, |state| {
            state.slots.get_mut(self.server).is_some_and(|slots| slots.abandon(self.ticket))
        });
    }
}

/// Timeout of a rollback.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(1);

/// A connection in use. When dropped, it returns to the pool if it is reusable
/// and is closed otherwise.
pub struct ConnectionGuard {
    databases: Arc<Databases>,
    database: DatabaseId,
    server: TargetId,
    id: u64,
    connection: Option<ServerConnection>,
}

impl ConnectionGuard {
    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never: the guard holds the connection until it is dropped.
    pub fn get(&mut self) -> &mut ServerConnection {
        self.connection.as_mut().expect("a guard holds its connection until it is dropped")
    }

    /// Rolls back the open transaction in the background, so that the connection
    /// can be reused.
    pub fn end_transaction(mut self) {
        if !self.get().is_answer_complete() {
            return;
        }
        tokio::spawn(async move {
            let rollback = [Step::internal("ROLLBACK")];
            let run = self.get().run(&rollback);
            // The guard closes a connection that does not answer in this time.
            let _ = tokio::time::timeout(ROLLBACK_LIMIT, run).await;
        });
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connection = self.connection.take().filter(ServerConnection::is_reusable);
        let configured = self.databases.server(&self.server);
        let id = self.id;
        self.databases.with_database(&self.database, |state| {
            let Some(pool) = state.pools.get_mut(&self.server) else {
                return;
            };
            match (connection, configured) {
                // A connection with an incomplete answer is closed: the rest of
                // the answer must not reach the next request.
                (None, _) | (_, None) => pool.closed(),
                (Some(connection), Some(configured)) => {
                    let mut idle = configured.connections.idle.lock().expect("never poisoned");
                    idle.insert(id, connection);
                    pool.give_back(id, Instant::now());
                }
            }
        });
    }
}

/// Guard of a connection that is being opened. The pool counts the opening as
/// failed if the guard is dropped before [`Opening::complete`].
struct Opening<'a> {
    databases: &'a Arc<Databases>,
    database: &'a DatabaseId,
    server: &'a TargetId,
    completed: bool,
}

impl Opening<'_> {
    fn complete(mut self) -> u64 {
        self.completed = true;
        let id = self.databases.with_database(self.database, |state| {
            state.pools.get_mut(self.server).map(chervilwharf_lib::pool::ServerPool::opened)
        });
        id.flatten().unwrap_or(0)
    }
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        self.databases.with_database(self.database, |state| {
            if let Some(pool) = state.pools.get_mut(self.server) {
                pool.open_failed();
            }
        });
    }
}

/// Timeout of opening a connection to a server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Acquires a connection to a server from its pool.
///
/// # Errors
///
/// When the pool has no free connection before the deadline, or the server cannot
/// be reached.
pub async fn checkout(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    deadline: Instant,
) -> Result<ConnectionGuard, Failure> {
    let configured = databases.server(server).ok_or_else(|| failure(ErrorKind::NoPrimary))?;
    loop {
        let decision = databases
            .with_database(database, |state| {
                let pool = state.pools.get_mut(server)?;
                let decision = pool.checkout(Instant::now());
                let connection = match decision {
                    Checkout::Reuse(id) => {
                        configured.connections.idle.lock().expect("never poisoned").remove(&id)
                    }
                    _ => None,
                };
                if matches!(decision, Checkout::Reuse(_)) && connection.is_none() {
                    // The address of the server changed, and its connections
                    // were replaced by a new, empty store.
                    pool.closed();
                }
                Some((decision, connection))
            })
            .flatten()
            .ok_or_else(|| failure(ErrorKind::UnknownDatabase))?;
        let guard = |id, connection| ConnectionGuard {
            databases: databases.clone(),
            database: database.clone(),
            server: server.clone(),
            id,
            connection: Some(connection),
        };
        match decision {
            (Checkout::Reuse(id), Some(connection)) => return Ok(guard(id, connection)),
            (Checkout::Reuse(_), None) => {}
            (Checkout::Wait(pause), _) => {
                if Instant::now() + pause >= deadline {
                    return Err(failure(ErrorKind::Overloaded));
                }
                tokio::time::sleep(pause).await;
            }
            (Checkout::Open, _) => {
                let opening = Opening { databases, database, server, completed: false };
                let opened = ServerConnection::open(&configured.address, OPEN_TIMEOUT).await;
                let connection = opened.map_err(|_| failure(ErrorKind::NoPrimary))?;
                return Ok(guard(opening.complete(), connection));
            }
        }
    }
}

/// Opens one connection in advance if the pool has fewer than `warm` idle ones.
pub async fn warm_up(
    databases: Arc<Databases>,
    database: DatabaseId,
    server: TargetId,
    warm: usize,
) {
    let wanted = databases.with_database(&database, |state| {
        let pool = state.pools.get_mut(&server)?;
        Some(pool.wants_warm(Instant::now(), warm))
    });
    if wanted.flatten() != Some(true) {
        return;
    }
    let Some(configured) = databases.server(&server) else {
        return;
    };
    let opening =
        Opening { databases: &databases, database: &database, server: &server, completed: false };
    let Ok(connection) = ServerConnection::open(&configured.address, OPEN_TIMEOUT).await else {
        return;
    };
    let id = opening.complete();
    drop(ConnectionGuard {
        databases: databases.clone(),
        database: database.clone(),
        server: server.clone(),
        id,
        connection: Some(connection),
    });
}

/// Closes connections that have been idle for long, except for `warm` of them.
pub fn close_expired(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    warm: usize,
) {
    let Some(configured) = databases.server(server) else {
        return;
    };
    databases.with_database(database, |state| {
        let Some(pool) = state.pools.get_mut(server) else {
            return;
        };
        for id in pool.expire(Instant::now(), warm) {
            configured.connections.idle.lock().expect("never poisoned").remove(&id);
            pool.closed();
        }
    });
}

/// Closes all idle connections to a server, because it may have failed.
pub fn close_idle(databases: &Arc<Databases>, database: &DatabaseId, server: &TargetId) {
    let Some(configured) = databases.server(server) else {
        return;
    };
    databases.with_database(database, |state| {
        let Some(pool) = state.pools.get_mut(server) else {
            return;
        };
        for id in pool.drain_idle() {
            configured.connections.idle.lock().expect("never poisoned").remove(&id);
            pool.closed();
        }
    });
}
