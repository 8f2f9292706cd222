//! Sessions for statements that other instances forward: each statement brings the state of the
//! client's session at the sender.

use std::sync::Arc;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::session_floors::SessionFloors;

use crate::engine::caller::Caller;
use crate::engine::session::Session;
use crate::engine::shared::Engine;
use crate::engine::trace::StatementTrace;
use crate::engine::transaction::Transaction;

impl Session {
    /// Creates a session for statements that another instance forwards.
    #[must_use]
    pub fn forwarded_session(engine: Arc<Engine>, route: &Route, caller: Caller) -> Self {
        let affinity = Affinity::Session(0);
        Self { is_forwarded: true, affinity, ..Self::new(engine, route, caller, 0) }
    }

    /// Prepares a forwarded session for its next statement, which may belong to another
    /// client, database or group than the one before.
    pub fn use_route(&mut self, id: &RequestId, route: &Route, caller: Caller) {
        self.caller = caller;
        if self.open_guard.is_none() {
            self.open_guard = Some(self.engine.count_session());
        }
        if *self.shard.id() != route.group {
            self.shard = self.engine.shard(&route.group);
        }
        let database = route.database.clone();
        let account = self.caller.account.clone();
        self.trace =
            StatementTrace { id: id.clone(), database, account, ..StatementTrace::default() };
    }

    /// Stops counting the session as open, so that a planned stop does not wait for it.
    /// The next forwarded statement counts it again.
    pub fn stop_counting(&mut self) {
        self.open_guard = None;
    }

    /// Sets the values of the client's session, which the forwarding instance sent.
    pub fn set_values(&mut self, values: SessionValues) {
        self.values = values;
    }

    /// Sets the own commits of the client's session in the group of its statement.
    pub fn set_own_commits(&mut self, own: OwnCommits) {
        self.floors = SessionFloors::default();
        self.floors.adopt(self.shard.id(), own);
    }

    /// Begins a transaction for the forwarding instance.
    pub fn begin_forwarded(&mut self, route: &Arc<Route>, read_only: bool) {
        self.transaction = Some(Transaction::new(route.clone(), read_only));
    }

    /// Rolls back the open transaction, if there is one.
    pub fn drop_transaction(&mut self) {
        self.transaction = None;
    }
}
