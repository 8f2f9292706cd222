//! A client that speaks the platform's wire protocol.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// Maximum wait for a reply, so that a test fails instead of hanging.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The complete reply to a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Rows of the result.
    pub rows: Vec<String>,
    /// Signature of the server that ran the statement; `-` if the proxy replied itself.
    pub signature: Option<String>,
    /// Code and text of the error, if there was one.
    pub error: Option<String>,
    /// State of the session: `I` (idle), `T` (in a transaction) or `E` (failed transaction).
    pub state: String,
    /// Position that the reply reports of the server's log.
    pub position: String,
}

impl Answer {
    /// Returns the code of the error, or "DONE" if there was none.
    #[must_use]
    pub fn code(&self) -> &str {
        match &self.error {
            Some(error) => error.split(' ').next().unwrap(),
            None => "DONE",
        }
    }
}

/// A client connection and the session on it.
pub struct Client {
    lines: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    next_id: u64,
    name: String,
}

impl Client {
    /// Connects and begins a session, which must succeed.
    pub async fn start(address: SocketAddr, database: &str) -> Self {
        let mut client = Self::connect(address, database).await;
        let answer = client.start_session(database).await.unwrap();
        assert_eq!((answer.code(), &*answer.state), ("DONE", "I"), "{answer:?}");
        client
    }

    /// Connects without beginning a session.
    pub async fn connect(address: SocketAddr, name: &str) -> Self {
        Self::try_connect(address, name).await.expect("the address accepts connections")
    }

    /// Like [`Self::connect`], but returns `None` if the connection cannot be opened.
    pub async fn try_connect(address: SocketAddr, name: &str) -> Option<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        let (read, write) = stream.into_split();
        let lines = BufReader::new(read).lines();
        let client = Self {
            lines,
            write,
            next_id: 0,
            name: format!("{name}-{:08x}", rand::random::<u32>()),
        };
        Some(client)
    }

    /// Begins a session. Returns `None` if the connection ended.
    pub async fn start_session(&mut self, database: &str) -> Option<Answer> {
        self.start_session_with_key(database, "me").await
    }

    /// Begins a session with the key of an account. Returns `None` if the connection ended.
    pub async fn start_session_with_key(&mut self, database: &str, key: &str) -> Option<Answer> {
        self.try_send(&format!("START {database} {key}\r\n")).await?;
        self.read_answer().await
    }

    /// Sends text without any encoding.
    pub async fn send(&mut self, text: &str) {
        self.try_send(text).await.expect("the connection is open");
    }

    async fn try_send(&mut self, text: &str) -> Option<()> {
        self.write.write_all(text.as_bytes()).await.ok()
    }

    /// Sends a statement under a new id and waits for the reply.
    pub async fn query(&mut self, text: &str) -> Answer {
        self.try_query(text).await.expect("the connection is open")
    }

    /// Like [`Self::query`], but returns `None` if the connection ended.
    pub async fn try_query(&mut self, text: &str) -> Option<Answer> {
        self.next_id += 1;
        let id = format!("{}-{}", self.name, self.next_id);
        self.try_send(&format!("QUERY {id} {text}\r\n")).await?;
        self.read_answer().await
    }

    /// Returns the id of the last statement.
    #[must_use]
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.next_id)
    }

    /// Waits for a complete reply. Returns `None` if the connection ended.
    pub async fn read_answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let line = tokio::time::timeout(ANSWER_TIMEOUT, self.lines.next_line());
            let line = line.await.expect("the reply arrives in time").ok()??;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "DONE" => answer.signature = Some(rest.to_owned()),
                "ERROR" => answer.error = Some(rest.to_owned()),
                "READY" => {
                    let (state, position) = rest.split_once(' ').unwrap();
                    state.clone_into(&mut answer.state);
                    position.clone_into(&mut answer.position);
                    return Some(answer);
                }
                other => panic!("unknown word {other}"),
            }
            if answer.error.is_some() && self.next_id == 0 {
                return Some(answer);
            }
        }
    }
}
