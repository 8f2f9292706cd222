//! A point in the history of the platform's store.

use std::fmt;

/// Counts how often the platform's store came back from an older copy; 0 if it does
/// not tell.
pub type Era = u64;

/// A point in the history of the platform's store.
///
/// A store that came back from a copy has lost its latest changes, and gives their
/// numbers out again. Compared by number alone, a revision of the lost history would
/// hide changes of the present one for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// The history.
    pub era: Era,
    /// Counts the changes within it.
    pub number: u64,
}

impl Revision {
    /// A point in the history of an era.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether nothing was read yet.
    #[must_use]
    pub fn is_unknown(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
