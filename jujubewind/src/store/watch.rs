//! A watch of a store key: a streaming connection that is reopened whenever it breaks.

use compio::runtime::JoinHandle;
use flume::Receiver;
use flume::Sender;
use futures::StreamExt;

use super::CallKind;
use super::Client;
use super::Entry;
use super::Error;
use super::Key;
use super::Result;
use super::Version;
use super::answer;
use super::request::int64;
use crate::types::Millis;
use crate::wire::platform::WatchCreate;
use crate::wire::platform::WatchRequest;
use crate::wire::platform::WatchResponse;
use crate::wire::platform::WatchResult;

/// Initial delay before a broken watch is reopened; doubled after each failure.
const RECONNECT_DELAY: Millis = Millis(100);
/// Maximum delay before a broken watch is reopened.
const MAX_RECONNECT_DELAY: Millis = Millis(1_600);

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch is open; changes before this event must be read from the store.
    Opened,
    /// A key was written.
    Written(Entry),
    /// The connection broke; it is reopened after the last revision received.
    Broken,
}

/// A watch of one key, which ends when it is dropped.
///
/// The store counts it as one open call. A watch may stop delivering events without an error, so
/// its users must also read the key periodically.
#[derive(Debug)]
pub struct Watch {
    events: Receiver<WatchEvent>,
    _task: JoinHandle<()>,
}

impl Watch {
    /// Watches `key`.
    #[must_use]
    pub fn start(client: Client, key: Key) -> Self {
        let (tx, events) = flume::unbounded();
        let task = Task {
            client,
            key,
            next: Version::ABSENT,
            events: tx,
            buffer: Vec::new(),
        };
        Self {
            events,
            _task: compio::runtime::spawn(task.run()),
        }
    }

    /// The next event, if one has arrived.
    #[must_use]
    pub fn try_next(&self) -> Option<WatchEvent> {
        self.events.try_recv().ok()
    }

    /// Waits for the next event; `None` if the task has ended.
    pub async fn next(&self) -> Option<WatchEvent> {
        self.events.recv_async().await.ok()
    }
}

/// The task that owns the connection.
struct Task {
    client: Client,
    key: Key,
    /// The first revision not received yet; zero before the first response.
    next: Version,
    events: Sender<WatchEvent>,
    /// Bytes of an incomplete line.
    buffer: Vec<u8>,
}

impl Task {
    async fn run(mut self) {
        let mut delay = RECONNECT_DELAY;
        loop {
            let before = self.next;
            let outcome = self.stream().await;
            if let Err(error) = outcome {
                crate::event!(warn, "watch_broken", key = self.key, error = error);
            }
            if self.events.send(WatchEvent::Broken).is_err() {
                return;
            }
            if self.next > before {
                delay = RECONNECT_DELAY;
            }
            compio::time::sleep(delay.duration()).await;
            delay = MAX_RECONNECT_DELAY.min(delay.saturating_add(delay));
        }
    }

    /// Opens the connection and reads it until it ends.
    async fn stream(&mut self) -> Result<()> {
        self.client.count_call(CallKind::Watch);
        self.buffer.clear();
        let body = serde_json::to_vec(&self.request())?;
        let opening = self.client.post("/v3/watch", body);
        let wait = self.client.timeout().duration();
        let response = compio::time::timeout(wait, opening).await;
        let response = response.map_err(|_| Error::TimedOut)??;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Error::Status(status));
        }
        let mut chunks = response.bytes_stream();
        while let Some(bytes) = chunks.next().await {
            if !self.handle_bytes(&bytes?)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn request(&self) -> WatchRequest {
        WatchRequest {
            create_request: WatchCreate {
                key: self.key.as_str().into(),
                range_end: None,
                start_revision: Some(int64(self.next.get())),
            },
        }
    }

    /// Handles received bytes; returns whether the watch stays open.
    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<bool> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let response: WatchResponse = serde_json::from_slice(&line)?;
            let Some(result) = response.result else {
                return Ok(false);
            };
            if !self.handle_result(result) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn handle_result(&mut self, result: WatchResult) -> bool {
        if result.canceled.unwrap_or(false) {
            self.next = Version::ABSENT;
            return false;
        }
        if result.created.unwrap_or(false) && self.next == Version::ABSENT {
            let header = result.header.as_ref();
            let revision = answer::decode_number(header.and_then(|header| header.revision));
            self.next = Version(revision + 1);
            let _ = self.events.send(WatchEvent::Opened);
        }
        for event in result.events {
            let Some(entry) = answer::decode_entry(event.kv) else {
                continue;
            };
            self.next = self.next.max(Version(entry.version.get() + 1));
            let _ = self.events.send(WatchEvent::Written(entry));
        }
        true
    }
}
