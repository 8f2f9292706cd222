//! Slots and connections of the servers, as guards.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::admission::Admission;
use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::admission::Ticket;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::pool::Checkout;
use chervilwharf_lib::protos::Failure;
use tokio::sync::oneshot;

use crate::answer::failure;
use crate::answer::failure_after;
use crate::connection_store::Turn;
use crate::databases::Databases;
use crate::postgres::ServerConnection;
use crate::postgres::Step;

/// The right to run one statement at a server. Gives it back when dropped.
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

/// Wakes those with a slot; the slot of one who has left goes to the next.
fn wake(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    granted: Vec<Ticket>,
) {
    let Some(known) = databases.server(server) else {
        return;
    };
    let mut gone = known.connections.grant(granted);
    while !gone.is_empty() {
        let next = databases.with_database(database, |state| {
            let slots = state.slots.get_mut(server)?;
            let now = Instant::now();
            let freed = gone.iter().flat_map(|_| slots.release(now, Duration::ZERO));
            Some(freed.collect::<Vec<_>>())
        });
        gone = known.connections.grant(next.flatten().unwrap_or_default());
    }
}

/// Refuses those who cannot make their deadline any more, and widens the
/// slots of a new primary. Called by the control loop.
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
        if let Some(known) = databases.server(&server) {
            known.connections.refuse(expired);
        }
        wake(databases, database, &server, granted);
    }
}

/// Waits for a slot at a server.
///
/// # Errors
///
/// Refused at once when the deadline cannot be made.
pub async fn acquire_slot(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    priority: Priority,
    deadline: Instant,
) -> Result<SlotGuard, Failure> {
    let known = databases.server(server).ok_or_else(|| failure(ErrorKind::NoPrimary))?;
    let (sender, receiver) = oneshot::channel();
    let (admission, displaced) = databases
        .with_database(database, |state| {
            let slots = state.slots.get_mut(server)?;
            let admission = slots.request(Instant::now(), priority, deadline);
            if let Admission::Queued(ticket) = admission {
                // Under the lock of the shard, so that the turn cannot come
                // before the waiter can be found.
                known.connections.waiting.lock().expect("never poisoned").insert(ticket, sender);
            }
            Some((admission, slots.displaced()))
        })
        .flatten()
        .ok_or_else(|| failure(ErrorKind::UnknownDatabase))?;
    known.connections.refuse(displaced);
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
                Ok(Turn::Granted) => Ok(guard(Instant::now())),
                Ok(Turn::Refused(retry_after)) => {
                    Err(failure_after(ErrorKind::Overloaded, retry_after))
                }
                Err(_) => Err(failure(ErrorKind::Overloaded)),
            }
        }
    }
}

/// Takes a slot for a statement of an open transaction, without waiting.
pub fn overdraw_slot(
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

/// One who waits for a slot. Leaves the queue when its request is dropped;
/// otherwise the slot would be granted to nobody and lost.
struct Waiter<'a> {
    databases: &'a Arc<Databases>,
    database: &'a DatabaseId,
    server: &'a TargetId,
    ticket: Ticket,
    receiver: oneshot::Receiver<Turn>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        // Closed first: a turn that is announced from now on fails and is
        // passed on by its sender, one announced before is found here. The
        // slot is released exactly once in either case.
        self.receiver.close();
        if matches!(self.receiver.try_recv(), Ok(Turn::Granted)) {
            release(self.databases, self.database, self.server, Duration::ZERO);
            return;
        }
        if let Some(known) = self.databases.server(self.server) {
            known.connections.waiting.lock().expect("never poisoned").remove(&self.ticket);
        }
        self.databases.with_database(self.database, |state| {
            state.slots.get_mut(self.server).is_some_and(|slots| slots.abandon(self.ticket))
        });
    }
}

/// Longest wait for the answer to a rollback.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(1);

/// A connection in use. Goes back to the pool when dropped, if it is whole.
pub struct ConnectionGuard {
    databases: Arc<Databases>,
    database: DatabaseId,
    server: TargetId,
    id: u64,
    connection: Option<ServerConnection>,
}

