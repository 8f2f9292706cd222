//! Exchanges with other instances whose messages may be long, such as a configuration with
//! some thousand routes.
//!
//! The time of such an exchange depends on the length of the messages and on the bandwidth
//! of the links. So it is not limited as a whole; it fails when no further part of a
//! message is sent or received for a while. Each exchange has a connection of its own, so
//! that heartbeats on the kept link do not wait for it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chervilwharf_lib::engine_protos::EngineFrame;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use futures::SinkExt;
use prost::Message;

use crate::engine::peers;
use crate::engine::peers::Frames;
use crate::engine::peers::PeerError;
use crate::engine::sent_bytes;

/// Longest time in which no further part of a message is sent or received.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a request to another instance and waits for the answer, as long as parts of it
/// arrive.
///
/// # Errors
///
/// When the connection cannot be opened, when the transfer stalls, or when no valid answer
/// arrives.
pub async fn transfer(address: SocketAddr, body: Body) -> Result<Body, PeerError> {
    transfer_on(peers::frames(peers::connect(address).await?), body).await
}

/// As [`transfer`], on a connection that is open already.
///
/// # Errors
///
/// When the transfer stalls, or when no valid answer arrives.
pub(super) async fn transfer_on(mut frames: Frames, body: Body) -> Result<Body, PeerError> {
    send(&mut frames, &EngineFrame { exchange_id: 1, body: Some(body) }).await?;
    receive(&mut frames).await?.body.ok_or(PeerError::Unreadable)
}

async fn send(frames: &mut Frames, frame: &EngineFrame) -> Result<(), PeerError> {
    let bytes = Bytes::from(frame.encode_to_vec());
    if let Ok(address) = frames.get_ref().peer_addr() {
        sent_bytes::count_request(frame.body.as_ref(), address, bytes.len());
    }
    frames.feed(bytes).await.map_err(|error| peers::unreachable(&error))?;
    loop {
        let unsent_bytes = frames.write_buffer().len();
        match tokio::time::timeout(STALL_TIMEOUT, SinkExt::<Bytes>::flush(frames)).await {
            Ok(flushed) => return flushed.map_err(|error| peers::unreachable(&error)),
            Err(_) if frames.write_buffer().len() < unsent_bytes => {}
            Err(_) => return Err(PeerError::TimedOut),
        }
    }
}

async fn receive(frames: &mut Frames) -> Result<EngineFrame, PeerError> {
    loop {
        let received_bytes = frames.read_buffer().len();
        match tokio::time::timeout(STALL_TIMEOUT, peers::read_frame(frames)).await {
            Ok(frame) => return frame,
            Err(_) if frames.read_buffer().len() > received_bytes => {}
            Err(_) => return Err(PeerError::Incomplete(received_bytes)),
        }
    }
}
