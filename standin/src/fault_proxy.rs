//! A TCP proxy for tests that injects network faults: it closes connections, delays or
//! discards bytes, and can run an action when it sees given bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// What the proxy does with the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// The proxy forwards them.
    #[default]
    Pass,
    /// The proxy discards them. The connection stays open.
    Discard,
}

/// The faults that the proxy injects into all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Whether the proxy closes open connections and refuses new ones.
    pub cut: bool,
    /// Treatment of bytes from the client to the server.
    pub up: Flow,
    /// Treatment of bytes from the server to the client.
    pub down: Flow,
    /// Delay of the bytes, in each direction.
    pub delay: Duration,
    /// Bandwidth from the server to the clients, which all connections share; unlimited if
    /// `None`.
    pub down_bytes_per_s: Option<u32>,
}

impl Behaviour {
    /// Discards the bytes of both directions.
    #[must_use]
    pub fn unresponsive() -> Self {
        Self { up: Flow::Discard, down: Flow::Discard, ..Self::default() }
    }

    /// Closes all connections and refuses new ones.
    #[must_use]
    pub fn cut() -> Self {
        Self { cut: true, ..Self::default() }
    }

    /// Forwards bytes to the clients at a limited bandwidth, which all connections share.
    #[must_use]
    pub fn slow(down_bytes_per_s: u32) -> Self {
        Self { down_bytes_per_s: Some(down_bytes_per_s), ..Self::default() }
    }

    /// Forwards all bytes after a delay in each direction.
    #[must_use]
    pub fn delayed(delay: Duration) -> Self {
        Self { delay, ..Self::default() }
    }
}

/// Direction in which bytes move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// Action that a trigger runs once, when its bytes arrive.
type TriggerAction = Box<dyn FnOnce() + Send>;

/// Runs an action when the proxy receives given bytes in one direction.
struct Trigger {
    direction: Direction,
    bytes: Vec<u8>,
    /// Whether the proxy forwards the bytes before it runs the action.
    after_passing: bool,
    action: TriggerAction,
}

/// State that the handle and the tasks of the proxy share.
struct ProxyCore {
    upstream: Mutex<Option<SocketAddr>>,
    behaviour: watch::Sender<Behaviour>,
    /// Bytes of connections with a lower number are discarded permanently.
    blackholed_below: AtomicU64,
    next_connection: AtomicU64,
    trigger: Mutex<Option<Trigger>>,
    /// Number of replies that are still to be broken off halfway.
    replies_to_break: AtomicU64,
    /// Number of bytes forwarded so far, in both directions.
    bytes: AtomicU64,
    /// When the bytes that were read so far have passed a link of limited bandwidth.
    link_free_at: Mutex<Option<Instant>>,
}

impl ProxyCore {
    /// Whether the reply that has just been read is to be broken off.
    fn takes_reply_to_break(&self) -> bool {
        let less = |count: u64| count.checked_sub(1);
        self.replies_to_break.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok()
    }

    /// Waits until `count` bytes have passed a link of this bandwidth, after all bytes of
    /// other connections that were read before.
    async fn pass_link(&self, count: usize, bytes_per_s: u32) {
        let passed_at = {
            let mut free_at = self.link_free_at.lock().expect("never poisoned");
            let begun_at = free_at.unwrap_or_else(Instant::now).max(Instant::now());
            let takes = Duration::from_secs(count as u64) / bytes_per_s;
            *free_at.insert(begun_at + takes)
        };
        tokio::time::sleep_until(passed_at.into()).await;
    }
}

/// A running proxy.
#[derive(Clone)]
pub struct FaultProxy {
    core: Arc<ProxyCore>,
    /// Address to which clients connect.
    pub address: SocketAddr,
}

/// Largest number of bytes that one read returns.
const CHUNK_BYTES: usize = 16 * 1024;

/// Largest number of bytes that pass a link of limited bandwidth together. Connections that
/// share the link wait for each other's chunks.
const LINK_CHUNK_BYTES: usize = 2 * 1024;

impl FaultProxy {
    /// Starts a proxy on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let core = Arc::new(ProxyCore {
            upstream: Mutex::new(None),
            behaviour: watch::Sender::new(Behaviour::default()),
            blackholed_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(1),
            trigger: Mutex::new(None),
            replies_to_break: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            link_free_at: Mutex::new(None),
        });
        tokio::spawn(accept(listener, core.clone()));
        Ok(Self { core, address })
    }

    /// Sets the server to which the proxy connects for new connections.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.core.upstream.lock().expect("never poisoned") = Some(upstream);
    }

    /// Sets the faults of open and new connections.
    pub fn set(&self, behaviour: Behaviour) {
        self.core.behaviour.send_replace(behaviour);
    }

    /// Discards all bytes of the connections that are open now, permanently, while new
    /// connections work. This happens in practice when a device on the path, such as a
    /// firewall, loses its connection table.
    pub fn blackhole_open_connections(&self) {
        let next = self.core.next_connection.load(Ordering::SeqCst);
        self.core.blackholed_below.store(next, Ordering::SeqCst);
    }

    /// Forwards only the first half of each of the next `count` replies, and then closes its
    /// connection. A reply is what one read from the server returns.
    pub fn break_replies(&self, count: u64) {
        self.core.replies_to_break.store(count, Ordering::SeqCst);
    }

    /// Number of replies that are still to be broken off.
    #[must_use]
    pub fn replies_to_break(&self) -> u64 {
        self.core.replies_to_break.load(Ordering::SeqCst)
    }

    /// Runs `action` once, when `bytes` arrive in `direction`. The proxy forwards the
    /// bytes after the action, or before it if `after_passing` is set.
    pub fn on_bytes(
        &self,
        direction: Direction,
        bytes: &[u8],
        after_passing: bool,
        action: impl FnOnce() + Send + 'static,
    ) {
        let trigger =
            Trigger { direction, bytes: bytes.to_vec(), after_passing, action: Box::new(action) };
        *self.core.trigger.lock().expect("never poisoned") = Some(trigger);
    }

    /// Returns whether a trigger is set that has not run its action yet.
    #[must_use]
    pub fn is_armed(&self) -> bool {
        self.core.trigger.lock().expect("never poisoned").is_some()
    }

    /// Number of bytes forwarded so far, in both directions.
    #[must_use]
    pub fn byte_count(&self) -> u64 {
        self.core.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, core: Arc<ProxyCore>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if core.behaviour.borrow().cut {
            // Dropping the socket closes or resets the connection. The client gets an
            // error in both cases.
            continue;
        }
        let number = core.next_connection.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(serve(client, core.clone(), number));
    }
}

