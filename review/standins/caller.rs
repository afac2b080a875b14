//! A stand-in for a caller.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub id: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Further header lines, each with its line break.
    pub headers: String,
    pub body: Vec<u8>,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The answer as far as it arrived; `None` if there was no head.
    pub answer: Option<Message>,
    /// Why the answer is not complete.
    pub error: Option<String>,
    pub took: Duration,
}

impl Reply {
    /// The status; zero without an answer.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    /// Whether the answer bears the seal of a backend server.
    pub fn is_sealed(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.header("x-jujubewind-server-seal").is_some())
    }

    /// Whether the answer arrived up to its end.
    pub fn is_complete(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.complete)
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn send(addr: SocketAddr, call: &Call) -> Reply {
    let began = Instant::now();
    let mut answer = None;
    let outcome = exchange(addr, call, &mut answer);
    Reply {
        answer,
        error: outcome.err().map(|error| error.to_string()),
        took: began.elapsed(),
    }
}

fn exchange(addr: SocketAddr, call: &Call, answer: &mut Option<Message>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let patience = Duration::from_millis(call.deadline_ms + 1_000);
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: host.example\r\nX-Jujubewind-Attempt-Id: {}\r\nX-Jujubewind-Deadline-Ms: {}\r\nX-Api-Key: {}\r\n{}Content-Length: {}\r\n\r\n",
        call.method,
        call.path,
        call.id,
        call.deadline_ms,
        call.key,
        call.headers,
        call.body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&call.body)?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    let message = answer.insert(head.ok_or(std::io::ErrorKind::UnexpectedEof)?);
    http::read_response_body(&mut reader, message, &mut |_| {})
}
