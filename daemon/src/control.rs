//! The control loop of an instance: sends clock ticks to its state machines and
//! performs the actions that they return, such as probing, fencing and
//! promoting database servers, heartbeats and handovers.
//!
//! Fencing makes a server refuse all lower terms. A handover passes a database
//! to another instance without interrupting requests in progress.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::instance::Gate;
use chervilwharf_lib::instance::InstanceAction;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::membership::HeartbeatBody;
use chervilwharf_lib::membership::PeerInfo;
use chervilwharf_lib::ownership_types::LossReason;
use chervilwharf_lib::ownership_types::OwnershipAction;
use chervilwharf_lib::ownership_types::OwnershipEvent;
use chervilwharf_lib::protos::Handover;
use chervilwharf_lib::protos::frame::Body;
use log::info;
use log::warn;
use tokio::sync::mpsc;

use crate::checkout;
use crate::context::Shared;
use crate::link;
use crate::metrics::CauseLabels;
use crate::platform_sync;
use crate::serving::Serving;
use crate::write;

/// Interval of the clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the maintenance of connection pools and slot queues, in ticks.
const MAINTENANCE_TICKS: u64 = 2;

/// Interval at which old floors, connections and ledger rows are removed, in
/// ticks.
const CLEAN_UP_TICKS: u64 = 500;

/// Number of connections to the primary that are kept open in advance.
const WARM_PRIMARY_CONNECTIONS: usize = 4;

/// Number of connections to each replica that are kept open in advance.
const WARM_REPLICA_CONNECTIONS: usize = 3;

/// Interval between openings of connections to one server before a handover.
/// It is longer than the interval at which a pool permits openings.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(6);

/// Longest wait for open transactions to end before a handover is postponed.
const TRANSACTION_GRACE: Duration = Duration::from_secs(12);

/// Longest wait for requests in progress to end once no new ones start.
const WORK_GRACE: Duration = Duration::from_secs(5);

/// Longest wait for the answer to a handover offer.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next handover attempt when the other instance did not
/// prepare for this one.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay before another attempt to create the ledger.
const LEDGER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Start times of the takeovers in progress, to measure how long each takes.
type TakeStarts = Mutex<HashMap<DatabaseId, Instant>>;

/// Runs the control loop for as long as the instance runs.
pub async fn run(context: Shared, mut actions: mpsc::UnboundedReceiver<InstanceAction>) {
    let starts: std::sync::Arc<TakeStarts> = std::sync::Arc::default();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                context.databases.handle(InstanceEvent::Tick);
                count += 1;
                if count % MAINTENANCE_TICKS == 0 {
                    maintain(&context);
                }
                if count % CLEAN_UP_TICKS == 0 {
                    clean_up(&context);
                }
            }
            action = actions.recv() => match action {
                Some(action) => perform(&context, action, &starts),
                None => return,
            }
        }
    }
}

fn maintain(context: &Shared) {
    context.transactions.expire(Instant::now());
    let owned = context.databases.instance.owned();
    context.metrics.owned.set(i64::try_from(owned.len()).unwrap_or(i64::MAX));
    for (database, _) in owned {
        checkout::maintain(&context.databases, &database);
        let view = context.databases.with_database(&database, |state| {
            let primary = state.ownership.serving().map(|(_, primary)| primary);
            let now = Instant::now();
            let position = primary.as_ref().and_then(|id| state.ownership.server_state(id));
            if let Some(received) = position.map(|state| state.received) {
                state.floors.sample(now, received);
            }
            let ids: Vec<_> = state.ownership.servers().map(|server| server.id.clone()).collect();
            let usable: Vec<_> =
                ids.into_iter().filter(|id| state.ownership.is_usable(id)).collect();
            (primary, usable)
        });
        let Some((Some(primary), servers)) = view else {
            continue;
        };
        for server in servers {
            let warm =
                if server == primary { WARM_PRIMARY_CONNECTIONS } else { WARM_REPLICA_CONNECTIONS };
            tokio::spawn(checkout::warm_up(
                context.databases.clone(),
                database.clone(),
                server,
                warm,
            ));
        }
    }
}

