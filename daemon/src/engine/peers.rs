//! Connections between instances: requests to other instances, and the server that
//! answers theirs.
//!
//! The messages are frames of a length prefix and an encoded [`EngineFrame`]. A *link* is
//! such a connection; it carries one exchange of a request and its answer at a time. A
//! connection can also become a *tunnel*: a byte stream to a database server through an
//! instance that reaches the server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
use chervilwharf_lib::engine_protos::DirectoryPull;
use chervilwharf_lib::engine_protos::DirectoryState;
use chervilwharf_lib::engine_protos::EngineFrame;
use chervilwharf_lib::engine_protos::Statement;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::Tunnel;
use chervilwharf_lib::engine_protos::TunnelReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use displaydoc::Display;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::error::Elapsed;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::engine::event_log;
use crate::engine::sent_bytes;
use crate::engine::socket;

/// Longest frame; enough for a configuration of some thousand routes.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Longest time for an answer, connecting included: many times a round trip of 3 ms, and
/// short enough that several attempts fit into the time to detect a failed primary.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection to another instance.
pub(super) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Why another instance gave no answer.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum PeerError {
    /// unreachable: {0}
    Unreachable(String),
    /// unreachable: the connection was refused
    Refused,
    /// no answer in time
    TimedOut,
    /// the other instance sends as many lists as it can
    Busy,
    /// no more of the answer arrived after {0} bytes
    Incomplete(usize),
    /// the answer cannot be decoded, or belongs to another request
    Unreadable,
}

/// Wraps a connection to another instance.
pub(super) fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// The error of a failed connection.
pub(super) fn unreachable(error: &std::io::Error) -> PeerError {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => PeerError::Refused,
        _ => PeerError::Unreachable(error.to_string()),
    }
}

/// Why an exchange on a link gave no answer, by whether the request was sent.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum LinkError {
    /// no connection: {0}
    NotConnected(PeerError),
    /// no answer: {0}
    Failed(PeerError),
}

impl From<PeerError> for LinkError {
    fn from(error: PeerError) -> Self {
        Self::Failed(error)
    }
}

/// A connection to another instance, opened on demand, for one exchange at a time.
#[derive(Default)]
pub struct PeerLink {
    frames: Option<Frames>,
    last_exchange_id: u64,
}

impl PeerLink {
    /// Whether the link is connected, the other side has not closed it, and nothing has
    /// arrived on it since the last answer, as far as the local socket shows it; sends
    /// nothing. Otherwise the connection is closed: no exchange is outstanding, so what has
    /// arrived belongs to none, and the check may have read a part of it.
    #[must_use]
    pub fn is_open(&mut self) -> bool {
        let is_open = self.frames.as_ref().is_some_and(|frames| {
            let mut byte = [0_u8; 1];
            let read = frames.get_ref().try_read(&mut byte);
            let is_silent = read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
            is_silent && frames.read_buffer().is_empty()
        });
        if !is_open {
            self.frames = None;
        }
        is_open
    }

    /// Connects the link, unless it is open.
    ///
    /// # Errors
    ///
    /// When the connection cannot be opened in time.
    pub async fn open(&mut self, address: SocketAddr) -> Result<(), PeerError> {
        if !self.is_open() {
            self.frames = Some(frames(connect(address).await?));
        }
        Ok(())
    }

    /// Sends a request and waits for the answer. Dropping the future before it completes
    /// closes the connection.
    ///
    /// # Errors
    ///
    /// When the connection cannot be opened, or no valid answer arrives.
    pub async fn exchange(&mut self, address: SocketAddr, body: Body) -> Result<Body, LinkError> {
        // The connection is taken out of the link, so that dropping this future closes it
        // while an answer is outstanding.
        self.open(address).await.map_err(LinkError::NotConnected)?;
        let Some(mut frames) = self.frames.take() else {
            return Err(PeerError::Unreadable.into());
        };
        self.last_exchange_id += 1;
        let exchange_id = self.last_exchange_id;
        let frame = EngineFrame { exchange_id, body: Some(body) };
        let bytes = frame.encode_to_vec();
        sent_bytes::count_request(frame.body.as_ref(), address, bytes.len());
        frames
            .send(Bytes::from(bytes))
            .await
            .map_err(|error| LinkError::Failed(unreachable(&error)))?;
        let answer = read_frame(&mut frames).await?;
        if answer.exchange_id != exchange_id {
            return Err(PeerError::Unreadable.into());
        }
        self.frames = Some(frames);
        answer.body.ok_or_else(|| PeerError::Unreadable.into())
    }
}

/// Reads one message. A call that is cancelled loses no bytes.
pub(super) async fn read_frame(frames: &mut Frames) -> Result<EngineFrame, PeerError> {
    let bytes: BytesMut = match frames.next().await {
        Some(Ok(bytes)) => bytes,
        Some(Err(error)) => return Err(unreachable(&error)),
        None => return Err(PeerError::Unreachable("closed".to_owned())),
    };
    EngineFrame::decode(bytes).map_err(|_| PeerError::Unreadable)
}

