//! What is counted and logged about the statements of a session.

use std::time::Duration;

use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Statement;

use crate::engine::request::Failure;
use crate::engine::session::Session;

impl Session {
    /// The kind of a statement, as a metric label.
    pub(super) fn kind_of(&self, statement: &Statement) -> &'static str {
        match statement {
            Statement::Read { .. } => "read",
            Statement::Write { .. } => "write",
            Statement::Commit => "commit",
            Statement::Execute { name, .. } => match self.prepared.get(name) {
                Some(prepared) if prepared.access == Access::Write => "write",
                _ => "read",
            },
            _ => "session",
        }
    }

    /// The role of the server or instance that the last attempt of the current statement
    /// was sent to, as a metric label.
    fn role_of_server(&self) -> &'static str {
        let server = self.trace.server.as_deref().unwrap_or_default();
        self.shard.with_group(|group| match group.server(server) {
            Some(view) if group.leads(&view.info.id) => "primary",
            Some(_) => "replica",
            None => "holder",
        })
    }

    pub(super) fn report(&self, kind: &'static str, failure: Option<&Failure>, took: Duration) {
        let group = self.shard.id();
        let metrics = self.engine.metrics();
        metrics.record_statement(group, kind, failure.map(|failure| failure.kind), took);
        if let Some(account) = &self.caller.account {
            metrics.accounts.record_statement(account, failure.map(|failure| failure.kind));
        }
        if let Some(failure) = failure {
            self.trace.log_failure(group, failure, took, self.shard.waiting());
            return;
        }
        if self.trace.tries == 0 {
            return;
        }
        metrics.record_times(group, self.role_of_server(), self.trace.waited, self.trace.at_server);
    }

    /// Counts and logs that an attempt of the current statement failed and another one
    /// follows.
    pub fn report_retry(&self, failure: &Failure) {
        self.engine.metrics().record_retry(failure.kind);
        self.trace.log_retry(self.shard.id(), failure);
    }
}
