//! Links to other instances, and the encoding of their messages.
//!
//! A link is one TCP connection to a peer. It carries many concurrent exchanges,
//! each a message and its answer with the same exchange id. The instance that
//! opened the link sends the first message of every exchange.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::membership::HeartbeatBody;
use chervilwharf_lib::membership::OwnerRecord;
use chervilwharf_lib::membership::PeerInfo;
use chervilwharf_lib::protos::Frame;
use chervilwharf_lib::protos::Heartbeat;
use chervilwharf_lib::protos::Hello;
use chervilwharf_lib::protos::Ownership;
use chervilwharf_lib::protos::frame::Body;
use displaydoc::Display;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::databases::Databases;
use crate::metrics::LinkCounters;
use crate::metrics::since_epoch;

/// Largest accepted frame: the largest result plus room for its envelope.
pub const FRAME_LIMIT_BYTES: usize = 20 * 1024 * 1024;

/// Timeout for connecting to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for the answer to a heartbeat. A link that exceeds it is replaced,
/// since packets on it may be lost while a new connection would work.
const HEARTBEAT_ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Reason why an exchange got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum LinkError {
    /// the other instance could not be reached; nothing was sent
    NotSent,
    /// the link broke after the message was sent
    Broken,
    /// no answer came in time
    TimedOut,
}

type Pending = Mutex<HashMap<u64, oneshot::Sender<Body>>>;

/// An open link to one instance.
struct Link {
    outgoing: mpsc::UnboundedSender<Bytes>,
    pending: Arc<Pending>,
    next_exchange: AtomicU64,
    address: Arc<str>,
}

impl Link {
    fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }
}

/// Identity with which this instance authenticates to its peers.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Secret key shared by all instances.
    pub peer_key: Arc<str>,
    /// Start time of this instance.
    pub started_at: Instant,
}

impl LinkIdentity {
    /// Returns the number to which the count of opened links is added. It derives
    /// from the start time, so that link numbers also rise across restarts.
    fn link_number_base(&self) -> u64 {
        let started = since_epoch().saturating_sub(self.started_at.elapsed());
        u64::try_from(started.as_millis()).unwrap_or(0) << 16
    }
}

/// Links to other instances, opened on demand.
pub struct Links {
    identity: LinkIdentity,
    databases: Arc<Databases>,
    counters: LinkCounters,
    by_instance: tokio::sync::Mutex<HashMap<InstanceId, Arc<Link>>>,
    next_number: AtomicU64,
}

/// Returns the codec that splits a link's byte stream into frames.
#[must_use]
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec()
}

/// Computes the proof that the sender of a link's first message has the shared
/// key: a SHA-256 digest of key, instance and link number.
#[must_use]
pub fn proof(key: &str, instance: &str, link_number: u64) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(key.as_bytes());
    hasher.update([0]);
    hasher.update(instance.as_bytes());
    hasher.update(link_number.to_be_bytes());
    hasher.finalize().to_vec()
}

/// Encodes a message as a frame. The exchange id is 0 for a message without an
/// answer.
#[must_use]
pub fn encode(exchange_id: u64, body: Body) -> Bytes {
    let frame = Frame { exchange_id, body: Some(body) };
    let mut buffer = BytesMut::with_capacity(frame.encoded_len());
    // Cannot fail, since the buffer grows as needed.
    let _ = frame.encode(&mut buffer);
    buffer.freeze()
}

impl Links {
    /// Creates an empty set of links. The addresses of instances come from the
    /// membership in `databases`.
    #[must_use]
    pub fn new(identity: LinkIdentity, databases: Arc<Databases>, counters: LinkCounters) -> Self {
        Self {
            identity,
            databases,
            counters,
            by_instance: tokio::sync::Mutex::default(),
            next_number: AtomicU64::new(0),
        }
    }

    /// Returns the counters of bytes sent to other instances.
    #[must_use]
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Sends a message to an instance and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] if the message cannot have arrived; after the other
    /// errors it may have arrived.
    pub async fn call(
        &self,
        peer: &InstanceId,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, LinkError> {
        let is_control = matches!(body, Body::Heartbeat(_));
        let link = self.get_or_open_link(peer).await.ok_or(LinkError::NotSent)?;
        let exchange_id = link.next_exchange.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        link.pending.lock().expect("never poisoned").insert(exchange_id, sender);
        let _pending_guard = PendingGuard { pending: &link.pending, exchange_id };
        let bytes = encode(exchange_id, body);
        self.counters.count(&bytes, is_control);
        if link.outgoing.send(bytes).is_err() {
            return Err(LinkError::NotSent);
        }
        let wait = if is_control { timeout.min(HEARTBEAT_ANSWER_TIMEOUT) } else { timeout };
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(LinkError::Broken),
            Err(_) => {
                if is_control {
                    self.drop_link(peer, &link).await;
                }
                Err(LinkError::TimedOut)
            }
        }
    }

    /// Sends a message that has no answer, if a link is open or can be opened.
    pub async fn send(&self, peer: &InstanceId, body: Body) {
        if let Some(link) = self.get_or_open_link(peer).await {
            // Fails if the link has closed. The message may be lost: senders do not
            // rely on its arrival.
            let _ = link.outgoing.send(encode(0, body));
        }
    }

    /// Removes a link, so that the next exchange opens a new one.
    async fn drop_link(&self, peer: &InstanceId, link: &Arc<Link>) {
        let mut links = self.by_instance.lock().await;
        if links.get(peer).is_some_and(|current| Arc::ptr_eq(current, link)) {
            links.remove(peer);
        }
        // All exchanges on the link fail at once and can be retried on a new link.
        link.pending.lock().expect("never poisoned").clear();
    }

    /// Returns an open link to an instance, and opens one if there is none.
    async fn get_or_open_link(&self, peer: &InstanceId) -> Option<Arc<Link>> {
        let address = self.databases.instance.membership().peer(peer)?.address.clone();
        if let Some(link) = self.find_open_link(peer, &address).await {
            return Some(link);
        }
        // Connects without holding the lock, so that an unreachable instance does
        // not delay links to others.
        let number =
            self.next_number.fetch_add(1, Ordering::Relaxed) + self.identity.link_number_base();
        let link = connect(&self.identity, address, number).await?;
        let mut links = self.by_instance.lock().await;
        if let Some(other) = links.get(peer).filter(|other| other.is_open()) {
            return Some(other.clone());
        }
        links.insert(peer.clone(), link.clone());
        Some(link)
    }

    async fn find_open_link(&self, peer: &InstanceId, address: &str) -> Option<Arc<Link>> {
        let links = self.by_instance.lock().await;
        links.get(peer).filter(|link| link.is_open() && *link.address == *address).cloned()
    }
}

