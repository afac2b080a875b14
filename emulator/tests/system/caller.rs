//! Builder for a caller's HTTP requests.

use std::fmt::Write as _;
use std::io::Read;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::answer::Answer;
use crate::declaration::KEY;

/// Timeout for reading a response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP request of a caller.
#[derive(Clone, Debug)]
pub struct Caller {
    addr: SocketAddr,
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Caller {
    /// Creates a request to `addr` with the test organisation's key.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            method: "POST",
            path: "/".to_owned(),
            headers: vec![("authorization".to_owned(), format!("Bearer {KEY}"))],
            body: String::new(),
        }
    }

    /// Sets the method to GET.
    pub fn get(mut self, path: &str) -> Self {
        self.method = "GET";
        path.clone_into(&mut self.path);
        self
    }

    /// Sets the method to POST.
    pub fn post(mut self, path: &str, body: impl Into<String>) -> Self {
        self.method = "POST";
        path.clone_into(&mut self.path);
        self.body = body.into();
        self
    }

    /// Requests a streamed completion.
    pub fn complete(self, prompt: &str, max_tokens: u64) -> Self {
        let body = json!({
            "model": "m1", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        self.post("/v1/completions", body.to_string())
    }

    /// Calls a method of the plain service.
    pub fn call(self, method: &str, body: &Value) -> Self {
        self.post(&format!("/v1/services/desk/{method}"), body.to_string())
    }

    /// Adds or replaces a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request and reads the complete response.
    pub fn send(&self) -> Answer {
        match self.open() {
            Ok(stream) => read(stream),
            Err(_) => Answer {
                status: 0,
                retry_after: None,
                replayed: false,
                body: String::new(),
            },
        }
    }

    /// Connects without sending anything.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("connects");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("is set");
        stream
    }

    /// Sends the request and returns the connection without reading the response.
    pub fn open(&self) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.addr)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let length = self.body.len();
        let mut head = format!("{} {} HTTP/1.1\r\nhost: test\r\n", self.method, self.path);
        let _ = write!(head, "connection: close\r\ncontent-length: {length}\r\n");
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        stream.write_all(head.as_bytes())?;
        stream.write_all(self.body.as_bytes())?;
        Ok(stream)
    }
}

/// Reads a complete response.
pub fn read(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let chunked = head.contains("transfer-encoding: chunked");
    Answer {
        status: status.unwrap_or(0),
        retry_after: header(head, "retry-after").and_then(|value| value.parse().ok()),
        replayed: header(head, "idempotent-replayed") == Some("true"),
        body: if chunked {
            unchunk(body)
        } else {
            body.to_owned()
        },
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

fn unchunk(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        let Some(chunk) = rest.get(..size) else {
            break;
        };
        text.push_str(chunk);
        body = rest.get(size + 2..).unwrap_or("");
    }
    text
}