async fn serve(client: TcpStream, core: Arc<ProxyCore>, number: u64) {
    let upstream = *core.upstream.lock().expect("never poisoned");
    let Some(upstream) = upstream else {
        return;
    };
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = forward_bytes(core.clone(), number, Direction::Up, client_read, server_write);
    let down = forward_bytes(core.clone(), number, Direction::Down, server_read, client_write);
    let mut behaviour = core.behaviour.subscribe();
    let cut = behaviour.wait_for(|behaviour| behaviour.cut);
    tokio::select! {
        () = up => {}
        () = down => {}
        _ = cut => {}
    }
}

/// Forwards the bytes of one direction, with the faults that are set.
async fn forward_bytes(
    core: Arc<ProxyCore>,
    number: u64,
    direction: Direction,
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    // The queue between reader and writer delays bytes without limiting the number of
    // bytes in transit.
    let (sender, receiver) = mpsc::unbounded_channel();
    let writer = tokio::spawn(write_delayed(receiver, to));
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let is_limited =
            direction == Direction::Down && core.behaviour.borrow().down_bytes_per_s.is_some();
        let limit = if is_limited { LINK_CHUNK_BYTES } else { CHUNK_BYTES };
        let Ok(count) = from.read(&mut buffer[..limit]).await else {
            break;
        };
        if count == 0 {
            break;
        }
        if direction == Direction::Down && core.takes_reply_to_break() {
            let _ = sender.send((Instant::now(), buffer[..count / 2].to_vec()));
            break;
        }
        let chunk = buffer[..count].to_vec();
        let action_after_passing = fire_trigger(&core, direction, &chunk);
        let behaviour = *core.behaviour.borrow();
        let flow = match direction {
            Direction::Up => behaviour.up,
            Direction::Down => behaviour.down,
        };
        let is_blackholed = number < core.blackholed_below.load(Ordering::SeqCst);
        if flow == Flow::Pass && !is_blackholed {
            if let (Direction::Down, Some(rate)) = (direction, behaviour.down_bytes_per_s) {
                core.pass_link(count, rate).await;
            }
            core.bytes.fetch_add(count as u64, Ordering::Relaxed);
            if sender.send((Instant::now() + behaviour.delay, chunk)).is_err() {
                break;
            }
        }
        if let Some(action) = action_after_passing {
            tokio::time::sleep(Duration::from_millis(2)).await;
            action();
        }
    }
    drop(sender);
    let _ = writer.await;
}

/// Consumes the trigger if `chunk` holds its bytes. Runs its action at once, or returns it
/// if it has to run after the chunk is forwarded.
fn fire_trigger(core: &ProxyCore, direction: Direction, chunk: &[u8]) -> Option<TriggerAction> {
    let mut slot = core.trigger.lock().expect("never poisoned");
    let fires = slot.as_ref().is_some_and(|trigger| {
        trigger.direction == direction
            && chunk.windows(trigger.bytes.len()).any(|window| window == trigger.bytes)
    });
    if !fires {
        return None;
    }
    let trigger = slot.take()?;
    drop(slot);
    if trigger.after_passing {
        return Some(trigger.action);
    }
    (trigger.action)();
    None
}

async fn write_delayed(
    mut chunks: mpsc::UnboundedReceiver<(Instant, Vec<u8>)>,
    mut to: OwnedWriteHalf,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        let now = Instant::now();
        if due > now {
            precise_sleep(due - now).await;
        }
        if to.write_all(&chunk).await.is_err() {
            break;
        }
    }
}

/// Sleeps for delays below a millisecond too. Tokio's timer rounds up to whole milliseconds,
/// so a blocking thread waits for short delays.
async fn precise_sleep(duration: Duration) {
    if duration >= Duration::from_millis(5) {
        tokio::time::sleep(duration).await;
        return;
    }
    let due = Instant::now() + duration;
    let result = tokio::task::spawn_blocking(move || {
        let now = Instant::now();
        if due > now {
            std::thread::sleep(due - now);
        }
    });
    let _ = result.await;
}
