//! Splits a byte stream into complete server-sent events.

use hyper::body::Bytes;

/// The blank line that ends an event.
const DELIMITER: &[u8] = b"\n\n";
/// The longest event, and the most bytes of comments before the first one.
pub(super) const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
/// The prefix of the line with an event's id.
const ID_PREFIX: &[u8] = b"id:";
/// The prefix of a line with an event's data.
const DATA_PREFIX: &[u8] = b"data:";

/// The prefix of a comment.
const COMMENT_PREFIX: &[u8] = b":";
/// The prefix of a line that tells how long to wait before reconnecting.
const RETRY_PREFIX: &[u8] = b"retry:";

/// A run of complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The encoded events.
    pub bytes: Bytes,
    /// The id of the first event that has one.
    pub first: Option<u64>,
    /// The id of the last event that has one.
    pub last: Option<u64>,
}

impl Events {
    /// Whether there is an event: comments alone, or hints on how to reconnect, are none.
    #[must_use]
    pub fn has_event(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(DATA_PREFIX) || line.starts_with(ID_PREFIX))
    }

    /// Whether there is nothing but comments and hints on how to reconnect.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| {
            line.is_empty() || line.starts_with(COMMENT_PREFIX) || line.starts_with(RETRY_PREFIX)
        })
    }

    /// Whether the events come after the event `last`, so that none is delivered twice.
    #[must_use]
    pub fn follow(&self, last: Option<u64>) -> bool {
        self.first.is_none() || self.first > last
    }

    /// The events after the event `last`; `None` if there are none.
    #[must_use]
    pub fn after(self, last: Option<u64>) -> Option<Self> {
        if self.follow(last) {
            return Some(self);
        }
        let mut start = 0;
        while let Some(size) = delimited(&self.bytes[start..]) {
            let id = ids(&self.bytes[start..start + size]).next();
            if id > last {
                return Some(Self::new(self.bytes[start..].to_vec()));
            }
            start += size;
        }
        None
    }

    pub(super) fn new(bytes: Vec<u8>) -> Self {
        let ids: Vec<u64> = ids(&bytes).collect();
        Self {
            first: ids.first().copied(),
            last: ids.last().copied(),
            bytes: Bytes::from(bytes),
        }
    }
}

/// Buffers bytes and returns complete events, so that a partial event is never forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        // A delimiter ends in the new bytes.
        let searched = self.buffer.len().saturating_sub(DELIMITER.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let mut windows = self.buffer[searched..].windows(DELIMITER.len());
        let end = searched + windows.rposition(|window| window == DELIMITER)?;
        let rest = self.buffer.split_off(end + DELIMITER.len());
        let complete = std::mem::replace(&mut self.buffer, rest);
        Some(Events::new(complete))
    }

    /// Whether the partial event is longer than any event may be.
    #[must_use]
    pub const fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Whether a partial event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The size of the first event with its delimiter.
fn delimited(events: &[u8]) -> Option<usize> {
    let mut windows = events.windows(DELIMITER.len());
    let end = windows.position(|window| window == DELIMITER)?;
    Some(end + DELIMITER.len())
}

fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(ID_PREFIX));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
