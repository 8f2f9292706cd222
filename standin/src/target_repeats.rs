//! A proxy in front of a server with the PostgreSQL protocol that sends replies, or parts of
//! them, once more.
//!
//! A reply is the sequence of messages up to and including `ReadyForQuery`. The reply to the
//! login is not repeated.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// The part of a reply that is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// All messages.
    Whole,
    /// All messages before the first `CommandComplete` or `ErrorResponse`.
    RowsWithoutEnd,
    /// The messages from the first `CommandComplete` or `ErrorResponse` on.
    EndWithoutRows,
    /// `ReadyForQuery` alone.
    ReadyForQuery,
}

/// Which replies are sent once more, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repetition {
    /// The part that is sent once more.
    pub part: Part,
    /// Time between the reply and its repetition. A repetition that is due while another
    /// reply is sent goes between two messages of that reply.
    pub delay: Duration,
    /// One of this many replies is repeated; 1 for each.
    pub one_in: u64,
}

/// A running proxy.
pub struct ReplyRepeater {
    /// Address to which clients connect.
    pub address: SocketAddr,
    repetition: watch::Sender<Option<Repetition>>,
    repeated: Arc<AtomicU64>,
}

impl ReplyRepeater {
    /// Starts a proxy on a free port of the loopback address, in front of the server at
    /// `upstream`. It repeats nothing at first.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let repetition = watch::Sender::new(None);
        let repeated = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, upstream, repetition.subscribe(), repeated.clone()));
        Ok(Self { address, repetition, repeated })
    }

    /// Sets which replies of open and new connections are repeated; none if `None`.
    pub fn set(&self, repetition: Option<Repetition>) {
        self.repetition.send_replace(repetition);
    }

    /// Number of repetitions so far.
    #[must_use]
    pub fn repeated_count(&self) -> u64 {
        self.repeated.load(Ordering::SeqCst)
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddr,
    repetition: watch::Receiver<Option<Repetition>>,
    repeated: Arc<AtomicU64>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let (repetition, repeated) = (repetition.clone(), repeated.clone());
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(upstream).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (mut from_client, to_client) = client.into_split();
            let (from_server, mut to_server) = server.into_split();
            let up = async {
                let _ = tokio::io::copy(&mut from_client, &mut to_server).await;
            };
            tokio::select! {
                () = up => {}
                _ = send_replies(from_server, to_client, &repetition, &repeated) => {}
            }
        });
    }
}

/// Reads one message with its type and length.
async fn read_message(server: &mut OwnedReadHalf) -> std::io::Result<Vec<u8>> {
    let mut head = [0; 5];
    server.read_exact(&mut head).await?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut message = vec![0; 1 + length.max(4)];
    message[..5].copy_from_slice(&head);
    server.read_exact(&mut message[5..]).await?;
    Ok(message)
}

async fn send_replies(
    mut server: OwnedReadHalf,
    mut client: OwnedWriteHalf,
    repetition: &watch::Receiver<Option<Repetition>>,
    repeated: &Arc<AtomicU64>,
) -> std::io::Result<()> {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let reading = sender.clone();
    tokio::spawn(async move {
        while let Ok(message) = read_message(&mut server).await {
            if reading.send((message, false)).is_err() {
                return;
            }
        }
        // An empty message ends the connection.
        let _ = reading.send((Vec::new(), false));
    });
    let mut reply: Vec<Vec<u8>> = Vec::new();
    let mut replies: u64 = 0;
    while let Some((message, is_repetition)) = messages.recv().await {
        if message.is_empty() {
            return Ok(());
        }
        client.write_all(&message).await?;
        if is_repetition {
            continue;
        }
        let ends_reply = message[0] == b'Z';
        reply.push(message);
        if !ends_reply {
            continue;
        }
        let sent = std::mem::take(&mut reply);
        replies += 1;
        let Some(wanted) = *repetition.borrow() else {
            continue;
        };
        if replies == 1 || replies % wanted.one_in != 0 {
            continue;
        }
        let bytes = part_of(&sent, wanted.part).concat();
        if bytes.is_empty() {
            continue;
        }
        repeated.fetch_add(1, Ordering::SeqCst);
        if wanted.delay.is_zero() {
            client.write_all(&bytes).await?;
            continue;
        }
        let later = sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wanted.delay).await;
            let _ = later.send((bytes, true));
        });
    }
    Ok(())
}

fn part_of(reply: &[Vec<u8>], part: Part) -> &[Vec<u8>] {
    let is_end = |message: &Vec<u8>| matches!(message[0], b'C' | b'E' | b'Z');
    let end = reply.iter().position(is_end).unwrap_or(reply.len());
    match part {
        Part::Whole => reply,
        Part::RowsWithoutEnd => &reply[..end],
        Part::EndWithoutRows => &reply[end..],
        Part::ReadyForQuery => &reply[reply.len() - 1..],
    }
}
