//! The account that a session's statements run for: its key, and its quota.

use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::error_kind::Outcome;

use crate::engine::request::Failure;
use crate::engine::session::Session;
use crate::engine::workload::Caller;

/// How long an operation waits to be counted where nobody counts yet: a few rounds of
/// votes after all instances were killed.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(500);

impl Session {
    /// Whether the configuration in force still has the client's key. One that was
    /// taken away is served no more on sessions that stand open, and its transaction
    /// is rolled back.
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

    /// Counts an operation that begins with the present statement.
    pub(super) async fn count_operation(&mut self, time_left: Duration) -> Result<(), Failure> {
        let max_wait = time_left.min(KEEPER_TIMEOUT);
        if let Some(transaction) = &mut self.transaction {
            if transaction.is_counted {
                return Ok(());
            }
        }
        let Some(account) = self.caller.account.clone() else {
            return Ok(());
        };
        let counted = self.engine.admit_operation(&account, max_wait).await;
        if let Some(transaction) = &mut self.transaction {
            transaction.is_counted = counted.is_ok();
            if counted.is_err() {
                transaction.fail();
            }
        }
        counted
    }

    /// A single statement that was counted failed: where it has not run, its account
    /// may begin another one.
    pub(super) fn refund_operation(&self, failure: &Failure) {
        let rule = failure.kind.rule();
        if let (Some(account), Outcome::NotRun, true) =
            (&self.caller.account, rule.outcome, rule.burns_budget)
        {
            self.engine.refund_operation(account);
        }
    }
}
