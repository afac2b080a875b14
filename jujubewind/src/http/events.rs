//! Parser of server-sent events.

/// Buffers bytes and returns the `data` field of each complete event.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds the next bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.strip_prefix("data:") {
                events.push(data.trim().to_owned());
            }
        }
        events
    }
}
