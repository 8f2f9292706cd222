//! What is set up on a connection to a server, and what a session needs.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::statement::Prepared;
use crate::statement::Statement;

/// Values of a session by name.
pub type SessionValues = BTreeMap<Arc<str>, Arc<str>>;

/// What is set up on one connection to a server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSetup {
    values: SessionValues,
    prepared: HashSet<Prepared>,
}

impl ConnectionSetup {
    /// Statements that make the connection fit a session with `values` that
    /// is about to use `prepared`. The layout counts them as done.
    pub fn adapt(&mut self, values: &SessionValues, prepared: Option<&Prepared>) -> Vec<Statement> {
        let mut steps = Vec::new();
        // A value that the session never set cannot be taken back one by one.
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

    /// How many statements `adapt` would need, to choose among connections.
    #[must_use]
    pub fn distance(&self, values: &SessionValues, prepared: Option<&Prepared>) -> usize {
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
