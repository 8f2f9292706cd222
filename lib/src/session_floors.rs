//! The positions that the reads of a session have to see: its own commits.
//!
//! A position is valid only in the log in which it was given. A session uses the log of another
//! group when its route is moved, and the former one when the route comes back, so that it keeps
//! a position for each group.

use std::collections::VecDeque;

use crate::id::GroupId;
use crate::moment::Moment;
use crate::position::Position;

/// The number of groups for which a session keeps its position. Reads in other groups need the
/// primary.
const MAX_GROUPS: usize = 8;

/// The most memory that the positions of one session take, in bytes, without the names of the
/// groups, which are shared.
pub const MAX_FLOORS_BYTES: usize = 2 * MAX_GROUPS * size_of::<(GroupId, OwnPosition)>();

/// The position of the last own commit of a session in a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnPosition {
    /// The position.
    pub position: Position,
    /// A time at which the commit had been acknowledged.
    pub acknowledged_at: Moment,
}

/// What is known of the own commits of a session in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OwnCommits {
    /// There are none.
    #[default]
    None,
    /// The last one is at this position.
    UpTo(OwnPosition),
    /// There may be some. A read has to run at the primary, whose position includes them.
    Unknown,
}

impl OwnCommits {
    /// The position of the last one, if it is known.
    #[must_use]
    pub fn position(self) -> Option<Position> {
        match self {
            Self::UpTo(own) => Some(own.position),
            Self::None | Self::Unknown => None,
        }
    }
}

/// The positions of the own commits of a session, for each group.
#[derive(Clone, Debug, Default)]
pub struct SessionFloors {
    /// The last used group first.
    floors: VecDeque<(GroupId, OwnPosition)>,
    /// Whether positions in other groups were discarded.
    has_discarded: bool,
}

impl SessionFloors {
    /// The own commits of the session in a group.
    #[must_use]
    pub fn get(&self, group: &GroupId) -> OwnCommits {
        match self.floors.iter().find(|(known, _)| known == group) {
            Some((_, own)) => OwnCommits::UpTo(*own),
            None if self.has_discarded => OwnCommits::Unknown,
            None => OwnCommits::None,
        }
    }

    /// Records that the session committed at a position in a group.
    pub fn raise(&mut self, group: &GroupId, now: Moment, position: Position) {
        if self.get(group).position().is_none_or(|known| known < position) {
            self.set(group, OwnPosition { position, acknowledged_at: now });
        }
    }

    /// Records the last own commit in a group, which can be lower than the one that was known
    /// before.
    pub fn set(&mut self, group: &GroupId, own: OwnPosition) {
        self.floors.retain(|(known, _)| known != group);
        self.floors.push_front((group.clone(), own));
        if self.floors.len() > MAX_GROUPS {
            self.floors.pop_back();
            self.has_discarded = true;
        }
    }

    /// Records that there are no own commits in a group: they were rolled back.
    pub fn clear(&mut self, group: &GroupId) {
        self.floors.retain(|(known, _)| known != group);
    }

    /// Replaces what is known of a group by what another instance reports. The position of this
    /// instance stays if the other one does not know its time any better.
    pub fn adopt(&mut self, group: &GroupId, reported: OwnCommits) {
        match reported {
            OwnCommits::UpTo(own) if self.get(group).position() != Some(own.position) => {
                self.set(group, own);
            }
            OwnCommits::UpTo(_) => {}
            OwnCommits::None => self.clear(group),
            OwnCommits::Unknown => {
                self.clear(group);
                self.has_discarded = true;
            }
        }
    }
}
