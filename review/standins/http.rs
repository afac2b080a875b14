//! Reading HTTP/1.1 messages.

use std::io::BufRead;
use std::io::ErrorKind;
use std::io::Result;

/// The head and the body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the message arrived up to its end.
    pub complete: bool,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(other, _)| *other == name)
            .map(|(_, value)| decode(value))
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = bytes.get(index + 1..index + 3);
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        index += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if message.start.is_empty() {
                return Ok(None);
            }
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            if !line.is_empty() {
                line.clone_into(&mut message.start);
            }
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to the head of a request.
pub fn read_request_body(reader: &mut impl BufRead, message: &mut Message) -> Result<()> {
    if message.header("transfer-encoding").is_some() {
        return read_chunks(reader, message, &mut |_| {});
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    message.complete = true;
    Ok(())
}

/// Reads the body that belongs to the head of a response; `arrived` is told of each piece.
pub fn read_response_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    arrived: &mut dyn FnMut(&[u8]),
) -> Result<()> {
    if message.header("transfer-encoding").is_some() {
        return read_chunks(reader, message, arrived);
    }
    let length = message.header("content-length");
    let Some(length) = length.and_then(|text| text.parse::<usize>().ok()) else {
        reader.read_to_end(&mut message.body)?;
        message.complete = true;
        return Ok(());
    };
    let mut buffer = [0; 8192];
    while message.body.len() < length {
        let size = buffer.len().min(length - message.body.len());
        let count = reader.read(&mut buffer[..size])?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        message.body.extend_from_slice(&buffer[..count]);
        arrived(&buffer[..count]);
    }
    message.complete = true;
    Ok(())
}

fn read_chunks(
    reader: &mut impl BufRead,
    message: &mut Message,
    arrived: &mut dyn FnMut(&[u8]),
) -> Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return Err(ErrorKind::InvalidData.into());
        };
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            message.complete = true;
            return Ok(());
        }
        chunk.truncate(size);
        arrived(&chunk);
        message.body.extend_from_slice(&chunk);
    }
}
