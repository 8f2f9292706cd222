//! The stand-in servers of the platform, without a proxy.

use std::time::Duration;

use chervilwharf_standin::platform::client::Client;
use chervilwharf_standin::platform::repetition::Cut;
use chervilwharf_standin::platform::repetition::Repetition;
use chervilwharf_standin::platform::repetition::RepliesOf;
use chervilwharf_standin::platform::servers::Group;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which a server has sent all repetitions.
const QUIET_AFTER: Duration = Duration::from_millis(500);

const DELAY: Duration = Duration::from_millis(20);

const READ_REPLY: &str = "ROW none\r\nROW rows2-a row 2\r\nDONE sig.i-db-0.q0\r\nREADY I 1.0\r\n";

const START_REPLY: &str = "READY I 1.0\r\n";

fn every_reply_of_clients() -> Repetition {
    Repetition::new(1.0, DELAY..=DELAY, 1).with_replies_of(RepliesOf::Clients)
}

/// Sends START and statements to a server that repeats replies, and returns all that it sends.
async fn received(repetition: Repetition, statements: &[&str]) -> String {
    let group = Group::start("db", 1, Duration::ZERO).await;
    group.repeat_replies(0, Some(repetition));
    let mut stream = TcpStream::connect(group.address(0)).await.unwrap();
    stream.write_all(b"START db test\r\n").await.unwrap();
    for (number, statement) in statements.iter().enumerate() {
        let line = format!("QUERY q{number} {statement}\r\n");
        stream.write_all(line.as_bytes()).await.unwrap();
    }
    tokio::time::sleep(QUIET_AFTER).await;
    let mut bytes = vec![0; 64 * 1_024];
    let count = stream.try_read(&mut bytes).unwrap();
    String::from_utf8(bytes[..count].to_vec()).unwrap()
}

/// Guards against a stand-in that repeats nothing, or another part than was asked for, so that
/// tests of proxies pass without the fault.
#[tokio::test]
async fn test_repetitions_are_the_part_of_the_reply_that_was_asked_for() {
    let rows = READ_REPLY.find("DONE").unwrap();
    let without_ready = READ_REPLY.find("READY").unwrap();
    for (cut, length) in
        [(Cut::Whole, READ_REPLY.len()), (Cut::Rows, rows), (Cut::WithoutReady, without_ready)]
    {
        let text = received(every_reply_of_clients().with_cut(cut), &["READ rows2-a"]).await;
        assert_eq!(text, format!("{START_REPLY}{READ_REPLY}{}", &READ_REPLY[..length]));
    }
    let text = received(every_reply_of_clients().with_cut(Cut::AnyByte), &["READ rows2-a"]).await;
    let repeated = text.strip_prefix(&format!("{START_REPLY}{READ_REPLY}")).unwrap();
    assert!(!repeated.is_empty() && READ_REPLY.starts_with(repeated), "{repeated:?}");
}

#[tokio::test]
async fn test_several_replies_are_repeated_in_their_order() {
    let repetition = every_reply_of_clients().with_replies(2..=2);
    let text = received(repetition, &["READ a", "READ b"]).await;
    let signatures: Vec<_> = text.lines().filter(|line| line.starts_with("DONE")).collect();
    let [first, second] = ["DONE sig.i-db-0.q0", "DONE sig.i-db-0.q1"];
    assert_eq!(signatures, [first, second, first, first, second]);
}

#[tokio::test]
async fn test_reply_to_start_is_repeated() {
    let repetition = Repetition::new(1.0, DELAY..=DELAY, 1).with_replies_of(RepliesOf::Start);
    assert_eq!(received(repetition, &[]).await, START_REPLY.repeat(2));
}

/// Guards against a stand-in that ends a connection, or all of its servers, on a statement that
/// a server of the platform refuses.
#[tokio::test]
async fn test_malformed_statements_are_refused_and_the_session_goes_on() {
    let group = Group::start("db", 1, Duration::ZERO).await;
    let mut client = Client::start(group.address(0), "db").await;
    let malformed = [
        "",
        "WRITE",
        "WRITE a",
        "SET",
        "SET a",
        "PREPARE",
        "PREPARE s READ",
        "EXECUTE",
        "EXECUTE s",
        "AFTER",
        "AFTER 1.1",
        "DEMOTE",
        "DEMOTE x",
        "OTHER",
    ];
    for text in malformed {
        assert_eq!(client.query(text).await.code(), "MALFORMED", "{text:?}");
    }
    assert_eq!(client.query("DEALLOC s").await.code(), "NOSTMT");
    for text in ["ROLLBACK", "BEGIN READ", "PREPARE s READ shape", "SET a b", "ROLLBACK"] {
        assert_eq!(client.query(text).await.code(), "DONE", "{text:?}");
    }
    assert_eq!(client.query("EXECUTE s a").await.rows, ["none"]);
    assert_eq!(client.query("READ a").await.rows, ["none"]);
}
