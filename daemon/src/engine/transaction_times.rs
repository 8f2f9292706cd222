//! Smoothed figures of the transactions on each route, which tell how much of the objective the
//! statements of a transaction need after its wait for a connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::operation_clock::EndedOperation;
use chervilwharf_lib::operation_clock::TransactionFigures;

/// The figures of the transactions that clients of this instance ran, by database name.
#[derive(Debug, Default)]
pub struct TransactionTimes {
    routes: Mutex<HashMap<Arc<str>, TransactionFigures>>,
}

impl TransactionTimes {
    /// Adds a transaction that was served.
    pub fn observe(&self, route: &Route, transaction: &EndedOperation) {
        let mut routes = self.routes.lock().expect("never poisoned");
        match routes.get_mut(&route.database) {
            Some(figures) => figures.observe(transaction),
            None => {
                routes.insert(route.database.clone(), TransactionFigures::new(transaction));
            }
        }
    }

    /// Expected time of the statements that follow statement number `current` of a transaction;
    /// zero before the first transaction on the route has ended.
    #[must_use]
    pub fn following(&self, route: &Route, current: u32) -> Duration {
        let routes = self.routes.lock().expect("never poisoned");
        routes.get(&route.database).map_or(Duration::ZERO, |figures| figures.following(current))
    }
}
