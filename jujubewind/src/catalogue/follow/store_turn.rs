//! When a process may ask the store.

use crate::types::Millis;
use crate::types::MonoTime;

/// The shortest pause between two calls of one process.
const PAUSE: Millis = Millis(500);
/// How often the pause is doubled at the most.
const DOUBLINGS: u32 = 5;
/// The turns of a start after which texts may be asked of the store.
const EARLY_TURNS: u32 = 2;

/// Spreads the calls of many processes that start at once or that miss the store at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreTurn {
    next: MonoTime,
    spread: Millis,
    taken: u32,
}

impl StoreTurn {
    /// The first turn comes after `spread`, which differs from process to process.
    pub(super) const fn new(now: MonoTime, spread: Millis) -> Self {
        Self {
            next: now.after(spread),
            spread,
            taken: 0,
        }
    }

    /// Takes the turn, if it has come.
    pub(super) fn take(&mut self, now: MonoTime) -> bool {
        if now < self.next {
            return false;
        }
        let pause = PAUSE.saturating_add(self.spread);
        self.next = now.after(Millis(pause.get() << self.taken.min(DOUBLINGS)));
        self.taken += 1;
        true
    }

    /// Whether so few turns were taken that peers may still bring what is missing.
    pub(super) const fn is_early(&self) -> bool {
        self.taken > 0 && self.taken <= EARLY_TURNS
    }

    /// Begins again with the shortest pause; the next turn stays where it is.
    pub(super) const fn relax(&mut self) {
        self.taken = 0;
    }
}
