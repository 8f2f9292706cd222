//! Database servers as the exploration models them: terms, logs and roles.

use std::sync::Arc;

use chervilwharf_lib::ownership_types::FenceFailure;
use chervilwharf_lib::ownership_types::ServerState;
use chervilwharf_lib::position::Position;

/// Rules of the protocol that can be taken out, to show that the exploration
/// notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingRule {
    /// All rules are in force.
    None,
    /// A write is acknowledged without waiting for a replica.
    ConfirmWait,
    /// Servers take work of lower terms.
    TermCheck,
    /// A replica's entries count whatever the term it holds them in.
    ConfirmInOwnTerm,
    /// A promotion writes no entry of its own.
    FirstEntry,
    /// Reads are answered without a recent confirmation of the term.
    Currency,
}

/// One entry of a log: its term and the write it holds, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub write: Option<u64>,
}

/// One server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub term: u64,
    pub owner: Arc<str>,
    pub is_primary: bool,
    pub follows: Option<usize>,
    pub log: Vec<Entry>,
    pub heard_ago_ms: u64,
}

/// The name of a server.
pub fn server_name(index: usize) -> Arc<str> {
    format!("server-{index}").into()
}

impl Server {
    fn last(&self) -> Position {
        let term = self.log.last().map_or(0, |entry| entry.term);
        Position::new(term, self.log.len() as u64)
    }

    pub fn state(&self) -> ServerState {
        ServerState {
            term: self.term,
            owner: self.owner.clone(),
            is_primary: self.is_primary,
            follows: self.follows.map(server_name),
            received: self.last(),
            applied: self.last(),
            since_primary_contact: self
                .follows
                .map(|_| std::time::Duration::from_millis(self.heard_ago_ms)),
        }
    }

    fn held(&self) -> FenceFailure {
        FenceFailure::HigherTerm { term: self.term, owner: self.owner.clone() }
    }

    pub fn fence(&mut self, term: u64, owner: &Arc<str>) -> Result<ServerState, FenceFailure> {
        let same = term == self.term && *owner == self.owner;
        if term < self.term || (term == self.term && !same) {
            return Err(self.held());
        }
        if !same {
            self.term = term;
            self.owner = owner.clone();
            self.is_primary = false;
            self.follows = None;
        }
        Ok(self.state())
    }

    pub fn promote(
        &mut self,
        term: u64,
        owner: &Arc<str>,
        rule: MissingRule,
    ) -> Result<Position, FenceFailure> {
        if self.term != term || self.owner != *owner {
            return Err(self.held());
        }
        if !self.is_primary {
            self.is_primary = true;
            self.follows = None;
            if rule != MissingRule::FirstEntry {
                self.log.push(Entry { term, write: None });
            }
        }
        let first = self.log.iter().position(|entry| entry.term == term);
        let index = first.map_or(self.log.len(), |at| at + 1) as u64;
        Ok(Position::new(term, index))
    }

    pub fn follow(&mut self, term: u64, owner: &Arc<str>, primary: usize) {
        if self.term == term && self.owner == *owner && !self.is_primary {
            self.follows = Some(primary);
            self.heard_ago_ms = 0;
        }
    }

    pub fn write(&mut self, term: u64, write: u64, rule: MissingRule) -> Option<Position> {
        let allowed = rule == MissingRule::TermCheck || self.term == term;
        if !allowed || !(self.is_primary || rule == MissingRule::TermCheck) {
            return None;
        }
        self.log.push(Entry { term, write: Some(write) });
        Some(Position::new(term, self.log.len() as u64))
    }

    /// Takes over what `primary` has, cutting back what diverges.
    pub fn replicate(&mut self, primary: &Self, limit: usize, rule: MissingRule) {
        let in_term = primary.is_primary && primary.term == self.term;
        if !in_term && rule != MissingRule::TermCheck {
            return;
        }
        self.heard_ago_ms = 0;
        let pairs = self.log.iter().zip(&primary.log);
        let common = pairs.take_while(|(mine, theirs)| mine == theirs).count();
        self.log.truncate(common);
        self.log.extend(primary.log.iter().skip(common).take(limit));
    }

    pub fn has(&self, write: u64) -> bool {
        self.log.iter().any(|entry| entry.write == Some(write))
    }
}
