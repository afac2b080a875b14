//! Whether a connection waits for its caller.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The turn of a connection that does not wait.
const SERVING: u64 = 0;

/// Whether a connection waits for its caller, and since when in the order of all waits; an extension
/// of its requests. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    /// The last turn that was given out.
    turns: Arc<AtomicU64>,
    own: Arc<AtomicU64>,
}

impl Phase {
    /// The phase of a new connection in the same order, which waits for its first request.
    pub(super) fn start(&self) -> Self {
        let phase = Self {
            turns: self.turns.clone(),
            own: Arc::default(),
        };
        phase.wait();
        phase
    }

    /// Records that it waits for its caller: for a request, or for the rest of a body.
    pub fn wait(&self) {
        let turn = self.turns.fetch_add(1, Ordering::Relaxed) + 1;
        self.own.store(turn, Ordering::Relaxed);
    }

    /// Records that a whole request has arrived and is being served.
    pub fn serve(&self) {
        self.own.store(SERVING, Ordering::Relaxed);
    }

    /// The place of the wait in the order of all waits; `None` while a request is served.
    pub(super) fn waits_since(&self) -> Option<u64> {
        let turn = self.own.load(Ordering::Relaxed);
        (turn != SERVING).then_some(turn)
    }
}
