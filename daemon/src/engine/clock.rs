//! The monotonic clock of the engine.

use std::time::Duration;

use chervilwharf_lib::moment::Moment;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the machine booted, including time in which it was suspended; see [`Moment`].
#[must_use]
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
