//! Time as the session engine counts it.

use std::time::Duration;

/// Time since the instance's machine started, on a clock that keeps counting
/// while the machine is suspended.
///
/// `std::time::Instant` stands still during a suspension on Linux. An age
/// computed from it would then be too small, and a read could be served from
/// a replica that is older than the client allows.
pub type Moment = Duration;
