//! Parser of server-sent events.

/// The longest line of a stream.
const MAX_LINE_BYTES: usize = 1_024 * 1_024;

/// Buffers bytes and returns the `data` field of each complete event.
#[derive(Debug, Default)]
pub struct EventParser {
    /// A line whose end has not arrived.
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds the next bytes of the stream and returns the events that they complete; `None` if a line is
    /// too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<String>> {
        let mut events = Vec::new();
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.buffer.len() + piece.len() > MAX_LINE_BYTES {
                return None;
            }
            self.buffer.extend_from_slice(piece);
            if !piece.ends_with(b"\n") {
                break;
            }
            let line = std::mem::take(&mut self.buffer);
            if let Some(data) = String::from_utf8_lossy(&line).strip_prefix("data:") {
                events.push(data.trim().to_owned());
            }
        }
        Some(events)
    }

    /// The bytes that are buffered.
    #[must_use]
    pub const fn buffered(&self) -> usize {
        self.buffer.len()
    }
}
