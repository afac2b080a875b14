//! Watches: streams of events starting at a revision.

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
    last_id: i64,
}

#[derive(Debug)]
struct Watch {
    id: i64,
    range: KeyRange,
    /// The first revision that is not yet sent.
    next_revision: i64,
    tx: Sender<Chunk>,
}

impl Watches {
    /// Opens a watch; past events from its start revision on are sent by the next
    /// [`Watches::notify`].
    pub(crate) fn open(&mut self, store: &Store, create: &WatchCreate) -> Receiver<Chunk> {
        let (tx, rx) = flume::unbounded();
        let start = Int64::or_zero(create.start_revision);
        self.last_id += 1;
        let watch = Watch {
            id: self.last_id,
            range: KeyRange::new(&create.key, create.range_end.as_ref()),
            next_revision: if start > 0 { start } else { store.revision + 1 },
            tx,
        };
        let mut created = watch.result(store);
        created.created = Some(true);
        watch.send(created);
        self.open.push(watch);
        rx
    }

    /// Number of open watches.
    pub(crate) fn count(&self) -> u64 {
        self.open.len() as u64
    }

    /// Sends each watch its pending events and removes watches that are canceled or have no
    /// receiver.
    pub(crate) fn notify(&mut self, store: &Store) {
        self.open.retain_mut(|watch| watch.catch_up(store));
    }

    /// Removes the watches without a receiver.
    pub(crate) fn remove_closed(&mut self) {
        self.open.retain(|watch| !watch.tx.is_disconnected());
    }

    /// Resets the connections of all watches.
    pub(crate) fn disconnect_all(&mut self) {
        for watch in self.open.drain(..) {
            let _ = watch.tx.send(Err(io::ErrorKind::ConnectionReset.into()));
        }
    }
}

impl Watch {
    /// Sends pending events; returns whether the watch stays open.
    fn catch_up(&mut self, store: &Store) -> bool {
        if self.next_revision <= store.compacted {
            let mut result = self.result(store);
            result.canceled = Some(true);
            result.compact_revision = Some(Int64(store.compacted + 1));
            self.send(result);
            return false;
        }
        let start = store
            .events
            .partition_point(|(at, _)| *at < self.next_revision);
        let pending = store.events.range(start..);
        let events: Vec<Event> = pending
            .filter(|(_, event)| self.range.contains(event.kv.key.as_bytes()))
            .map(|(_, event)| event.clone())
            .collect();
        self.next_revision = self.next_revision.max(store.revision + 1);
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
