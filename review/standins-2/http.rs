//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.headers
            .iter()
            .find(is_named)
            .map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a request's target or a response's status.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Reads a request or a response with its body; `None` if the connection has ended before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| malformed())?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    }
    Ok(Some(message))
}

/// Reads a head only.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let first = read_line(reader)?;
    if first.is_empty() {
        return Ok(None);
    }
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(malformed)?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a body; `None` at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| malformed())?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    addr: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    write(&mut stream, first, headers, body)?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    line.truncate(line.trim_end().len());
    Ok(line)
}

fn malformed() -> Error {
    ErrorKind::InvalidData.into()
}