impl ConnectionGuard {
    /// The connection.
    ///
    /// # Panics
    ///
    /// Never: the connection is there until the guard is dropped.
    pub fn get(&mut self) -> &mut ServerConnection {
        self.connection.as_mut().expect("a guard holds its connection until it is dropped")
    }

    /// Ends a failed transaction in the background, so that the connection can
    /// be used again.
    pub fn end_transaction(mut self) {
        if !self.get().is_whole() {
            return;
        }
        tokio::spawn(async move {
            let rollback = [Step::own("ROLLBACK")];
            let run = self.get().run(&rollback);
            // A connection that does not answer in this time is closed instead.
            let _ = tokio::time::timeout(ROLLBACK_LIMIT, run).await;
        });
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connection = self.connection.take().filter(ServerConnection::is_reusable);
        let known = self.databases.server(&self.server);
        let id = self.id;
        self.databases.with_database(&self.database, |state| {
            let Some(pool) = state.pools.get_mut(&self.server) else {
                return;
            };
            match (connection, known) {
                // A connection whose answer did not arrive whole is closed:
                // what comes late on it must not reach the next request.
                (None, _) | (_, None) => pool.closed(),
                (Some(connection), Some(known)) => {
                    let mut idle = known.connections.idle.lock().expect("never poisoned");
                    idle.insert(id, connection);
                    pool.give_back(id, Instant::now());
                }
            }
        });
    }
}

/// An opening that was started; counts as failed unless it is completed.
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

/// Longest wait for a new connection to a server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Gets a connection to a server.
///
/// # Errors
///
/// When none can be had before the deadline, or the server cannot be reached.
pub async fn checkout(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    deadline: Instant,
) -> Result<ConnectionGuard, Failure> {
    let known = databases.server(server).ok_or_else(|| failure(ErrorKind::NoPrimary))?;
    loop {
        let decision = databases
            .with_database(database, |state| {
                let pool = state.pools.get_mut(server)?;
                let decision = pool.checkout(Instant::now());
                let connection = match decision {
                    Checkout::Reuse(id) => {
                        known.connections.idle.lock().expect("never poisoned").remove(&id)
                    }
                    _ => None,
                };
                if matches!(decision, Checkout::Reuse(_)) && connection.is_none() {
                    // The server's address changed and its store with it.
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
                let opened = ServerConnection::open(&known.address, OPEN_TIMEOUT).await;
                let connection = opened.map_err(|_| failure(ErrorKind::NoPrimary))?;
                return Ok(guard(opening.complete(), connection));
            }
        }
    }
}

/// Opens a connection ahead of need, if one is missing.
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
    let Some(known) = databases.server(&server) else {
        return;
    };
    let opening =
        Opening { databases: &databases, database: &database, server: &server, completed: false };
    let Ok(connection) = ServerConnection::open(&known.address, OPEN_TIMEOUT).await else {
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

/// Closes connections that nobody has used for a while, but for a few.
pub fn close_expired(
    databases: &Arc<Databases>,
    database: &DatabaseId,
    server: &TargetId,
    warm: usize,
) {
    let Some(known) = databases.server(server) else {
        return;
    };
    databases.with_database(database, |state| {
        let Some(pool) = state.pools.get_mut(server) else {
            return;
        };
        for id in pool.expire(Instant::now(), warm) {
            known.connections.idle.lock().expect("never poisoned").remove(&id);
            pool.closed();
        }
    });
}

/// Closes connections to a server that has failed or that nobody needs.
pub fn close_idle(databases: &Arc<Databases>, database: &DatabaseId, server: &TargetId) {
    let Some(known) = databases.server(server) else {
        return;
    };
    databases.with_database(database, |state| {
        let Some(pool) = state.pools.get_mut(server) else {
            return;
        };
        for id in pool.drain_idle() {
            known.connections.idle.lock().expect("never poisoned").remove(&id);
            pool.closed();
        }
    });
}
