//! Connections between instances that run the session engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
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
use tokio::time::error::Elapsed;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::engine::event_log;
use crate::engine::socket;

/// Longest frame: a configuration of some thousand routes.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Time for an answer, connecting included: many times a round trip of 3 ms,
/// short enough that several tries fit into the time to notice a dead primary.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Why another instance gave no answer.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum PeerError {
    /// it cannot be reached: {0}
    Unreachable(String),
    /// it did not answer in time
    Silent,
    /// its answer cannot be read
    Unreadable,
}

fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

fn unreachable(error: &std::io::Error) -> PeerError {
    PeerError::Unreachable(error.to_string())
}

/// Why an exchange on a link gave no answer.
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

/// A connection to another instance, opened when it is needed, for one
/// exchange at a time.
#[derive(Default)]
pub struct PeerLink {
    frames: Option<Frames>,
    last_exchange_id: u64,
}

impl PeerLink {
    /// Whether it is connected and the other side has not closed it, as far as
    /// can be told without asking.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let Some(frames) = &self.frames else {
            return false;
        };
        let mut byte = [0_u8; 1];
        let read = frames.get_ref().try_read(&mut byte);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Connects, unless it is connected.
    ///
    /// # Errors
    ///
    /// When no connection can be opened in time.
    pub async fn open(&mut self, address: SocketAddr) -> Result<(), PeerError> {
        if self.frames.is_none() {
            self.frames = Some(frames(connect(address).await?));
        }
        Ok(())
    }

    /// Asks and waits for the answer. Dropped early it closes the connection.
    ///
    /// # Errors
    ///
    /// When no connection could be opened, or no answer came.
    pub async fn exchange(&mut self, address: SocketAddr, body: Body) -> Result<Body, LinkError> {
        // Taken out, so that a connection on which an answer is still to come
        // is closed when this future is dropped.
        self.open(address).await.map_err(LinkError::NotConnected)?;
        let Some(mut frames) = self.frames.take() else {
            return Err(PeerError::Unreadable.into());
        };
        self.last_exchange_id += 1;
        let exchange_id = self.last_exchange_id;
        let frame = EngineFrame { exchange_id, body: Some(body) };
        frames
            .send(Bytes::from(frame.encode_to_vec()))
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

async fn read_frame(frames: &mut Frames) -> Result<EngineFrame, PeerError> {
    let bytes: BytesMut = match frames.next().await {
        Some(Ok(bytes)) => bytes,
        Some(Err(error)) => return Err(unreachable(&error)),
        None => return Err(PeerError::Unreachable("closed".to_owned())),
    };
    EngineFrame::decode(bytes).map_err(|_| PeerError::Unreadable)
}

/// Links to other instances, opened when they are needed.
#[derive(Default)]
pub struct Peers {
    links: Mutex<HashMap<SocketAddr, SharedLink>>,
}

type SharedLink = Arc<tokio::sync::Mutex<PeerLink>>;

fn flatten(answer: Result<Result<Body, LinkError>, Elapsed>) -> Result<Body, PeerError> {
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(LinkError::NotConnected(error) | LinkError::Failed(error))) => Err(error),
        Err(_) => Err(PeerError::Silent),
    }
}

/// Asks on the kept link, and on a new one as well if that gives no answer.
async fn ask_twice(link: &SharedLink, address: SocketAddr, body: Body) -> Result<Body, LinkError> {
    let is_kept = link.try_lock().is_ok_and(|link| link.is_open());
    if !is_kept {
        return link.lock().await.exchange(address, body).await;
    }
    let on_kept = body.clone();
    let mut asking = Box::pin(async move { link.lock().await.exchange(address, on_kept).await });
    if let Ok(answer) = tokio::time::timeout(LIVENESS_TIMEOUT, &mut asking).await {
        return answer;
    }
    let mut fresh = PeerLink::default();
    let answer = tokio::select! {
        Ok(answer) = &mut asking => return Ok(answer),
        answer = fresh.exchange(address, body) => answer?,
    };
    // Closes the link that gave no answer.
    drop(asking);
    keep(link, fresh);
    Ok(answer)
}

/// Keeps a new link in place of the one before, unless that is in use.
fn keep(link: &SharedLink, fresh: PeerLink) {
    if let Ok(mut kept) = link.try_lock() {
        *kept = fresh;
    }
}

impl Peers {
    /// Asks another instance.
    ///
    /// A kept link can go silent without a reset. So that a living instance does not look
    /// silent, the question is asked again on a new link.
    ///
    /// # Errors
    ///
    /// When no answer came in time.
    pub async fn ask(&self, address: SocketAddr, body: Body) -> Result<Body, PeerError> {
        let link = self.link(address);
        flatten(tokio::time::timeout(ASK_TIMEOUT, ask_twice(&link, address, body)).await)
    }

