//! A watch of the platform's service: one streamed connection, opened again whenever it breaks.

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

/// The pause before a broken watch is opened again, doubled each time up to the longest.
const PAUSE: Millis = Millis(100);
/// The longest pause.
const LONGEST_PAUSE: Millis = Millis(1_600);

/// What a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch stands from now on; what changed before must be read.
    Opened,
    /// A key was written.
    Written(Entry),
    /// The connection broke; it is opened again from the last revision.
    Broken,
}

/// A watch of one key, which ends when this is dropped.
///
/// It counts as one waiting call at the store. A watch may fall silent for good without breaking:
/// whoever relies on it reads the key now and then as well.
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
            lines: Vec::new(),
        };
        Self {
            events,
            _task: compio::runtime::spawn(task.run()),
        }
    }

    /// The next notice, if one is there already.
    #[must_use]
    pub fn try_next(&self) -> Option<WatchEvent> {
        self.events.try_recv().ok()
    }

    /// The next notice; `None` if the task has ended.
    pub async fn next(&self) -> Option<WatchEvent> {
        self.events.recv_async().await.ok()
    }
}

/// Owns the connection.
struct Task {
    client: Client,
    key: Key,
    /// The first revision that was not seen; zero before the first answer.
    next: Version,
    events: Sender<WatchEvent>,
    /// Bytes of a line that is not whole yet.
    lines: Vec<u8>,
}

impl Task {
    async fn run(mut self) {
        let mut pause = PAUSE;
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
                pause = PAUSE;
            }
            compio::time::sleep(pause.duration()).await;
            pause = LONGEST_PAUSE.min(pause.saturating_add(pause));
        }
    }

    /// Opens the connection and reads it to its end.
    async fn stream(&mut self) -> Result<()> {
        self.client.count(CallKind::Watch);
        self.lines.clear();
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
            if !self.read(&bytes?)? {
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

    /// Takes the next bytes; tells whether the watch stays open.
    fn read(&mut self, bytes: &[u8]) -> Result<bool> {
        self.lines.extend_from_slice(bytes);
        while let Some(end) = self.lines.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.lines.drain(..=end).collect();
            let response: WatchResponse = serde_json::from_slice(&line)?;
            let Some(result) = response.result else {
                return Ok(false);
            };
            if !self.take(result) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn take(&mut self, result: WatchResult) -> bool {
        if result.canceled.unwrap_or(false) {
            self.next = Version::ABSENT;
            return false;
        }
        if result.created.unwrap_or(false) && self.next == Version::ABSENT {
            let header = result.header.as_ref();
            let revision = answer::number(header.and_then(|header| header.revision));
            self.next = Version(revision + 1);
            let _ = self.events.send(WatchEvent::Opened);
        }
        for event in result.events {
            let Some(entry) = answer::entry(event.kv) else {
                continue;
            };
            self.next = self.next.max(Version(entry.version.get() + 1));
            let _ = self.events.send(WatchEvent::Written(entry));
        }
        true
    }
}
