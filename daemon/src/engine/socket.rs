//! Options of all sockets.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Silence after which the first keep-alive probe is sent, and the time
/// between probes. Together with the number of probes a connection that lost
/// its other end is noticed within 4 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged. Connections can go
/// silent for good without a reset; without this limit each of them would
/// hold one of few connections until the program ends.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Sets the options.
///
/// # Errors
///
/// What the system says.
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
