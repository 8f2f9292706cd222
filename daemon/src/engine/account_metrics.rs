//! Counters by client account.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::AccountId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Accounts that have counters of their own. Those that come later share one, so that
/// the number of accounts does not decide how large an answer with metrics is.
const MAX_NAMED_ACCOUNTS: usize = 256;

/// Stands for the accounts without counters of their own.
const OTHER_ACCOUNTS: &str = "other";

/// Labels of statements by account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AccountLabels {
    /// The account.
    pub account: String,
    /// `ok` or the name of the error kind.
    pub outcome: &'static str,
}

/// Statements by account and outcome.
#[derive(Clone, Debug, Default)]
pub struct AccountMetrics {
    /// The counters.
    pub statements: Family<AccountLabels, Counter>,
    named: Arc<Mutex<HashSet<AccountId>>>,
}

impl AccountMetrics {
    /// A statement of an account ended.
    pub fn ended(&self, account: &AccountId, failure: Option<ErrorKind>) {
        let outcome = failure.map_or("ok", ErrorKind::name);
        let account = if self.is_named(account) { account } else { OTHER_ACCOUNTS };
        let labels = AccountLabels { account: account.to_owned(), outcome };
        self.statements.get_or_create(&labels).inc();
    }

    fn is_named(&self, account: &AccountId) -> bool {
        let mut named = self.named.lock().expect("never poisoned");
        named.contains(account)
            || (named.len() < MAX_NAMED_ACCOUNTS && named.insert(account.clone()))
    }
}