/// Links to other instances, one for each address, opened on demand.
#[derive(Default)]
pub struct Peers {
    links: Mutex<HashMap<SocketAddr, SharedLink>>,
}

type SharedLink = Arc<tokio::sync::Mutex<PeerLink>>;

fn flatten(answer: Result<Result<Body, LinkError>, Elapsed>) -> Result<Body, PeerError> {
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(LinkError::NotConnected(error) | LinkError::Failed(error))) => Err(error),
        Err(_) => Err(PeerError::TimedOut),
    }
}

/// Sends a request on the kept link, and on a new one as well if the kept link yields no
/// answer within [`LIVENESS_TIMEOUT`]. Returns the first answer.
async fn ask_on_kept_or_new_link(
    link: &SharedLink,
    address: SocketAddr,
    body: Body,
) -> Result<Body, LinkError> {
    let is_kept = link.try_lock().is_ok_and(|mut link| link.is_open());
    if !is_kept {
        return link.lock().await.exchange(address, body).await;
    }
    let body_on_kept = body.clone();
    let mut pending =
        Box::pin(async move { link.lock().await.exchange(address, body_on_kept).await });
    if let Ok(answer) = tokio::time::timeout(LIVENESS_TIMEOUT, &mut pending).await {
        return answer;
    }
    let mut new_link = PeerLink::default();
    let answer = tokio::select! {
        Ok(answer) = &mut pending => return Ok(answer),
        answer = new_link.exchange(address, body) => answer?,
    };
    // Closes the connection that yielded no answer.
    drop(pending);
    keep(link, new_link);
    Ok(answer)
}

/// Replaces a kept link by a new one, unless the kept link is in use.
fn keep(link: &SharedLink, new_link: PeerLink) {
    if let Ok(mut kept) = link.try_lock() {
        *kept = new_link;
    }
}

impl Peers {
    /// Sends a request to another instance and waits for the answer.
    ///
    /// A connection can stop delivering data without a reset. So that an instance which
    /// runs does not appear unresponsive, the request is then sent again on a new link.
    ///
    /// # Errors
    ///
    /// When no valid answer arrives in time.
    pub async fn ask(&self, address: SocketAddr, body: Body) -> Result<Body, PeerError> {
        let link = self.link(address);
        flatten(
            tokio::time::timeout(REQUEST_TIMEOUT, ask_on_kept_or_new_link(&link, address, body))
                .await,
        )
    }

    /// Sends a request to another instance on a new link and waits for the answer, at most
    /// for `limit`. The new link replaces the kept one, unless that is in use.
    ///
    /// # Errors
    ///
    /// When no valid answer arrives in time.
    pub async fn ask_on_new_link(
        &self,
        address: SocketAddr,
        body: Body,
        limit: Duration,
    ) -> Result<Body, PeerError> {
        let mut new_link = PeerLink::default();
        let exchange = new_link.exchange(address, body);
        let answer = flatten(tokio::time::timeout(limit, exchange).await)?;
        keep(&self.link(address), new_link);
        Ok(answer)
    }

    fn link(&self, address: SocketAddr) -> SharedLink {
        let mut links = self.links.lock().expect("never poisoned");
        links.entry(address).or_default().clone()
    }

    /// Opens a byte stream to a database server through another instance.
    ///
    /// # Errors
    ///
    /// When the other instance cannot be reached, or cannot reach the server either.
    pub async fn tunnel(
        &self,
        address: SocketAddr,
        tunnel: Tunnel,
    ) -> Result<TcpStream, PeerError> {
        let mut frames = frames(connect(address).await?);
        let frame = EngineFrame { exchange_id: 1, body: Some(Body::Tunnel(tunnel)) };
        let pending = async {
            let bytes = frame.encode_to_vec();
            sent_bytes::count_request(frame.body.as_ref(), address, bytes.len());
            let sent = frames.send(Bytes::from(bytes)).await;
            sent.map_err(|error| unreachable(&error))?;
            read_frame(&mut frames).await
        };
        let reply = tokio::time::timeout(REQUEST_TIMEOUT, pending).await;
        match reply.unwrap_or(Err(PeerError::TimedOut))?.body {
            // The server sends nothing before it receives a message, so that no bytes
            // of the tunnel are buffered in `frames`.
            Some(Body::TunnelReply(reply)) if reply.connected => Ok(frames.into_inner()),
            Some(Body::TunnelReply(_)) => {
                Err(PeerError::Unreachable("the other instance cannot reach the server".to_owned()))
            }
            _ => Err(PeerError::Unreadable),
        }
    }

    /// Closes the links to all addresses but these.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        let mut links = self.links.lock().expect("never poisoned");
        links.retain(|address, _| addresses.contains(address));
    }
}

/// Runs statements that another instance forwards on one link, one at a time.
#[async_trait]
pub trait ForwardedStatementHandler: Send {
    /// Runs a statement and returns its reply.
    async fn run(&mut self, statement: Statement) -> StatementReply;
}

