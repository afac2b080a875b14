//! Rate limit of the catalogue queries that a process sends to the store.

use crate::types::Millis;
use crate::types::MonoTime;

/// Initial delay between two queries of one process.
const RETRY_DELAY: Millis = Millis(500);
/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Number of queries after a start during which texts are left to peers.
const EARLY_QUERIES: u32 = 2;

/// Exponential backoff with a delay per process, which spreads the queries of processes that start
/// or lose the store at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreBackoff {
    next: MonoTime,
    spread: Millis,
    queries: u32,
}

impl StoreBackoff {
    /// Allows the first query after `spread`, which differs between processes.
    pub(super) const fn new(now: MonoTime, spread: Millis) -> Self {
        Self {
            next: now.after(spread),
            spread,
            queries: 0,
        }
    }

    /// Returns whether a query may be sent now, and counts it if so.
    pub(super) fn try_acquire(&mut self, now: MonoTime) -> bool {
        if now < self.next {
            return false;
        }
        let delay = RETRY_DELAY.saturating_add(self.spread);
        self.next = now.after(Millis(delay.get() << self.queries.min(MAX_DOUBLINGS)));
        self.queries += 1;
        true
    }

    /// Whether so few queries were sent that peers may still deliver the missing texts.
    pub(super) const fn is_early(&self) -> bool {
        self.queries > 0 && self.queries <= EARLY_QUERIES
    }

    /// Resets the delay to its initial value; the time of the next query does not change.
    pub(super) const fn reset(&mut self) {
        self.queries = 0;
    }
}
