//! The setup of a connection to a server: the session values that are set and
//! the statements that are prepared on it.
//!
//! Sessions share connections. Before a session uses one, the connection gets
//! the values and the prepared statement that the session needs.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::statement::Prepared;
use crate::statement::Statement;

/// Session values by name.
pub type SessionValues = BTreeMap<Arc<str>, Arc<str>>;

/// Session values and prepared statements of one connection to a server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSetup {
    values: SessionValues,
    prepared: HashSet<Prepared>,
}

impl ConnectionSetup {
    /// Returns the statements that prepare the connection for a session that has
    /// `values` and is about to execute `prepared`. They are recorded as already
    /// run, so the caller must run them all.
    pub fn begin_setup(
        &mut self,
        values: &SessionValues,
        prepared: Option<&Prepared>,
    ) -> Vec<Statement> {
        let mut steps = Vec::new();
        // A single value of another session cannot be unset; only a reset clears it.
        if self.needs_reset(values) {
            steps.push(Statement::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) == Some(value) {
                continue;
            }
            self.values.insert(name.clone(), value.clone());
            steps.push(Statement::Set { name: name.clone(), value: value.clone() });
        }
        if let Some(prepared) = prepared {
            if self.prepared.insert(prepared.clone()) {
                let name = prepared.shared_name();
                steps.push(Statement::Prepare { name, prepared: prepared.clone() });
            }
        }
        steps
    }

    /// Number of statements that `begin_setup` would return. A request uses the connection
    /// with the fewest.
    #[must_use]
    pub fn setup_cost(&self, values: &SessionValues, prepared: Option<&Prepared>) -> usize {
        let reset = self.needs_reset(values);
        let missing = values
            .iter()
            .filter(|(name, value)| reset || self.values.get(*name) != Some(*value))
            .count();
        let unprepared = prepared.is_some_and(|wanted| reset || !self.prepared.contains(wanted));
        usize::from(reset) + missing + usize::from(unprepared)
    }

    fn needs_reset(&self, values: &SessionValues) -> bool {
        self.values.keys().any(|name| !values.contains_key(name))
    }
}
