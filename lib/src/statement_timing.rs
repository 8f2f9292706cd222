//! Timeouts and delays of statements, some derived from the latency objective of the
//! request.

use std::time::Duration;

/// Delay before a statement is sent again that a server refused as too busy. It is
/// about the time of one statement, after which a place in the server's queue is free.
pub const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Shortest time without an answer after which a read goes to another server. A time
/// above the longest statement (220 ms) plus the server's own queue would never give
/// up too early, but is slow; fewer than one statement in a hundred takes 200 ms.
const MIN_READ_STALL: Duration = Duration::from_millis(200);

/// A server counts as stalled only after this many times its usual answer time, so that
/// a server with a queue is not abandoned too early.
const STALL_FACTOR: u32 = 4;

/// How long a read waits for the answer of one server before it goes to another.
/// `usual_time` is the present answer time of the server.
///
/// Four fifths of the objective: after a lost answer a fifth, about the usual time of
/// a read, is left for the second server. The limit is higher where answers take longer
/// now, because the server has executed an abandoned statement for nothing, and the new
/// connection that replaces the abandoned one takes a slot for as long as two
/// statements. A primary that served all reads by itself lost half of its capacity to
/// this.
#[must_use]
pub fn read_stall_limit(objective: Duration, usual_time: Duration) -> Duration {
    (objective * 4 / 5).max(MIN_READ_STALL).max(usual_time * STALL_FACTOR)
}

/// Shortest time without an answer after which a liveness check of the server starts on
/// a new connection. Most statements take a fifth of this time.
const MIN_LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(100);

/// How long a statement may run before a liveness check of its server starts. The
/// statement continues meanwhile. `usual_time` is the present answer time of the server.
///
/// A server that loses power or network closes no connection. Without this check its
/// failure was detected only when statements reached their deadline, 0.8 s later.
#[must_use]
pub fn liveness_check_after(usual_time: Duration) -> Duration {
    MIN_LIVENESS_CHECK_DELAY.max(usual_time * STALL_FACTOR)
}

/// Answer time from which on a statement indicates a queue at its server.
///
/// A sixth of the objective, about twice the usual execution time of a statement. A
/// server's queue has no priorities. With half of the objective as the threshold, eight
/// instances kept twenty statements in the queue of an overloaded server with three
/// slots, and urgent statements waited 100 to 170 ms behind others. With an eighth,
/// long statements at an idle server are mistaken for a queue.
#[must_use]
pub fn slow_threshold(objective: Duration) -> Duration {
    objective / 6
}

/// How long a request may wait for a connection and still meet its objective.
///
/// Three quarters of the objective. The rest is about the usual time of a statement
/// and of the network round trip to the client.
#[must_use]
pub fn max_wait(objective: Duration) -> Duration {
    objective * 3 / 4
}

/// How long a request may wait for the first of the instances that can serve it to start.
///
/// Half of the objective: the rest is enough to serve the request there in time, and a client
/// that is refused instead needs about as long to connect again.
#[must_use]
pub fn max_start_wait(objective: Duration) -> Duration {
    objective / 2
}
