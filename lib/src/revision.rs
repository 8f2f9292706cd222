//! Revisions of the platform's store, which remain ordered when the store is restored
//! from a backup.

use std::fmt;

/// The number of times that the platform's store was restored from a backup; 0 also if
/// the store does not report it.
pub type Era = u64;

/// A point in the history of the platform's store.
///
/// A store that was restored from a backup has lost its latest changes and assigns their
/// numbers again. If revisions were compared by number alone, one of the lost history
/// would hide changes of the present history for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// The era, which identifies the history. It is compared first.
    pub era: Era,
    /// The store's number of the change within the era.
    pub number: u64,
}

impl Revision {
    /// The revision `number` of an era.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether this is the initial value, before any read of the store.
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
