//! Asks servers for their state: by a probe on a new connection, or by a sample on a
//! connection of the pool.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::server_connection::ConnectError;
use crate::engine::shard::Shard;
use crate::engine::waiting::ConnectionRequest;

/// Shortest time limit for opening a connection and an answer on it: a few times what a
/// loaded server takes, where the request for its state occupies a slot like any statement.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The time limit of a probe in multiples of the server's usual read time, so that a loaded
/// server with a queue does not count as failed.
const QUEUE_FACTOR: u32 = 4;

/// Longest time limit of a probe.
const LONGEST_PROBE_TIMEOUT: Duration = Duration::from_millis(800);

fn probe_timeout(shard: &Shard, id: &str) -> Duration {
    let usual_time = shard.with_group(|group| group.read_time(id));
    (usual_time * QUEUE_FACTOR).clamp(PROBE_TIMEOUT, LONGEST_PROBE_TIMEOUT)
}

/// Priority of samples among the requests that wait for a connection: the lowest.
const SAMPLE_PRIORITY: u8 = u8::MAX;

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probed {
    /// The server reported its state.
    Status(ServerStatus),
    /// The server runs, but is too busy to report its state.
    Busy,
    /// The server does not answer.
    Failed,
}

/// Asks a server for its state on a new connection, since an existing one may be broken
/// while the server works.
pub async fn probe(shard: &Arc<Shard>, id: &TargetId) -> Probed {
    let Some(info) = shard.with_group(|group| group.server(id).map(|view| view.info.clone()))
    else {
        return Probed::Failed;
    };
    let asked_at = now();
    let asking = async {
        let mut connection = match shard.connect(&info, None, None).await {
            Ok(connection) => connection,
            // The refusal shows that the server runs. When all instances lost power at
            // once, their earlier connections filled the servers for seconds, and healthy
            // primaries were about to be replaced.
            Err(ConnectError::Refused(refusal))
                if refusal.kind == RefusalKind::TooManyConnections =>
            {
                return Ok(Err(refusal));
            }
            Err(error) => return Err(error.to_string()),
        };
        match connection.status().await {
            Ok(answer) => Ok(answer),
            Err(error) => match error.reply_fault() {
                // The server runs, and its answer is not certain.
                Some(fault) => {
                    shard.record_wrong_reply(id, fault, None);
                    let text = error.to_string().into();
                    Ok(Err(ServerRefusal { kind: RefusalKind::Unknown, text }))
                }
                None => Err(error.to_string()),
            },
        }
    };
    let result = match tokio::time::timeout(probe_timeout(shard, id), asking).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".to_owned()),
    };
    match result {
        Ok(Ok(status)) => {
            shard.observe_status(asked_at, id, status);
            Probed::Status(status)
        }
        Ok(Err(_)) => {
            shard.with_group(|group| group.observe_answer(now(), id, None));
            Probed::Busy
        }
        // Under load a new connection can wait for a slot for longer than the time limit.
        // Counted as a failure, that could replace a primary that serves requests.
        Err(_) if shard.with_group(|group| group.has_answered_since(id, asked_at)) => Probed::Busy,
        Err(error) => {
            // Requests to a server with a detour go through another instance, which may
            // reach the server.
            if !shard.has_detour(id) {
                shard.with_group(|group| group.observe_failure(now(), id));
            }
            report_failure(shard, id, &error);
            Probed::Failed
        }
    }
}

/// Asks a server for its state on a connection of the pool. If no connection becomes free
/// in time, this logs it and has no other effect.
pub async fn sample(shard: &Arc<Shard>, id: &TargetId) {
    let values = SessionValues::new();
    let asked_at = now();
    let connection_request = ConnectionRequest {
        owner: ConnectionOwner::AnyAccount,
        flow: Flow::default(),
        need: Need::Server(id.clone()),
        priority: SAMPLE_PRIORITY,
        give_up_at: asked_at + PROBE_TIMEOUT,
        in_time_until: asked_at + PROBE_TIMEOUT,
        values: &values,
        prepared: None,
    };
    let mut lease = match shard.acquire(&connection_request).await {
        Ok(lease) => lease,
        Err(failure) => {
            report_failure(shard, id, &failure.text);
            return;
        }
    };
    let asked_at = now();
    let asking = lease.status();
    match tokio::time::timeout(probe_timeout(shard, id), asking).await {
        Ok(Ok(answer)) => {
            lease.connection().record_all_answered();
            lease.give_back();
            if let Ok(status) = answer {
                shard.observe_status(asked_at, id, status);
            }
        }
        Ok(Err(error)) => {
            report_failure(shard, id, &error.to_string());
            if error.reply_fault().is_none() {
                shard.with_group(|group| group.observe_failure(now(), id));
            }
        }
        Err(_) => {
            report_failure(shard, id, "no answer in time");
            shard.close_stale(id, asked_at);
            shard.with_group(|group| group.observe_failure(now(), id));
        }
    }
}

fn report_failure(shard: &Shard, id: &TargetId, reason: &str) {
    let event = Event::new(EventKind::ProbeFailed).with("group", shard.id());
    event_log::emit(&event.with("server", id).with("reason", reason));
}

impl Shard {
    /// Applies the state that a server reported in its answer to a request of `asked_at`.
    pub fn observe_status(self: &Arc<Self>, asked_at: Moment, id: &TargetId, status: ServerStatus) {
        let changed = self.with_group(|group| group.observe_status(asked_at, now(), id, status));
        if changed && status.leads {
            let event = Event::new(EventKind::LeaderFound).with("group", self.id());
            let event = event.with("server", id).with("term", status.term);
            event_log::emit(&event.with("received", status.received).with("source", "server"));
        }
        if changed {
            self.assign_connections();
        }
    }
}
