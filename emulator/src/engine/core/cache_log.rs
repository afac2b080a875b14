//! The engine's published cache events, delivered with a delay and with gaps.

use std::collections::VecDeque;

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::Uint64;
use jujubewind::wire::engine::CacheChange;
use jujubewind::wire::engine::CacheEvent;
use jujubewind::wire::engine::CacheEvents;

/// The most events kept; a reader that lags further behind sees a gap.
const MAX_EVENTS: usize = 65_536;

/// Events of the prefix cache, ordered by sequence number.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheLog {
    events: VecDeque<Entry>,
    last: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: MonoTime,
    seq: u64,
    change: CacheChange,
    block: u64,
}

impl CacheLog {
    /// Records a change; every `gap`-th event is dropped, or none if `gap` is zero.
    pub(crate) fn record(&mut self, at: MonoTime, change: CacheChange, block: u64, gap: u64) {
        self.last += 1;
        if gap > 0 && self.last.is_multiple_of(gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let seq = self.last;
        self.events.push_back(Entry {
            at,
            seq,
            change,
            block,
        });
    }

    /// Returns the events after sequence number `after` that are at least `lag` old.
    pub(crate) fn read(&self, now: MonoTime, lag: Millis, after: u64) -> CacheEvents {
        let start = self.events.partition_point(|entry| entry.seq <= after);
        let events: Vec<CacheEvent> = self
            .events
            .range(start..)
            .take_while(|entry| entry.at.after(lag) <= now)
            .map(Entry::event)
            .collect();
        let last = events
            .last()
            .map_or(after.min(self.last), |event| event.seq);
        CacheEvents { events, last }
    }
}

impl Entry {
    fn event(&self) -> CacheEvent {
        CacheEvent {
            seq: self.seq,
            kind: self.change,
            block: Uint64(self.block),
        }
    }
}
