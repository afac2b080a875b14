//! The requests that were sent to a backend server lately.

use std::collections::VecDeque;

use super::limits::SLOT;
use super::limits::WINDOW;
use crate::types::MonoTime;

/// Requests that were sent within one slot of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    began: MonoTime,
    count: u32,
}

/// The requests of the last window, in slots.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSends {
    slots: VecDeque<Slot>,
}

impl RecentSends {
    pub(super) fn record(&mut self, now: MonoTime) {
        self.expire(now);
        match self.slots.back_mut() {
            Some(slot) if now.since(slot.began) < SLOT => slot.count += 1,
            _ => self.slots.push_back(Slot {
                began: now,
                count: 1,
            }),
        }
    }

    pub(super) fn expire(&mut self, now: MonoTime) {
        let is_old = |slot: &Slot| now.since(slot.began) >= WINDOW;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// When each request of the last window was sent, to the precision of a slot.
    pub(super) fn times(&self) -> impl Iterator<Item = MonoTime> {
        let slots = self.slots.iter();
        slots.flat_map(|slot| (0..slot.count).map(|_| slot.began))
    }
}