/// Removes read floors that every server has applied, idle connections beyond those
/// kept in advance, and ledger rows past their retention.
fn clean_up(context: &Shared) {
    for (database, term) in context.databases.instance.owned() {
        let view = context.databases.with_database(&database, |state| {
            let everywhere = state.ownership.applied_everywhere();
            state.floors.remove_below(everywhere, term);
            let servers: Vec<_> = state.ownership.servers().map(|s| s.id.clone()).collect();
            let primary = state.ownership.serving().map(|(_, primary)| primary);
            primary.map(|primary| (primary, servers))
        });
        let Some((primary, servers)) = view.flatten() else {
            continue;
        };
        for server in servers {
            checkout::close_expired(
                &context.databases,
                &database,
                &server,
                WARM_PRIMARY_CONNECTIONS,
            );
        }
        let context = context.clone();
        tokio::spawn(async move {
            let serving = Serving { term, primary };
            let deadline = Instant::now() + WORK_GRACE;
            // The next clean-up tries again. Ledger rows that are kept longer
            // do no harm.
            let _ = write::expire_ledger(&context, &database, &serving, deadline).await;
        });
    }
}

fn perform(context: &Shared, action: InstanceAction, starts: &std::sync::Arc<TakeStarts>) {
    match action {
        InstanceAction::Ownership { database, action } => {
            perform_ownership(context, database, action, starts);
        }
        InstanceAction::SendHeartbeat { peer, sequence, body } => {
            tokio::spawn(send_heartbeat(context.clone(), peer, sequence, body));
        }
        InstanceAction::HandOver { database, term, to } => {
            tokio::spawn(hand_over(context.clone(), database, term, to));
        }
        InstanceAction::DrainPrimary { database } => {
            tokio::spawn(drain_primary(context.clone(), database));
        }
        InstanceAction::PublishOwner { database, record } => {
            tokio::spawn(platform_sync::publish_owner(context.clone(), database, record));
        }
        InstanceAction::PullConfiguration { peer, version } => {
            tokio::spawn(platform_sync::pull_from_peer(context.clone(), peer, version));
        }
    }
}

fn perform_ownership(
    context: &Shared,
    database: DatabaseId,
    action: OwnershipAction,
    starts: &std::sync::Arc<TakeStarts>,
) {
    match action {
        OwnershipAction::Fence { server, term } => {
            let now = Instant::now();
            starts.lock().expect("never poisoned").entry(database.clone()).or_insert(now);
            tokio::spawn(fence(context.clone(), database, server, term));
        }
        OwnershipAction::Promote { server, term } => {
            tokio::spawn(promote(context.clone(), database, server, term));
        }
        OwnershipAction::Follow { server, term, primary } => {
            tokio::spawn(follow(context.clone(), server, term, primary));
        }
        OwnershipAction::Probe { server, sequence } => {
            tokio::spawn(probe(context.clone(), database, server, sequence));
        }
        OwnershipAction::Serve { term, primary, first, cause, .. } => {
            let start = starts.lock().expect("never poisoned").remove(&database);
            let took = start.map_or(Duration::ZERO, |start| start.elapsed());
            context.metrics.take_duration.observe(took.as_secs_f64());
            let labels = CauseLabels { cause: format!("{cause:?}") };
            context.metrics.takes.get_or_create(&labels).inc();
            info!(
                "serving database={database} term={term} primary={primary} first={first} \
                 cause={cause:?} took_ms={}",
                took.as_millis()
            );
            context.databases.set_served_term(&database, term);
            tokio::spawn(prepare_database(context.clone(), database, term, primary));
        }
        OwnershipAction::Pause { cause } => {
            let now = Instant::now();
            starts.lock().expect("never poisoned").insert(database.clone(), now);
            context.databases.set_served_term(&database, 0);
            warn!("replacing primary database={database} cause={cause:?}");
        }
        OwnershipAction::Lost { term, reason } => {
            starts.lock().expect("never poisoned").remove(&database);
            let labels = CauseLabels { cause: format!("{reason:?}") };
            context.metrics.losses.get_or_create(&labels).inc();
            match reason {
                LossReason::Released => info!("released database={database} term={term}"),
                _ => warn!("lost database={database} term={term} reason={reason:?}"),
            }
            context.databases.set_served_term(&database, 0);
        }
    }
}

