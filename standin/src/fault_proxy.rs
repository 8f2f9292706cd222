//! A TCP proxy that cuts, delays and swallows, and that can act when given
//! bytes pass.

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

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Pass,
    /// They vanish; the connection stays open.
    Discard,
}

/// What the proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Connections are closed and new ones refused.
    pub cut: bool,
    /// Bytes from the client to the server.
    pub up: Flow,
    /// Bytes from the server to the client.
    pub down: Flow,
    /// One-way delay.
    pub delay: Duration,
}

impl Behaviour {
    /// Both directions vanish.
    #[must_use]
    pub fn silent() -> Self {
        Self { up: Flow::Discard, down: Flow::Discard, ..Self::default() }
    }

    /// Everything is closed.
    #[must_use]
    pub fn cut() -> Self {
        Self { cut: true, ..Self::default() }
    }

    /// Everything passes after a delay.
    #[must_use]
    pub fn delayed(delay: Duration) -> Self {
        Self { delay, ..Self::default() }
    }
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// What a trigger does, once, when its bytes pass.
type TriggerAction = Box<dyn FnOnce() + Send>;

struct Trigger {
    direction: Direction,
    bytes: Vec<u8>,
    /// Whether the bytes themselves still pass before the action.
    after_passing: bool,
    action: TriggerAction,
}

struct ProxyCore {
    upstream: Mutex<Option<SocketAddr>>,
    behaviour: watch::Sender<Behaviour>,
    /// Connections with a lower number are silent for good.
    silent_below: AtomicU64,
    next_connection: AtomicU64,
    trigger: Mutex<Option<Trigger>>,
    bytes: AtomicU64,
}

/// A running proxy.
#[derive(Clone)]
pub struct FaultProxy {
    core: Arc<ProxyCore>,
    /// Where clients connect.
    pub address: SocketAddr,
}

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

impl FaultProxy {
    /// Starts a proxy on any port of the loopback address.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let core = Arc::new(ProxyCore {
            upstream: Mutex::new(None),
            behaviour: watch::Sender::new(Behaviour::default()),
            silent_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(1),
            trigger: Mutex::new(None),
            bytes: AtomicU64::new(0),
        });
        tokio::spawn(accept(listener, core.clone()));
        Ok(Self { core, address })
    }

    /// Says where connections lead.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.core.upstream.lock().expect("never poisoned") = Some(upstream);
    }

    /// Changes what happens to connections, open and new.
    pub fn set(&self, behaviour: Behaviour) {
        self.core.behaviour.send_replace(behaviour);
    }

    /// Makes the connections open now go silent for good, while new ones
    /// work: something in between lost track of them.
    pub fn blackhole_open_connections(&self) {
        let next = self.core.next_connection.load(Ordering::SeqCst);
        self.core.silent_below.store(next, Ordering::SeqCst);
    }

    /// Runs `action` once when `bytes` pass in `direction`. They pass only
    /// after the action, or before it if `after_passing`.
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

    /// Whether a trigger is still waiting for its bytes.
    #[must_use]
    pub fn is_armed(&self) -> bool {
        self.core.trigger.lock().expect("never poisoned").is_some()
    }

    /// Bytes that passed in both directions.
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
            // Dropping resets or closes it; either way the caller learns.
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
    let up = pump(core.clone(), number, Direction::Up, client_read, server_write);
    let down = pump(core.clone(), number, Direction::Down, server_read, client_write);
    let mut behaviour = core.behaviour.subscribe();
    let cut = behaviour.wait_for(|behaviour| behaviour.cut);
    tokio::select! {
        () = up => {}
        () = down => {}
        _ = cut => {}
    }
}

async fn pump(
    core: Arc<ProxyCore>,
    number: u64,
    direction: Direction,
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    // A queue between reading and writing lets a delay move bytes in time
    // without limiting how many are under way.
    let (sender, receiver) = mpsc::unbounded_channel();
    let writer = tokio::spawn(write_delayed(receiver, to));
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        let chunk = buffer[..count].to_vec();
        let after = fire_trigger(&core, direction, &chunk);
        let behaviour = *core.behaviour.borrow();
        let flow = match direction {
            Direction::Up => behaviour.up,
            Direction::Down => behaviour.down,
        };
        let forgotten = number < core.silent_below.load(Ordering::SeqCst);
        if flow == Flow::Pass && !forgotten {
            core.bytes.fetch_add(count as u64, Ordering::Relaxed);
            if sender.send((Instant::now() + behaviour.delay, chunk)).is_err() {
                break;
            }
        }
        if let Some(action) = after {
            tokio::time::sleep(Duration::from_millis(2)).await;
            action();
        }
    }
    drop(sender);
    let _ = writer.await;
}

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

/// Tokio's timer rounds up to whole milliseconds, too coarse for half of one.
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
