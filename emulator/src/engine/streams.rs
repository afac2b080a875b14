//! The open response streams.

use std::collections::HashMap;
use std::io;

use flume::Receiver;
use flume::Sender;
use hyper::body::Bytes;
use jujubewind::wire::engine::EngineUsage;
use jujubewind::wire::engine::GenerateEvent;

use super::core::Finish;
use super::core::SeqKey;
use super::core::Usage;
use super::core::answer::TOKEN_BYTES;
use super::core::answer::push_token;
use crate::http::Chunk;

/// The last event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// The open response streams, by sequence.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    open: HashMap<SeqKey, Stream>,
}

#[derive(Debug)]
struct Stream {
    id: String,
    prompt_hash: u64,
    /// The offset of the next token.
    next: u64,
    tx: Sender<Chunk>,
}

impl Streams {
    /// Opens the stream of a sequence, which starts at token `next` of the answer.
    pub(crate) fn open(
        &mut self,
        key: SeqKey,
        id: String,
        prompt_hash: u64,
        next: u64,
    ) -> Receiver<Chunk> {
        let (tx, rx) = flume::unbounded();
        let stream = Stream {
            id,
            prompt_hash,
            next,
            tx,
        };
        self.open.insert(key, stream);
        rx
    }

    /// Sends a token; returns the sequence's id if the client has disconnected.
    pub(crate) fn send_token(&mut self, key: SeqKey, offset: u64) -> Option<String> {
        let stream = self.open.get_mut(&key)?;
        let mut text = String::with_capacity(TOKEN_BYTES);
        push_token(&mut text, stream.prompt_hash, offset);
        stream.next = offset + 1;
        let event = stream.event(offset, text);
        if stream.send(&event) {
            return None;
        }
        self.open.remove(&key).map(|stream| stream.id)
    }

    /// Sends the last events of a stream and closes it.
    pub(crate) fn finish(&mut self, key: SeqKey, reason: Finish, usage: Usage) {
        let Some(stream) = self.open.remove(&key) else {
            return;
        };
        let mut event = stream.event(stream.next, String::new());
        event.finish_reason = Some(reason.as_str().to_owned());
        event.usage = Some(EngineUsage {
            prompt_tokens: usage.prompt,
            completion_tokens: usage.completion,
            cached_tokens: usage.cached,
        });
        stream.send(&event);
        let _ = stream.tx.send(Ok(Bytes::from_static(DONE)));
    }

    /// Resets the connection of a stream.
    pub(crate) fn abort(&mut self, key: SeqKey) {
        if let Some(stream) = self.open.remove(&key) {
            stream.reset();
        }
    }

    /// Resets the connections of all streams.
    pub(crate) fn abort_all(&mut self) {
        for (_, stream) in self.open.drain() {
            stream.reset();
        }
    }
}

impl Stream {
    fn event(&self, offset: u64, text: String) -> GenerateEvent {
        GenerateEvent {
            request_id: self.id.clone(),
            offset,
            text,
            finish_reason: None,
            usage: None,
        }
    }

    /// Sends an event and returns whether the client is still connected.
    fn send(&self, event: &GenerateEvent) -> bool {
        let mut line = b"data: ".to_vec();
        line.extend(serde_json::to_vec(event).unwrap_or_default());
        line.extend(b"\n\n");
        self.tx.send(Ok(Bytes::from(line))).is_ok()
    }

    fn reset(&self) {
        let _ = self.tx.send(Err(io::ErrorKind::ConnectionReset.into()));
    }
}