/// Answers the requests of other instances.
pub trait PeerHandler: Send + Sync {
    /// Returns the answer to a request; `None` if the message is not a request.
    fn answer(&self, request: Body) -> Option<Body>;

    /// Reserves the memory for an answer with all records until the permit is dropped; `None`
    /// if too many of them are being sent.
    fn whole_list_permit(&self) -> Option<OwnedSemaphorePermit>;

    /// Creates the handler for the statements that another instance forwards on one link.
    fn forwarded_session(self: Arc<Self>) -> Box<dyn ForwardedStatementHandler>;

    /// Address of the server that a tunnel leads to; `None` if the server is not known.
    fn tunnel_target(&self, tunnel: &Tunnel) -> Option<SocketAddr>;
}

/// Accepts connections of other instances and answers their requests; never returns.
pub async fn serve(handler: Arc<dyn PeerHandler>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::spawn(async move { serve_connection(handler, stream).await });
            }
            Err(error) => {
                event_log::emit(&Event::new(EventKind::PeerFailed).with("reason", error));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Delay after the operating system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

async fn serve_connection(handler: Arc<dyn PeerHandler>, stream: TcpStream) {
    if let Err(error) = socket::configure(&stream) {
        event_log::emit(&Event::new(EventKind::PeerFailed).with("reason", error));
        return;
    }
    let mut frames = frames(stream);
    let mut forwarded_session: Option<Box<dyn ForwardedStatementHandler>> = None;
    while let Ok(frame) = read_frame(&mut frames).await {
        if let Some(Body::Tunnel(tunnel)) = &frame.body {
            let target = handler.tunnel_target(tunnel);
            let event = Event::new(EventKind::TunnelOpened).with("group", &tunnel.group);
            event_log::emit(&event.with("server", &tunnel.server).with_some("address", target));
            run_tunnel(frames, frame.exchange_id, target).await;
            return;
        }
        let mut permit = None;
        let body = match frame.body {
            Some(Body::DirectoryPull(pull)) if asks_for_whole_list(&pull) => {
                permit = handler.whole_list_permit();
                match permit {
                    Some(_) => handler.answer(Body::DirectoryPull(pull)),
                    None => Some(Body::DirectoryState(DirectoryState::default())),
                }
            }
            Some(Body::Statement(statement)) => {
                let forwarded_session =
                    forwarded_session.get_or_insert_with(|| handler.clone().forwarded_session());
                Some(Body::StatementReply(forwarded_session.run(statement).await))
            }
            Some(request) => handler.answer(request),
            None => None,
        };
        let Some(body) = body else {
            let event = Event::new(EventKind::PeerFailed);
            event_log::emit(&event.with("reason", "received a message that is not a request"));
            return;
        };
        let answer = EngineFrame { exchange_id: frame.exchange_id, body: Some(body) };
        let bytes = answer.encode_to_vec();
        if let Ok(address) = frames.get_ref().peer_addr() {
            sent_bytes::count_answer(answer.body.as_ref(), address, bytes.len());
        }
        if frames.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
        drop(permit);
    }
}

/// Whether a request can only be answered by all routes or all servers.
fn asks_for_whole_list(pull: &DirectoryPull) -> bool {
    pull.configuration_version == 0 || pull.servers_revision == 0 || !pull.accepts_changes
}

/// Copies bytes between another instance and a server until either side closes.
async fn run_tunnel(mut frames: Frames, exchange_id: u64, target: Option<SocketAddr>) {
    let server = match target {
        Some(target) => connect(target).await,
        None => Err(PeerError::Unreachable("not listed".to_owned())),
    };
    let reply = TunnelReply { connected: server.is_ok() };
    let answer = EngineFrame { exchange_id, body: Some(Body::TunnelReply(reply)) };
    let sent = frames.send(Bytes::from(answer.encode_to_vec())).await;
    let (Ok(mut server), Ok(())) = (server, sent) else {
        return;
    };
    let mut stream = frames.into_inner();
    let (instance_address, server_address) = (stream.peer_addr(), server.peer_addr());
    let ended = tokio::io::copy_bidirectional(&mut stream, &mut server).await;
    // A tunnel that ends with an error, rather than closed by both sides, reports no bytes.
    if let (Ok((to_server, to_instance)), Ok(instance_address), Ok(server_address)) =
        (ended, instance_address, server_address)
    {
        let to_server = usize::try_from(to_server).unwrap_or(usize::MAX);
        sent_bytes::count(sent_bytes::TUNNELLED, server_address, to_server);
        sent_bytes::count_tunnelled_back(instance_address, to_instance);
    }
}

/// Opens a TCP connection within the time for an answer.
///
/// # Errors
///
/// When the connection cannot be opened in time.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, PeerError> {
    match tokio::time::timeout(REQUEST_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            socket::configure(&stream).map_err(|error| unreachable(&error))?;
            Ok(stream)
        }
        Ok(Err(error)) => Err(unreachable(&error)),
        Err(_) => Err(PeerError::TimedOut),
    }
}
