//! The connections to one server.

use std::collections::HashMap;

use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::PoolView;

use crate::engine::lease::PooledConnection;

/// Connections to one server.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) idle: Vec<PooledConnection>,
    pub(super) share: PoolView,
    /// Open ones and those being opened, by account.
    pub(super) by_account: HashMap<Option<AccountId>, usize>,
}

impl Pool {
    /// A connection is being opened for an account.
    pub(super) fn opening(&mut self, account: Option<&AccountId>) {
        self.share.opening += 1;
        *self.by_account.entry(account.cloned()).or_default() += 1;
    }

    /// A connection is closed, or was not opened after all.
    pub(super) fn forget(&mut self, account: Option<&AccountId>) {
        let account = account.cloned();
        if let Some(count) = self.by_account.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.by_account.remove(&account);
            }
        }
    }

    /// Takes out idle connections on which the server has not answered since a moment.
    pub(super) fn take_stale(&mut self, since: Moment) -> Vec<PooledConnection> {
        let idle = std::mem::take(&mut self.idle).into_iter();
        let (proven, unproven) = idle.partition(|idle| idle.has_answered_since(since));
        self.idle = proven;
        let unproven: Vec<PooledConnection> = unproven;
        for connection in &unproven {
            self.closed(connection.account.as_ref());
        }
        unproven
    }

    /// An open connection is closed.
    pub(super) fn closed(&mut self, account: Option<&AccountId>) {
        self.share.open = self.share.open.saturating_sub(1);
        self.forget(account);
    }
}