async fn fence(context: Shared, database: DatabaseId, server: TargetId, term: Term) {
    let Some(configured) = context.databases.server(&server) else {
        return;
    };
    let result = configured.control.fence(term, context.databases.instance.holder()).await;
    let event = OwnershipEvent::Fenced { server, term, result };
    context.databases.handle_ownership(&database, event);
}

async fn promote(context: Shared, database: DatabaseId, server: TargetId, term: Term) {
    let Some(configured) = context.databases.server(&server) else {
        return;
    };
    let result = configured.control.promote(term, context.databases.instance.holder()).await;
    let event = OwnershipEvent::Promoted { server, term, result };
    context.databases.handle_ownership(&database, event);
}

async fn follow(context: Shared, server: TargetId, term: Term, primary: TargetId) {
    let (Some(configured), Some(upstream)) =
        (context.databases.server(&server), context.databases.server(&primary))
    else {
        return;
    };
    let address = upstream.replication_address.clone();
    // After the next probe the ownership state machine repeats a failed call.
    let _ = configured
        .control
        .follow(term, context.databases.instance.holder(), &primary, &address)
        .await;
}

async fn probe(context: Shared, database: DatabaseId, server: TargetId, sequence: u64) {
    let Some(configured) = context.databases.server(&server) else {
        return;
    };
    let state = configured.control.state().await.ok();
    let event = OwnershipEvent::Probed { server, sequence, state };
    context.databases.handle_ownership(&database, event);
}

/// Opens the control connections and some connections for statements to every
/// server of a database, before this instance takes it over.
pub async fn prepare_connections(context: &Shared, database: &DatabaseId) {
    let servers = context.databases.with_database(database, |state| {
        state.ownership.servers().map(|server| server.id.clone()).collect::<Vec<_>>()
    });
    let mut openings = tokio::task::JoinSet::new();
    for server in servers.unwrap_or_default() {
        if let Some(configured) = context.databases.server(&server) {
            let other = configured.clone();
            openings.spawn(async move { configured.control.state().await.is_ok() });
            openings.spawn(async move { other.confirm.state().await.is_ok() });
        }
        for number in 0..WARM_PRIMARY_CONNECTIONS {
            let (context, database, server) = (context.clone(), database.clone(), server.clone());
            // Started one after the other, since the pool skips an opening that
            // follows the previous one too closely.
            let delay = WARM_UP_INTERVAL * u32::try_from(number).unwrap_or(0);
            openings.spawn(async move {
                tokio::time::sleep(delay).await;
                checkout::warm_up(
                    context.databases.clone(),
                    database,
                    server,
                    WARM_PRIMARY_CONNECTIONS,
                )
                .await;
                true
            });
        }
    }
    while openings.join_next().await.is_some() {}
}

/// Closes idle connections to the servers other than the new primary, since the
/// replaced primary may be unresponsive, and creates the ledger if it is missing.
async fn prepare_database(context: Shared, database: DatabaseId, term: Term, primary: TargetId) {
    let others = context.databases.with_database(&database, |state| {
        let ids = state.ownership.servers().map(|server| server.id.clone());
        ids.filter(|id| *id != primary).collect::<Vec<_>>()
    });
    for server in others.unwrap_or_default() {
        checkout::close_idle(&context.databases, &database, &server);
    }
    create_missing_ledger(&context, &database, term, primary).await;
}

/// Creates the ledger unless it is known to exist. Retries for as long as this
/// instance serves the database in `term`.
async fn create_missing_ledger(
    context: &Shared,
    database: &DatabaseId,
    term: Term,
    primary: TargetId,
) {
    let serving = Serving { term, primary };
    loop {
        let missing = context.databases.with_database(database, |state| {
            let serves = state.ownership.serving().is_some_and(|(own, _)| own == term);
            serves && !state.ledger_ready
        });
        if missing != Some(true) {
            return;
        }
        let deadline = Instant::now() + WORK_GRACE;
        match write::create_ledger(context, database, &serving, deadline).await {
            Ok(()) => {
                context.databases.with_database(database, |state| state.ledger_ready = true);
                context.databases.changed.notify_waiters();
            }
            Err(failure) => {
                warn!("ledger not created database={database}: {}", failure.message);
                tokio::time::sleep(LEDGER_RETRY_DELAY).await;
            }
        }
    }
}

