//! Checks of the client account that a session's statements run for: whether its key
//! is still valid, and whether its quota admits another operation.

use std::time::Duration;

use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::error_kind::Outcome;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::ConfigVersion;

use crate::engine::caller::Caller;
use crate::engine::clock::now;
use crate::engine::near_homes::AbleServers;
use crate::engine::request::Failure;
use crate::engine::session::Session;
use crate::engine::transaction::Transaction;

/// The flow of an account in the order of service.
pub(super) struct KnownFlow {
    /// Version of the configuration that has the limit of the account.
    configuration_version: ConfigVersion,
    flow: Flow,
}

impl Session {
    /// Checks that the configuration in force still has the client's key. If the key was
    /// removed, open sessions are no longer served either, and their transactions are
    /// rolled back.
    pub(super) fn check_caller(&mut self, route: &Route) -> Result<(), Failure> {
        let checked = self.caller.check_again(&self.engine.catalog(), route);
        let same_account = |caller: &Caller| caller.account == self.caller.account;
        match checked {
            // A transaction's connection belongs to the account that began it.
            Ok(caller) if self.transaction.is_none() || same_account(&caller) => {
                self.caller = caller;
                Ok(())
            }
            Ok(_) | Err(_) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.fail();
                }
                Err(Failure::new(ErrorKind::UnknownKey))
            }
        }
    }

    /// Records what decides to which home of its account the next statement goes. In a
    /// transaction this stays the same, as does the connection.
    ///
    /// Whether an account is large also depends on the demand that this instance observes, so the
    /// decision is made anew for each statement, and kept for all attempts to run it.
    pub(super) fn prepare_affinity(&mut self, route: &Route, writes: bool) {
        if self.is_forwarded {
            return;
        }
        let Some(account) = &self.caller.account else {
            self.affinity = Affinity::Session(self.random_number);
            return;
        };
        let read_only = self.transaction.as_ref().map_or(!writes, Transaction::is_read_only);
        let needs_primary = !read_only || route.consistency == Consistency::Latest;
        let able = if needs_primary { AbleServers::Primary } else { AbleServers::Replicas };
        self.engine.observe_account(account);
        self.affinity = self.engine.account_affinity(self.shard.id(), account, able);
    }

    /// The flow of its client in the order of service. It is computed again when the
    /// configuration or the account has changed.
    pub(super) fn flow(&mut self) -> Flow {
        let catalog = self.engine.catalog();
        let account = self.caller.account.as_ref();
        let known = self.flow.as_ref().filter(|known| {
            known.configuration_version == catalog.version && known.flow.account() == account
        });
        if let Some(known) = known {
            return known.flow.clone();
        }
        let flow = self.caller.flow(&catalog);
        let configuration_version = catalog.version;
        self.flow = Some(KnownFlow { configuration_version, flow: flow.clone() });
        flow
    }

    /// Counts an operation against the account's quota. A transaction is one operation,
    /// counted at its first statement.
    pub(super) async fn count_operation(&mut self, time_left: Duration) -> Result<(), Failure> {
        if let Some(transaction) = &mut self.transaction {
            if transaction.is_counted {
                return Ok(());
            }
        }
        let Some(account) = self.caller.account.clone() else {
            return Ok(());
        };
        let asked_at = now();
        let counted = self.engine.admit_operation(&account, time_left).await;
        self.trace.parts.way += now().saturating_sub(asked_at);
        if let Some(transaction) = &mut self.transaction {
            transaction.is_counted = counted.is_ok();
            if counted.is_err() {
                transaction.fail();
            }
        }
        counted
    }

    /// Stops counting a single statement against its account's quota, if it failed
    /// without having run and the failure counts against the proxy's error budget.
    pub(super) fn refund_operation(&self, failure: &Failure) {
        let rule = failure.kind.rule();
        if let (Some(account), Outcome::NotRun, true) =
            (&self.caller.account, rule.outcome, rule.burns_budget)
        {
            self.engine.refund_operation(account);
        }
    }
}
