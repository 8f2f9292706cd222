//! The time type of the session engine, on a clock that counts suspensions.

use std::time::Duration;

/// Time since the instance's machine started, on a clock that keeps counting
/// while the machine is suspended.
///
/// `std::time::Instant` does not advance during a suspension on Linux. An age computed
/// from it would then be too small, and a read could be served from a replica whose data
/// is older than the client allows.
pub type Moment = Duration;
