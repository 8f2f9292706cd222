//! When an instance may use the list of instances of a store that was restored from a
//! backup.

use std::time::Duration;

use crate::moment::Moment;

/// Time from a restore of the store by which all live instances are listed in it again: the
/// instances write missing records within 2.5 s.
pub const RELISTING_TIME: Duration = Duration::from_secs(3);

/// Whether an instance that started at `started_at`, and has learned of the latest restore
/// of the store at `restore_known_since`, may use the listed instances without the list of
/// another instance. All times are on the instance's own clock.
///
/// The list may lack live instances until [`RELISTING_TIME`] after the restore. An instance
/// that uses it earlier can find other voters than the rest, and become a second keeper. The
/// time since the start alone is not enough: the restore can follow the start.
#[must_use]
pub fn may_use_list_alone(now: Moment, started_at: Moment, restore_known_since: Moment) -> bool {
    started_at.max(restore_known_since) + RELISTING_TIME <= now
}
