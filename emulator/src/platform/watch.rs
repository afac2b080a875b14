//! Watches: streams of changes from a revision on.

use std::io;

use flume::Receiver;
use flume::Sender;
use hyper::body::Bytes;
use jujubewind::wire::Int64;
use jujubewind::wire::platform::Event;
use jujubewind::wire::platform::WatchCreate;
use jujubewind::wire::platform::WatchResponse;
use jujubewind::wire::platform::WatchResult;

use super::Store;
use super::key_range::KeyRange;
use crate::http::Chunk;

/// The open watches.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    open: Vec<Watch>,
    last: i64,
}

#[derive(Debug)]
struct Watch {
    id: i64,
    range: KeyRange,
    /// The first revision that was not sent yet.
    next: i64,
    tx: Sender<Chunk>,
}

impl Watches {
    /// Opens a watch; changes that it missed are sent by the next [`Watches::notify`].
    pub(crate) fn open(&mut self, store: &Store, create: &WatchCreate) -> Receiver<Chunk> {
        let (tx, rx) = flume::unbounded();
        let start = Int64::or_zero(create.start_revision);
        self.last += 1;
        let watch = Watch {
            id: self.last,
            range: KeyRange::new(&create.key, create.range_end.as_ref()),
            next: if start > 0 { start } else { store.revision + 1 },
            tx,
        };
        let mut created = watch.result(store);
        created.created = Some(true);
        watch.send(created);
        self.open.push(watch);
        rx
    }

    /// How many watches are open.
    pub(crate) fn count(&self) -> u64 {
        self.open.len() as u64
    }

    /// Sends each watch the changes that it has not had, and drops those without a reader.
    pub(crate) fn notify(&mut self, store: &Store) {
        self.open.retain_mut(|watch| watch.catch_up(store));
    }

    /// Drops the watches without a reader.
    pub(crate) fn sweep(&mut self) {
        self.open.retain(|watch| !watch.tx.is_disconnected());
    }

    /// Breaks every watch's connection.
    pub(crate) fn break_off(&mut self) {
        for watch in self.open.drain(..) {
            let _ = watch.tx.send(Err(io::ErrorKind::ConnectionReset.into()));
        }
    }
}

impl Watch {
    /// Sends what was missed; tells whether the watch stays open.
    fn catch_up(&mut self, store: &Store) -> bool {
        if self.next <= store.compacted {
            let mut result = self.result(store);
            result.canceled = Some(true);
            result.compact_revision = Some(Int64(store.compacted + 1));
            self.send(result);
            return false;
        }
        let start = store.events.partition_point(|(at, _)| *at < self.next);
        let missed = store.events.range(start..);
        let events: Vec<Event> = missed
            .filter(|(_, event)| self.range.contains(event.kv.key.as_bytes()))
            .map(|(_, event)| event.clone())
            .collect();
        self.next = self.next.max(store.revision + 1);
        if events.is_empty() {
            return !self.tx.is_disconnected();
        }
        let mut result = self.result(store);
        result.events = events;
        self.send(result)
    }

    fn result(&self, store: &Store) -> WatchResult {
        WatchResult {
            header: Some(store.header()),
            watch_id: Some(Int64(self.id)),
            ..WatchResult::default()
        }
    }

    fn send(&self, result: WatchResult) -> bool {
        let response = WatchResponse {
            error: None,
            result: Some(result),
        };
        let mut line = serde_json::to_vec(&response).unwrap_or_default();
        line.push(b'\n');
        self.tx.send(Ok(Bytes::from(line))).is_ok()
    }
}
