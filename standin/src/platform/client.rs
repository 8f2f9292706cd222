//! A client of the platform's wire.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// Longest wait for an answer before a test fails instead of hanging.
const PATIENCE: Duration = Duration::from_secs(20);

/// Longest wait for a connection.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Its rows.
    pub rows: Vec<String>,
    /// Signature of the server; `-` for an answer of the proxy.
    pub signature: Option<String>,
    /// Code and text of the error.
    pub error: Option<String>,
    /// State of the session.
    pub state: String,
    /// Position of the server's log.
    pub position: String,
}

impl Answer {
    /// The code of the error, or "DONE".
    #[must_use]
    pub fn code(&self) -> &str {
        match &self.error {
            Some(error) => error.split(' ').next().unwrap(),
            None => "DONE",
        }
    }
}

/// A client's session.
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
        Self::try_connect(address, name).await.expect("it can be reached")
    }

    /// As [`Self::connect`]; `None` if nobody listens there.
    pub async fn try_connect(address: SocketAddr, name: &str) -> Option<Self> {
        let connecting = tokio::time::timeout(CONNECT_PATIENCE, TcpStream::connect(address));
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

    /// Begins a session; `None` if the connection ended.
    pub async fn start_session(&mut self, database: &str) -> Option<Answer> {
        self.try_send(&format!("START {database} me\r\n")).await?;
        self.read_answer().await
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, text: &str) {
        self.try_send(text).await.expect("the connection is open");
    }

    async fn try_send(&mut self, text: &str) -> Option<()> {
        self.write.write_all(text.as_bytes()).await.ok()
    }

    /// Sends a statement under a new id and waits for its answer.
    pub async fn query(&mut self, text: &str) -> Answer {
        self.try_query(text).await.expect("the connection is open")
    }

    /// As [`Self::query`]; `None` if the connection ended.
    pub async fn try_query(&mut self, text: &str) -> Option<Answer> {
        self.next_id += 1;
        let id = format!("{}-{}", self.name, self.next_id);
        self.try_send(&format!("QUERY {id} {text}\r\n")).await?;
        self.read_answer().await
    }

    /// The id of the last statement.
    #[must_use]
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.next_id)
    }

    /// A whole answer; `None` if the connection ended.
    pub async fn read_answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let line = tokio::time::timeout(PATIENCE, self.lines.next_line());
            let line = line.await.expect("an answer comes").ok()??;
            let (word, idle) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(idle.to_owned()),
                "DONE" => answer.signature = Some(idle.to_owned()),
                "ERROR" => answer.error = Some(idle.to_owned()),
                "READY" => {
                    let (state, position) = idle.split_once(' ').unwrap();
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