    /// Asks another instance on a new link, within `limit`.
    ///
    /// # Errors
    ///
    /// When no answer came in time.
    pub async fn ask_on_new_link(
        &self,
        address: SocketAddr,
        body: Body,
        limit: Duration,
    ) -> Result<Body, PeerError> {
        let mut fresh = PeerLink::default();
        let exchange = fresh.exchange(address, body);
        let answer = flatten(tokio::time::timeout(limit, exchange).await)?;
        keep(&self.link(address), fresh);
        Ok(answer)
    }

    fn link(&self, address: SocketAddr) -> SharedLink {
        let mut links = self.links.lock().expect("never poisoned");
        links.entry(address).or_default().clone()
    }

    /// Opens a stream to a server through another instance that reaches it.
    ///
    /// # Errors
    ///
    /// When the other instance cannot be reached, or does not reach it either.
    pub async fn tunnel(
        &self,
        address: SocketAddr,
        tunnel: Tunnel,
    ) -> Result<TcpStream, PeerError> {
        let mut frames = frames(connect(address).await?);
        let frame = EngineFrame { exchange_id: 1, body: Some(Body::Tunnel(tunnel)) };
        let asking = async {
            let sent = frames.send(Bytes::from(frame.encode_to_vec())).await;
            sent.map_err(|error| unreachable(&error))?;
            read_frame(&mut frames).await
        };
        let reply = tokio::time::timeout(ASK_TIMEOUT, asking).await;
        match reply.unwrap_or(Err(PeerError::Silent))?.body {
            // The server speaks only when spoken to: nothing is buffered yet.
            Some(Body::TunnelReply(reply)) if reply.connected => Ok(frames.into_inner()),
            Some(Body::TunnelReply(_)) => {
                Err(PeerError::Unreachable("the server, from there".to_owned()))
            }
            _ => Err(PeerError::Unreadable),
        }
    }

    /// Closes links to addresses that are not in use any more.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        let mut links = self.links.lock().expect("never poisoned");
        links.retain(|address, _| addresses.contains(address));
    }
}

/// Serves statements of another instance, one at a time.
#[async_trait]
pub trait ForwardedStatementHandler: Send {
    /// Runs a statement.
    async fn run(&mut self, statement: Statement) -> StatementReply;
}

/// Answers other instances.
pub trait PeerHandler: Send + Sync {
    /// The answer to a question; `None` if it is none.
    fn answer(&self, question: Body) -> Option<Body>;

    /// Serves statements of another instance's clients on one link.
    fn forwarded_session(self: Arc<Self>) -> Box<dyn ForwardedStatementHandler>;

    /// Address of a server for a tunnel; `None` if it is not known.
    fn tunnel_target(&self, tunnel: &Tunnel) -> Option<SocketAddr>;
}

/// Answers other instances for ever.
pub async fn serve(handler: Arc<dyn PeerHandler>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::spawn(async move { answer_all(handler, stream).await });
            }
            Err(error) => {
                event_log::emit(&Event::new(EventKind::PeerFailed).with("reason", error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn answer_all(handler: Arc<dyn PeerHandler>, stream: TcpStream) {
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
            carry_tunnel(frames, frame.exchange_id, target).await;
            return;
        }
        let body = match frame.body {
            Some(Body::Statement(statement)) => {
                let forwarded_session =
                    forwarded_session.get_or_insert_with(|| handler.clone().forwarded_session());
                Some(Body::StatementReply(forwarded_session.run(statement).await))
            }
            Some(question) => handler.answer(question),
            None => None,
        };
        let Some(body) = body else {
            let event = Event::new(EventKind::PeerFailed);
            event_log::emit(&event.with("reason", "it sent something that is no question"));
            return;
        };
        let answer = EngineFrame { exchange_id: frame.exchange_id, body: Some(body) };
        if frames.send(Bytes::from(answer.encode_to_vec())).await.is_err() {
            return;
        }
    }
}

/// Connects a stream of another instance with a server, until either closes.
async fn carry_tunnel(mut frames: Frames, exchange_id: u64, target: Option<SocketAddr>) {
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
    // Either end closing, or failing, is the usual end of a tunnel.
    let _ended = tokio::io::copy_bidirectional(&mut stream, &mut server).await;
}

/// Opens a stream within the time for an answer.
///
/// # Errors
///
/// When it cannot be opened in time.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, PeerError> {
    match tokio::time::timeout(ASK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            socket::configure(&stream).map_err(|error| unreachable(&error))?;
            Ok(stream)
        }
        Ok(Err(error)) => Err(unreachable(&error)),
        Err(_) => Err(PeerError::Silent),
    }
}
