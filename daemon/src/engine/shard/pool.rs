//! The pool of connections to one server.

use std::collections::HashMap;

use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::PoolView;

use crate::engine::lease::PooledConnection;

/// The pool of connections to one server.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) idle: Vec<PooledConnection>,
    pub(super) view: PoolView,
    /// Number of connections that are open or being opened, by account.
    pub(super) by_account: HashMap<Option<AccountId>, usize>,
    /// Whether the server has answered a read without rows on any of the connections.
    pub(super) reads_may_be_empty: bool,
    /// Number of connections that were granted to waiting requests.
    pub(super) granted_from_queue: usize,
}

impl Pool {
    /// Counts a connection that is being opened for an account.
    pub(super) fn opening(&mut self, account: Option<&AccountId>) {
        self.view.opening += 1;
        *self.by_account.entry(account.cloned()).or_default() += 1;
    }

    /// Stops counting a connection for its account: it was closed, or could not be opened.
    pub(super) fn remove_from_account(&mut self, account: Option<&AccountId>) {
        let account = account.cloned();
        if let Some(count) = self.by_account.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.by_account.remove(&account);
            }
        }
    }

    /// Takes out the idle connections on which the server has not answered since `since`.
    pub(super) fn take_stale(&mut self, since: Moment) -> Vec<PooledConnection> {
        let idle = std::mem::take(&mut self.idle).into_iter();
        let (fresh, stale) = idle.partition(|idle| idle.has_answered_since(since));
        self.idle = fresh;
        let stale: Vec<PooledConnection> = stale;
        for connection in &stale {
            self.closed(connection.account.as_ref());
        }
        stale
    }

    /// Stops counting an open connection that is closed.
    pub(super) fn closed(&mut self, account: Option<&AccountId>) {
        self.view.open = self.view.open.saturating_sub(1);
        self.remove_from_account(account);
    }
}