async fn send_heartbeat(context: Shared, peer: PeerInfo, sequence: u64, body: HeartbeatBody) {
    let heartbeat = Body::Heartbeat(link::heartbeat_to_wire(&body, sequence));
    let timeout = Duration::from_secs(2);
    let answer = context.links.call(&peer.id, heartbeat, timeout).await;
    let event = match answer {
        Ok(Body::HeartbeatReply(reply)) => {
            let body = link::heartbeat_from_wire(&reply);
            InstanceEvent::HeartbeatAnswered { sequence, body }
        }
        _ => InstanceEvent::HeartbeatFailed { peer: peer.id.clone(), sequence },
    };
    context.databases.handle(event);
}

/// Waits at most `limit` until `done` returns true. Returns whether it did.
async fn wait_until(context: &Shared, limit: Duration, done: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    loop {
        let changed = context.databases.changed.notified();
        if done() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        let _ = tokio::time::timeout(Duration::from_millis(5), changed).await;
    }
}

/// Waits until the transactions and requests in progress on a database have
/// ended, and lets no new ones start.
///
/// Returns whether all of them ended in time. If not, the database accepts new
/// work again.
async fn quiesce(context: &Shared, database: &DatabaseId) -> bool {
    let no_transactions = wait_until(context, TRANSACTION_GRACE, || {
        context.databases.with_database(database, |state| state.open_transactions == 0)
            != Some(false)
    });
    if !no_transactions.await {
        context.databases.with_database(database, |state| state.gate = Gate::Open);
        return false;
    }
    context.databases.with_database(database, |state| state.gate = Gate::Closed);
    let ended = wait_until(context, WORK_GRACE, || {
        context.databases.with_database(database, |state| state.in_progress == 0) != Some(false)
    });
    if !ended.await {
        context.databases.with_database(database, |state| state.gate = Gate::Open);
        return false;
    }
    true
}

async fn send_handover(context: &Shared, to: &InstanceId, offer: Handover) -> bool {
    let answer = context.links.call(to, Body::Handover(offer), HANDOVER_TIMEOUT).await;
    matches!(answer, Ok(Body::HandoverReply(reply)) if reply.accepted)
}

async fn hand_over(context: Shared, database: DatabaseId, term: Term, to: InstanceId) {
    let offer = Handover {
        database: database.to_string(),
        term,
        owner: context.settings.instance.to_string(),
        prepare: false,
    };
    // The other instance opens its connections while this one still serves the
    // database: opening them is the longest part of a handover.
    let prepared = Handover { prepare: true, ..offer.clone() };
    let ready = send_handover(&context, &to, prepared).await;
    let quiesced = ready && quiesce(&context, &database).await;
    let accepted = quiesced && send_handover(&context, &to, offer).await;
    if !ready {
        tokio::time::sleep(HANDOVER_RETRY_DELAY).await;
    }
    info!("handover database={database} to={to} accepted={accepted}");
    let event = InstanceEvent::HandoverEnded { database, accepted };
    context.databases.handle(event);
    context.databases.changed.notify_waiters();
}

/// Replaces a primary that is planned to leave, without losing or refusing a
/// write: new writes wait until a replica has received the last log entry.
async fn drain_primary(context: Shared, database: DatabaseId) {
    if quiesce(&context, &database).await {
        // A replica that has the last log entry can be promoted without loss.
        let last = context.databases.with_database(&database, |state| {
            let (_, primary) = state.ownership.serving()?;
            state.ownership.server_state(&primary).map(|state| state.received)
        });
        if let Some(last) = last.flatten() {
            let deadline = Instant::now() + WORK_GRACE;
            let waiting = context.confirmations.wait(&context.databases, &database, last, deadline);
            if waiting.await.is_err() {
                info!("leaving primary not drained database={database} position={last}");
            }
        }
        let actions = context.databases.instance.primary_drained(Instant::now(), &database);
        context.databases.queue(actions);
    }
    context.databases.changed.notify_waiters();
}
