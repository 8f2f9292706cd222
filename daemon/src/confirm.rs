//! Waits until a replica has received a write.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::position::Position;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;

use crate::context::Context;
use crate::context::Shared;

/// Waiters of one database. They share one position probe.
#[derive(Default)]
pub struct ConfirmHub {
    waiting: AtomicUsize,
    advanced: Notify,
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

/// Waits until what was committed at `position` survives the loss of the
/// primary. Holds neither a slot nor a connection.
///
/// # Errors
///
/// When the deadline passes or the term ends first.
pub async fn wait_confirmed(
    context: &Shared,
    database: &DatabaseId,
    position: Position,
    deadline: Instant,
) -> Result<(), NotConfirmed> {
    let hub = context.confirm_hub(database);
    if is_confirmed(context, database, position)? {
        return Ok(());
    }
    let first = hub.waiting.fetch_add(1, Ordering::SeqCst) == 0;
    let _waiting = Waiting(&hub);
    if first {
        tokio::spawn(probe_replicas(context.clone(), database.clone(), hub.clone()));
    }
    loop {
        let advanced = hub.advanced.notified();
        if is_confirmed(context, database, position)? {
            return Ok(());
        }
        if tokio::time::timeout_at(deadline.into(), advanced).await.is_err() {
            return Err(NotConfirmed::Late);
        }
    }
}

fn is_confirmed(
    context: &Context,
    database: &DatabaseId,
    position: Position,
) -> Result<bool, NotConfirmed> {
    let confirmed = context.with_database(database, |state| {
        let (term, _) = state.ownership.serving()?;
        (term == position.term).then(|| state.ownership.confirmed() >= position)
    });
    confirmed.flatten().ok_or(NotConfirmed::TermOver)
}

/// Asks the replicas for their position again and again while anyone waits.
async fn probe_replicas(context: Shared, database: DatabaseId, hub: Arc<ConfirmHub>) {
    while hub.waiting.load(Ordering::SeqCst) > 0 {
        let advanced = probe_once(&context, &database).await;
        hub.advanced.notify_waiters();
        if !advanced {
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

/// Asks all replicas and takes the first answer. Returns whether it brought
/// a later position.
async fn probe_once(context: &Shared, database: &DatabaseId) -> bool {
    let view = context.with_database(database, |state| {
        let (term, primary) = state.ownership.serving()?;
        let others = state.ownership.servers().filter(|server| server.id != primary);
        let replicas: Vec<_> = others.map(|server| server.id.clone()).collect();
        Some((term, replicas, state.ownership.confirmed()))
    });
    let Some((term, replicas, before)) = view.flatten() else {
        return false;
    };
    let mut answers = FuturesUnordered::new();
    for id in replicas {
        let Some(server) = context.server(&id) else {
            continue;
        };
        answers.push(async move { (id, server.confirm.state().await) });
    }
    while let Some((id, answer)) = answers.next().await {
        let Ok(state) = answer else {
            continue;
        };
        let advanced = context.with_database(database, |database| {
            if state.term == term {
                database.ownership.received(&id, term, state.received);
            }
            database.ownership.confirmed() > before
        });
        if advanced == Some(true) {
            return true;
        }
    }
    false
}
