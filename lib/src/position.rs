//! Positions in the replicated log of a database group.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Term;

/// A place in a group's log: the term of an entry and its index.
///
/// Positions are ordered by term first. Two logs that diverged can hold the same
/// index; only the log whose last entry has the higher term can hold all acknowledged
/// writes (the rule of Raft, section 5.4.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Term in which the entry was written.
    pub term: Term,
    /// Index of the entry, counted from one.
    pub index: u64,
}

impl Position {
    /// The position before the first entry of any log.
    pub const ZERO: Self = Self { term: 0, index: 0 };

    /// The position of the entry `index` that was written in `term`.
    #[must_use]
    pub fn new(term: Term, index: u64) -> Self {
        Self { term, index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
