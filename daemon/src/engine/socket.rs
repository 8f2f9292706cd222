//! Options of all TCP sockets.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which the first keep-alive probe is sent. With the interval and the
/// number of probes below, an idle connection whose other end is gone is closed within 4 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged. A connection can stop delivering
/// data for good without a reset; without this limit it would occupy one of few connections
/// until the program ends.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Sets the options of a socket: no delay of small packets, keep-alive probes, and the
/// limit for unacknowledged bytes.
///
/// # Errors
///
/// When the operating system rejects an option.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