/// Removes an exchange from the pending ones when its sender stops waiting.
struct PendingGuard<'a> {
    pending: &'a Pending,
    exchange_id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.lock().expect("never poisoned").remove(&self.exchange_id);
    }
}

async fn connect(identity: &LinkIdentity, address: Arc<str>, number: u64) -> Option<Arc<Link>> {
    let connecting = TcpStream::connect(&*address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = Framed::new(stream, codec());
    let hello = Hello {
        instance: identity.instance.to_string(),
        link_number: number,
        proof: proof(&identity.peer_key, &identity.instance, number),
    };
    framed.send(encode(0, Body::Hello(hello))).await.ok()?;
    let (outgoing, queue) = mpsc::unbounded_channel();
    let pending: Arc<Pending> = Arc::default();
    let link =
        Link { outgoing, pending: pending.clone(), next_exchange: AtomicU64::new(1), address };
    tokio::spawn(run_link(framed, queue, pending));
    Some(Arc::new(link))
}

/// Sends queued frames and delivers answers until the connection breaks or the
/// link is dropped.
async fn run_link(
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    mut queue: mpsc::UnboundedReceiver<Bytes>,
    pending: Arc<Pending>,
) {
    let (mut sink, mut stream) = framed.split();
    let outgoing = &mut queue;
    let write = async move {
        while let Some(bytes) = outgoing.recv().await {
            if sink.feed(bytes).await.is_err() {
                return;
            }
            // Sends all frames that are already queued in one write.
            while let Ok(bytes) = outgoing.try_recv() {
                if sink.feed(bytes).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err() {
                return;
            }
        }
    };
    let read = async {
        while let Some(Ok(bytes)) = stream.next().await {
            let Ok(frame) = Frame::decode(bytes) else {
                return;
            };
            let waiting = pending.lock().expect("never poisoned").remove(&frame.exchange_id);
            if let (Some(sender), Some(body)) = (waiting, frame.body) {
                // Fails if the sender of the exchange stopped waiting.
                let _ = sender.send(body);
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    // The queue is closed before the pending exchanges are cleared. In the opposite
    // order an exchange could start in between and wait on a broken link until its
    // deadline.
    queue.close();
    // Dropping the senders fails all pending exchanges with `LinkError::Broken`.
    pending.lock().expect("never poisoned").clear();
}

/// Converts a heartbeat into its message.
#[must_use]
pub fn heartbeat_to_wire(body: &HeartbeatBody, sequence: u64) -> Heartbeat {
    let sender = &body.sender;
    let owned = body.owned.iter().map(|(database, term)| Ownership {
        database: database.to_string(),
        owner: String::new(),
        term: *term,
    });
    let rumors = body.rumors.iter().map(|(database, record)| Ownership {
        database: database.to_string(),
        owner: record.owner.to_string(),
        term: record.term,
    });
    Heartbeat {
        instance: sender.id.to_string(),
        address: sender.address.to_string(),
        admin_address: sender.admin_address.to_string(),
        failure_domain: sender.failure_domain.to_string(),
        leaving: sender.leaving,
        configuration_version: sender.configuration_version,
        owned: owned.collect(),
        heard: rumors.collect(),
        sequence,
    }
}

/// Converts a message into the heartbeat that it carries.
#[must_use]
pub fn heartbeat_from_wire(heartbeat: &Heartbeat) -> HeartbeatBody {
    let owned = heartbeat.owned.iter().map(|entry| (entry.database.as_str().into(), entry.term));
    let rumors = heartbeat.heard.iter().map(|entry| {
        let record = OwnerRecord { owner: entry.owner.as_str().into(), term: entry.term };
        (entry.database.as_str().into(), record)
    });
    HeartbeatBody {
        sender: PeerInfo {
            id: heartbeat.instance.as_str().into(),
            address: heartbeat.address.as_str().into(),
            admin_address: heartbeat.admin_address.as_str().into(),
            failure_domain: heartbeat.failure_domain.as_str().into(),
            leaving: heartbeat.leaving,
            configuration_version: heartbeat.configuration_version,
        },
        owned: owned.collect(),
        rumors: rumors.collect(),
    }
}
