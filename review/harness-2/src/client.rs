//! A client's session.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::wire::Lines;

const ANSWER_LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    pub signature: Option<String>,
    pub error: Option<String>,
    pub position: String,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        self.signature.is_some() && self.error.is_none()
    }

    pub fn index(&self) -> Option<u64> {
        self.position.split_once('.')?.1.parse().ok()
    }
}

pub struct Client {
    lines: Lines,
}

impl Client {
    pub fn start(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
        let mut lines = Lines::new(stream);
        lines.send(&format!("START {database} u1\r\n"));
        lines.next()?.starts_with("READY").then_some(Self { lines })
    }

    /// Sends one message and reads one complete answer.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.lines.send(&format!("QUERY {id} {text}\r\n"));
        self.answer()
    }

    pub fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let line = self.lines.next()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "DONE" => answer.signature = Some(rest.to_owned()),
                "ERROR" => answer.error = Some(rest.to_owned()),
                "READY" => {
                    answer.position = rest.split_once(' ')?.1.to_owned();
                    return Some(answer);
                }
                _ => return None,
            }
        }
    }
}
