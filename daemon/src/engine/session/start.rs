//! The beginning of a session: whether its client and database are known here.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;

use crate::engine::caller::Caller;
use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::request::Failure;
use crate::engine::session::Session;
use crate::engine::session::SessionStart;
use crate::engine::session::operation::SessionOperation;
use crate::engine::shared::Engine;

fn report_refused(engine: &Engine, start: &SessionStart<'_>, kind: ErrorKind) {
    let version = engine.catalog().version;
    let event = Event::new(EventKind::SessionRefused).with("database", start.database);
    let event = event.with("reason", kind.name()).with("configuration", version);
    // There is no request id yet. The client's address and the time identify the request.
    let event = event.with_some("client", start.client);
    let age = engine.metrics().store.answer_age();
    event_log::emit(&event.with_some_ms("store_answered_ms", age));
}

/// Exclusive upper limit of the random number of a session: the number of moments over which
/// a planned stop spreads the closing of sessions.
const RANDOM_NUMBER_LIMIT: u32 = 1000;

/// How long a new session waits until this instance has its first configuration and
/// list of instances. An instance usually has both some 30 ms after its start. If it
/// takes longer, the store is down, and another instance may already have them.
const FIRST_RECORDS_LIMIT: Duration = Duration::from_millis(300);

impl Session {
    /// Begins a session on a database name.
    ///
    /// An instance that has just started has no configuration yet and waits for it
    /// instead of reporting an unknown database. Clients do not retry after that
    /// error: after a restart of all instances, the first clients never connected.
    ///
    /// # Errors
    ///
    /// When the configuration has no such database or no account with this key, or when
    /// this instance has no configuration in time.
    pub async fn begin(engine: Arc<Engine>, start: SessionStart<'_>) -> Result<Self, Failure> {
        let arrived_at = now();
        match Self::check_start(&engine, &start).await {
            Ok((route, caller)) => {
                let random_number = rand::random_range(0..RANDOM_NUMBER_LIMIT);
                let mut session = Self::new(engine, &route, caller, random_number);
                if let Some(accepted_at) = start.accepted_at {
                    session.operation = SessionOperation::new(accepted_at, arrived_at);
                }
                Ok(session)
            }
            Err(kind) => {
                report_refused(&engine, &start, kind);
                Err(Failure::new(kind))
            }
        }
    }

    async fn check_start(
        engine: &Arc<Engine>,
        start: &SessionStart<'_>,
    ) -> Result<(Arc<Route>, Caller), ErrorKind> {
        if !engine.wait_until_prepared(FIRST_RECORDS_LIMIT).await {
            return Err(ErrorKind::NotConfigured);
        }
        let route = engine.route(start.database).ok_or(ErrorKind::UnknownDatabase)?;
        let caller = engine.caller(&route, start.key).await?;
        Ok((route, caller))
    }
}
