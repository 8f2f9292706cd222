//! How long to wait for what.

use std::time::Duration;

/// Pause before a statement that a server was too busy for is sent again:
/// about the time of one statement, after which one place in its queue is free.
pub const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Shortest time after which a silent server is given up for a read. Above
/// the longest statement (220 ms) plus a server's own queue would be safe but
/// slow; statements of 200 ms are fewer than one in a hundred.
const SHORTEST_READ_STALL: Duration = Duration::from_millis(200);

/// A server that has a queue is given up only after this many times the time
/// that its answers take now.
const STALL_FACTOR: u32 = 4;

/// How long a read waits for one server before it goes to another.
///
/// Four fifths of the objective: a lost answer then still leaves a fifth,
/// about the usual time of a read, for the second server. More where answers
/// take longer now: an exchange that is given up has been worked on for
/// nothing, and the new connection takes a slot for as long as two statements.
/// A primary alone with all reads lost half of its capacity to that.
#[must_use]
pub fn read_stall_limit(objective: Duration, usual_time: Duration) -> Duration {
    (objective * 4 / 5).max(SHORTEST_READ_STALL).max(usual_time * STALL_FACTOR)
}

/// Shortest time without an answer after which a server is asked, on a new
/// connection, whether it is alive. Most statements take a fifth of it.
const SHORTEST_DOUBT: Duration = Duration::from_millis(100);

/// How long a statement may be at a server before the server is asked whether
/// it is alive. The statement itself goes on.
///
/// A server that goes dark closes nothing. Without this question it was missed
/// only when statements reached their deadline, 0.8 s later.
#[must_use]
pub fn liveness_check_after(usual_time: Duration) -> Duration {
    SHORTEST_DOUBT.max(usual_time * STALL_FACTOR)
}

/// From which time at a server on a statement is a sign of a queue there.
///
/// A sixth of the objective, about twice the usual work of a statement. What
/// waits at a server cannot be overtaken: noticed only at half of the objective,
/// eight instances kept twenty statements in the queue of an overloaded server
/// with three slots, and urgent ones waited 100 to 170 ms behind the others. At
/// an eighth, long statements of a calm server are taken for a queue.
#[must_use]
pub fn slow_threshold(objective: Duration) -> Duration {
    objective / 6
}

/// How long a request may wait for a server and still meet its objective.
///
/// Three quarters; the rest is about the usual time of a statement with the
/// ways to the client.
#[must_use]
pub fn max_wait(objective: Duration) -> Duration {
    objective * 3 / 4
}
