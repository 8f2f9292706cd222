//! Model of the database servers for the exploration: terms, logs and roles.

use std::sync::Arc;

use chervilwharf_lib::ownership_types::FenceFailure;
use chervilwharf_lib::ownership_types::ServerState;
use chervilwharf_lib::position::Position;

/// Rule of the protocol that a run leaves out, to show that the exploration detects
/// the violation that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingRule {
    /// All rules apply.
    None,
    /// A write is acknowledged before a replica has received it.
    ConfirmWait,
    /// Servers accept work of other terms than their own.
    TermCheck,
    /// Entries at a replica confirm a write in whatever term the replica has them.
    ConfirmInOwnTerm,
    /// A promotion appends no log entry of the new term.
    FirstEntry,
    /// Reads are answered and writes acknowledged without a recent confirmation of
    /// the term.
    RecentConfirmation,
}

/// One entry of a log: its term and its write. The entry that a promotion appends
/// has no write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub write: Option<u64>,
}

/// Model of one server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub term: u64,
    pub owner: Arc<str>,
    pub is_primary: bool,
    pub follows: Option<usize>,
    pub log: Vec<Entry>,
    pub since_primary_contact_ms: u64,
}

/// Returns the name of a server.
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
                .map(|_| std::time::Duration::from_millis(self.since_primary_contact_ms)),
        }
    }

    fn refusal(&self) -> FenceFailure {
        FenceFailure::HigherTerm { term: self.term, owner: self.owner.clone() }
    }

    pub fn fence(&mut self, term: u64, owner: &Arc<str>) -> Result<ServerState, FenceFailure> {
        let same = term == self.term && *owner == self.owner;
        if term < self.term || (term == self.term && !same) {
            return Err(self.refusal());
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
            return Err(self.refusal());
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
            self.since_primary_contact_ms = 0;
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

    /// Removes the entries that diverge from the log of `primary`, and copies up to
    /// `limit` of the entries that follow.
    pub fn replicate(&mut self, primary: &Self, limit: usize, rule: MissingRule) {
        let in_term = primary.is_primary && primary.term == self.term;
        if !in_term && rule != MissingRule::TermCheck {
            return;
        }
        self.since_primary_contact_ms = 0;
        let pairs = self.log.iter().zip(&primary.log);
        let common = pairs.take_while(|(mine, theirs)| mine == theirs).count();
        self.log.truncate(common);
        self.log.extend(primary.log.iter().skip(common).take(limit));
    }

    pub fn has(&self, write: u64) -> bool {
        self.log.iter().any(|entry| entry.write == Some(write))
    }
}
