//! The frames that messages are sent in: a length of four bytes, big-endian, and the message.

use std::io::Error;
use std::io::ErrorKind;

use bincode::DefaultOptions;
use bincode::Options;
use compio::BufResult;
use compio::buf::IntoInner;
use compio::buf::IoBuf;
use compio::io::AsyncRead;
use compio::io::AsyncReadExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Room;
use crate::http::HeldBody;
use crate::http::WholeBody;
use crate::types::Bytes;

/// The largest message: fits a prompt of a million tokens and its envelope.
const MAX_FRAME: Bytes = Bytes(32 << 20);
const LENGTH_BYTES: usize = 4;
/// The bytes that are read at once.
const READ_BYTES: usize = 16 * 1_024;
/// The start of a message that is kept if there is no room for it: enough to tell which call it is.
const PREFIX_BYTES: usize = 256;

/// The result of reading or writing a frame.
pub(super) type Result<T> = std::io::Result<T>;

/// A frame that has arrived.
#[derive(Debug)]
pub(super) enum Frame {
    /// A whole message.
    Whole(WholeBody),
    /// The start of a message for which there was no room.
    Skipped(Vec<u8>),
}

impl Frame {
    /// Reads a frame; `None` at the end of the stream.
    pub(super) async fn read(stream: &mut impl AsyncRead, room: &Room) -> Result<Option<Self>> {
        let BufResult(outcome, header) = stream.read_exact([0; LENGTH_BYTES]).await;
        match outcome {
            Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(None),
            outcome => outcome?,
        }
        let length = u32::from_be_bytes(header);
        if u64::from(length) > MAX_FRAME.get() {
            return Err(invalid("a frame is longer than 32 MiB"));
        }
        let mut left = usize::try_from(length).unwrap_or(usize::MAX);
        let mut held = Some(room.begin());
        let mut prefix = Vec::new();
        let mut buffer = Vec::with_capacity(READ_BYTES);
        while left > 0 {
            let part = buffer.slice(..left.min(READ_BYTES));
            let BufResult(outcome, part) = stream.read(part).await;
            buffer = part.into_inner();
            let count = outcome?;
            if count == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let bytes = &buffer[..count];
            left -= count;
            let missing = PREFIX_BYTES.saturating_sub(prefix.len());
            prefix.extend_from_slice(&bytes[..count.min(missing)]);
            if held
                .as_mut()
                .is_some_and(|held| !held.push(room.clock.now(), bytes))
            {
                held = None;
            }
        }
        let whole = held.and_then(HeldBody::finish);
        Ok(Some(whole.map_or(Self::Skipped(prefix), Self::Whole)))
    }
}

/// The length of an encoded message.
pub(super) fn size(message: &impl Serialize) -> Result<usize> {
    let length = DefaultOptions::new().serialized_size(message);
    let length = length.map_err(invalid)?;
    if length > MAX_FRAME.get() {
        return Err(invalid("a message is longer than 32 MiB"));
    }
    usize::try_from(length).map_err(invalid)
}

/// Encodes a message with its length.
pub(super) fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    let options = DefaultOptions::new();
    let size = size(message)?;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + size);
    let length = u32::try_from(size).map_err(invalid)?;
    bytes.extend_from_slice(&length.to_be_bytes());
    options
        .serialize_into(&mut bytes, message)
        .map_err(invalid)?;
    Ok(bytes)
}

/// Decodes a message.
pub(super) fn decode<T: DeserializeOwned>(body: &WholeBody) -> Result<T> {
    let options = DefaultOptions::new().with_limit(body.len() as u64);
    options.deserialize_from(body.reader()).map_err(invalid)
}

/// Decodes the start of a message.
pub(super) fn decode_prefix<T: DeserializeOwned>(prefix: &[u8]) -> Result<T> {
    let options = DefaultOptions::new().with_limit(PREFIX_BYTES as u64);
    let options = options.allow_trailing_bytes();
    options.deserialize(prefix).map_err(invalid)
}

fn invalid(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::new(ErrorKind::InvalidData, cause)
}
