//! The setup of a connection to a server: the session values that are set and
//! the statements that are prepared on it.
//!
//! Sessions share connections. Before a session uses one, the connection gets
//! the values and the prepared statement that the session needs.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::statement::Prepared;
use crate::statement::Statement;

/// Maximum number of statements that are prepared on a connection.
const MAX_PREPARED: usize = 1024;

/// Maximum length of their shapes together, in bytes. A single one may be as long.
const MAX_PREPARED_BYTES: usize = 1024 * 1024;

/// Session values by name.
pub type SessionValues = BTreeMap<Arc<str>, Arc<str>>;

/// Session values and prepared statements of one connection to a server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSetup {
    values: SessionValues,
    prepared: PreparedStatements,
}

/// The statements that are prepared on a connection. If there are too many, the oldest ones are
/// discarded, which is possible inside a transaction too, unlike a reset.
#[derive(Clone, Debug, Default)]
struct PreparedStatements {
    set: HashSet<Prepared>,
    oldest_first: VecDeque<Prepared>,
    shape_bytes: usize,
}

impl PreparedStatements {
    fn contains(&self, prepared: &Prepared) -> bool {
        self.set.contains(prepared)
    }

    /// How many of the oldest statements have to be discarded before this one is prepared.
    fn excess(&self, prepared: &Prepared) -> usize {
        let mut count = self.set.len() + 1;
        let mut bytes = self.shape_bytes + prepared.shape.len();
        let mut excess = 0;
        for oldest in &self.oldest_first {
            if count <= MAX_PREPARED && bytes <= MAX_PREPARED_BYTES {
                break;
            }
            count -= 1;
            bytes -= oldest.shape.len();
            excess += 1;
        }
        excess
    }

    fn remove_oldest(&mut self) -> Option<Prepared> {
        let oldest = self.oldest_first.pop_front()?;
        self.set.remove(&oldest);
        self.shape_bytes -= oldest.shape.len();
        Some(oldest)
    }

    fn insert(&mut self, prepared: Prepared) {
        self.shape_bytes += prepared.shape.len();
        self.oldest_first.push_back(prepared.clone());
        self.set.insert(prepared);
    }
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
            self.prepared = PreparedStatements::default();
        }
        for (name, value) in values {
            if self.values.get(name) == Some(value) {
                continue;
            }
            self.values.insert(name.clone(), value.clone());
            steps.push(Statement::Set { name: name.clone(), value: value.clone() });
        }
        if let Some(prepared) = prepared.filter(|wanted| !self.prepared.contains(wanted)) {
            for _ in 0..self.prepared.excess(prepared) {
                let oldest = self.prepared.remove_oldest();
                let name = oldest.map(|oldest| oldest.shared_name());
                steps.extend(name.map(|name| Statement::Deallocate { name }));
            }
            self.prepared.insert(prepared.clone());
            let name = prepared.shared_name();
            steps.push(Statement::Prepare { name, prepared: prepared.clone() });
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
        let preparing = match prepared {
            Some(_) if reset => 1,
            Some(wanted) if !self.prepared.contains(wanted) => self.prepared.excess(wanted) + 1,
            _ => 0,
        };
        usize::from(reset) + missing + preparing
    }

    fn needs_reset(&self, values: &SessionValues) -> bool {
        self.values.keys().any(|name| !values.contains_key(name))
    }
}
