//! Receiving side of links: accepts connections of other instances and answers
//! their messages.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::protos::Configuration;
use chervilwharf_lib::protos::Frame;
use chervilwharf_lib::protos::Handover;
use chervilwharf_lib::protos::HandoverReply;
use chervilwharf_lib::protos::Heartbeat;
use chervilwharf_lib::protos::frame::Body;
use futures::SinkExt;
use futures::StreamExt;
use log::warn;
use prost::Message;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;

use crate::context::Shared;
use crate::control;
use crate::dispatch;
use crate::inquiry;
use crate::link;
use crate::transaction::LINK;

/// Timeout for the first message of a link, which identifies and authenticates the
/// instance that opened it.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which the offer of a handover is accepted or refused.
const HANDOVER_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// The newest link of each instance.
#[derive(Default)]
struct NewestLinks {
    by_instance: Mutex<HashMap<String, (u64, oneshot::Sender<()>)>>,
}

impl NewestLinks {
    /// Registers a link and closes an older one of the same instance. The sender
    /// no longer waits for replies to the messages still in transit on the older link and
    /// may have resent them on this one, so they must not arrive later.
    ///
    /// Returns `None` if the instance already has a link with a number at least as
    /// high; otherwise a receiver that completes when a newer link replaces this
    /// one.
    fn register(&self, instance: &str, number: u64) -> Option<oneshot::Receiver<()>> {
        let mut links = self.by_instance.lock().expect("never poisoned");
        if links.get(instance).is_some_and(|(newest, _)| *newest >= number) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        links.insert(instance.to_owned(), (number, sender));
        Some(receiver)
    }
}

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(1);

/// Accepts links until the process ends.
pub async fn accept(context: Shared, listener: TcpListener) {
    let newest: Arc<NewestLinks> = Arc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(context.clone(), stream, newest.clone()));
    }
}

async fn serve(context: Shared, stream: TcpStream, newest: Arc<NewestLinks>) {
    let mut framed = Framed::new(stream, link::codec());
    let first = tokio::time::timeout(HELLO_TIMEOUT, framed.next()).await;
    let Ok(Some(Ok(bytes))) = first else {
        return;
    };
    let Some(instance_and_number) = check_hello(&context, &bytes) else {
        warn!("refused a link: its first message has no valid proof of the peer key");
        return;
    };
    let (instance, number) = instance_and_number;
    let Some(mut superseded) = newest.register(&instance, number) else {
        return;
    };
    let link_id = NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed);
    let (answers, mut queue) = mpsc::unbounded_channel::<Bytes>();
    let (mut sink, mut stream) = framed.split();
    loop {
        tokio::select! {
            incoming = stream.next() => {
                let Some(Ok(bytes)) = incoming else { break };
                let Ok(frame) = Frame::decode(bytes) else { break };
                let Some(body) = frame.body else { break };
                let work = answer(context.clone(), frame.exchange_id, body, answers.clone());
                tokio::spawn(LINK.scope(link_id, work));
            }
            Some(bytes) = queue.recv() => {
                if sink.feed(bytes).await.is_err() { break }
                while let Ok(bytes) = queue.try_recv() {
                    if sink.feed(bytes).await.is_err() { break }
                }
                if sink.flush().await.is_err() { break }
            }
            _ = &mut superseded => break,
        }
    }
    context.transactions.roll_back_link(link_id);
}

/// Returns instance and link number of a link's first message if its proof is
/// valid.
fn check_hello(context: &Shared, bytes: &[u8]) -> Option<(String, u64)> {
    let frame = Frame::decode(bytes).ok()?;
    let Some(Body::Hello(hello)) = frame.body else {
        return None;
    };
    let key = &context.settings.peer_key;
    let expected = link::proof(key, &hello.instance, hello.link_number);
    (expected == hello.proof).then_some((hello.instance, hello.link_number))
}

async fn answer(
    context: Shared,
    exchange_id: u64,
    body: Body,
    answers: mpsc::UnboundedSender<Bytes>,
) {
    let answer = match body {
        Body::Heartbeat(heartbeat) => Some(answer_heartbeat(&context, &heartbeat)),
        Body::Submit(submit) => Some(Body::Answer(dispatch::serve(context.clone(), submit).await)),
        Body::Describe(describe) => {
            Some(Body::Answer(dispatch::describe(context.clone(), describe).await))
        }
        Body::Inquiry(inquiry) => {
            Some(Body::InquiryReply(inquiry::answer(context.clone(), inquiry).await))
        }
        Body::Handover(offer) => Some(answer_handover(&context, &offer).await),
        Body::ConfigurationPull(_) => {
            let active = context.config();
            let text = active.text.to_string();
            Some(Body::Configuration(Configuration { version: active.version, text }))
        }
        Body::Rollback(rollback) => {
            context.transactions.roll_back(&rollback.transaction_id);
            None
        }
        // An instance that opened a link sends no answers on it.
        _ => None,
    };
    let Some(answer) = answer else {
        return;
    };
    let is_control = matches!(answer, Body::HeartbeatReply(_));
    let bytes = link::encode(exchange_id, answer);
    context.links.counters().count(&bytes, is_control);
    // Fails if the link has closed; the other instance then retries.
    let _ = answers.send(bytes);
}

fn answer_heartbeat(context: &Shared, heartbeat: &Heartbeat) -> Body {
    let body = link::heartbeat_from_wire(heartbeat);
    context.databases.handle(InstanceEvent::Heartbeat(body));
    let reply = context.databases.instance.heartbeat_body();
    Body::HeartbeatReply(link::heartbeat_to_wire(&reply, heartbeat.sequence))
}

/// Answers the offer of a handover. A preparing offer opens connections to the
/// servers of the database. Any other offer takes the database over, and accepts
/// once this instance serves it, so that the former owner can redirect requests
/// without a gap.
async fn answer_handover(context: &Shared, offer: &Handover) -> Body {
    let database = offer.database.as_str().into();
    if offer.prepare {
        let prepare = control::prepare_connections(context, &database);
        let accepted = tokio::time::timeout(HANDOVER_ANSWER_TIMEOUT, prepare).await.is_ok();
        return Body::HandoverReply(HandoverReply { accepted });
    }
    context.databases.handle(InstanceEvent::HandoverOffered { database, term: offer.term });
    let deadline = tokio::time::Instant::now() + HANDOVER_ANSWER_TIMEOUT;
    let mut accepted = false;
    while tokio::time::Instant::now() < deadline {
        let changed = context.databases.changed.notified();
        let serving = context.databases.with_database(&offer.database, |state| {
            (state.ownership.serving().is_some(), state.ownership.owns_or_is_taking())
        });
        match serving {
            Some((true, _)) => {
                accepted = true;
                break;
            }
            Some((false, true)) => {}
            _ => break,
        }
        let _ = tokio::time::timeout(Duration::from_millis(2), changed).await;
    }
    Body::HandoverReply(HandoverReply { accepted })
}
