//! Messages of the wire protocol: a line ends with CR LF, and only there.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

pub struct Lines {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("a socket option");
        Self { stream, buffer: Vec::new() }
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// The next line without its end; `None` if the connection ended or timed out.
    pub fn next(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.drain(..at + 2).take(at).collect();
                return String::from_utf8(line).ok();
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(length) => self.buffer.extend_from_slice(&chunk[..length]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }
}
