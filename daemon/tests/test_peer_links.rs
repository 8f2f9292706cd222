//! Links between instances, when the other instance sends an answer twice or late.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chervilwharf_daemon::engine::peers::PeerLink;
use chervilwharf_daemon::engine::peers::Peers;
use chervilwharf_lib::engine_protos::EngineFrame;
use chervilwharf_lib::engine_protos::Statement;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use tokio::net::TcpListener;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// How an instance answers.
#[derive(Clone, Copy)]
struct Answering {
    /// Time between a request and its answer.
    after: Duration,
    /// Time between an answer and its repetition; no repetition if `None`.
    again_after: Option<Duration>,
}

/// An instance that answers a statement with its id.
struct Instance {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

async fn start(answering: Answering) -> Instance {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections: Arc<AtomicUsize> = Arc::default();
    let counted = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
            tokio::spawn(async move {
                while let Some(Ok(bytes)) = frames.next().await {
                    let frame = EngineFrame::decode(bytes).unwrap();
                    let Some(Body::Statement(statement)) = frame.body else { return };
                    let reply = StatementReply { text: statement.id, ..Default::default() };
                    let body = Some(Body::StatementReply(reply));
                    let answer = EngineFrame { exchange_id: frame.exchange_id, body };
                    let bytes = Bytes::from(answer.encode_to_vec());
                    tokio::time::sleep(answering.after).await;
                    if let Some(again_after) = answering.again_after {
                        let sent = if again_after.is_zero() {
                            frames.feed(bytes.clone()).await
                        } else {
                            frames.send(bytes.clone()).await
                        };
                        if sent.is_err() {
                            return;
                        }
                        tokio::time::sleep(again_after).await;
                    }
                    if frames.send(bytes).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Instance { address, connections }
}

fn request(number: usize) -> Body {
    Body::Statement(Statement { id: number.to_string(), ..Statement::default() })
}

fn text(answer: Body) -> String {
    match answer {
        Body::StatementReply(reply) => reply.text,
        other => panic!("{other:?}"),
    }
}

async fn ask_in_turn(again_after: Duration, pause: Duration) -> Instance {
    let instance = start(Answering { after: Duration::ZERO, again_after: Some(again_after) }).await;
    let peers = Peers::default();
    for number in 0..5 {
        let answer = peers.ask(instance.address, request(number)).await;
        assert_eq!(answer.map(text).map_err(|error| error.to_string()), Ok(number.to_string()));
        tokio::time::sleep(pause).await;
    }
    instance
}

/// Guards against a request without an answer after the other instance repeated its answer to
/// the one before: the repetition arrives on the idle link, which must not be used again.
#[tokio::test]
async fn test_link_with_a_repeated_answer_is_replaced() {
    let pause = Duration::from_millis(40);
    let instance = ask_in_turn(Duration::from_millis(10), pause).await;
    assert_eq!(instance.connections.load(Ordering::SeqCst), 5);
}

/// Guards against the same if the repetition is read together with the answer.
#[tokio::test]
async fn test_link_with_an_answer_that_was_read_twice_is_replaced() {
    let instance = ask_in_turn(Duration::ZERO, Duration::from_millis(20)).await;
    assert_eq!(instance.connections.load(Ordering::SeqCst), 5);
}

/// Guards against an answer that is taken for that of a later request, if it arrives while the
/// later one waits for its own.
#[tokio::test]
async fn test_repeated_answer_is_not_taken_for_that_of_a_later_request() {
    let after = Duration::from_millis(30);
    let instance = start(Answering { after, again_after: Some(Duration::from_millis(10)) }).await;
    let mut link = PeerLink::default();
    let mut own = 0;
    for number in 0..6 {
        let exchange = link.exchange(instance.address, request(number));
        if let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(2), exchange).await {
            assert_eq!(text(answer), number.to_string());
            own += 1;
        }
    }
    assert!(own >= 3, "{own} of 6 requests were answered");
}

/// Guards against the answer to an abandoned request on a link that is used again.
#[tokio::test]
async fn test_answer_to_an_abandoned_request_reaches_no_later_one() {
    let instance = start(Answering { after: Duration::from_millis(50), again_after: None }).await;
    let mut link = PeerLink::default();
    for number in 0..6 {
        let exchange = link.exchange(instance.address, request(number));
        let limit = Duration::from_millis(if number % 2 == 0 { 10 } else { 2000 });
        let answer = tokio::time::timeout(limit, exchange).await;
        assert_eq!(answer.is_err(), number % 2 == 0, "request {number}");
        if let Ok(answer) = answer {
            assert_eq!(text(answer.unwrap()), number.to_string());
        }
    }
    assert_eq!(instance.connections.load(Ordering::SeqCst), 4);
}
