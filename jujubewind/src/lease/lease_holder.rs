//! One process's side of a lease.

use super::LeaseRecord;
use super::LeaseTerms;
use crate::store::Entry;
use crate::store::Key;
use crate::store::Op;
use crate::store::Outcome;
use crate::store::Version;
use crate::store::Write;
use crate::types::Fence;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;

/// What the last look at the store showed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seen {
    /// Nothing is known.
    Nothing,
    /// There is no record.
    Absent,
    /// This record has stood at this version since then.
    Record(LeaseRecord, Version, MonoTime),
}

/// Acquires, renews and gives back one lease.
///
/// [`LeaseHolder::poll`] gives the next call to the store, [`LeaseHolder::settle`] takes its outcome; one call is
/// under way at a time.
#[derive(Debug)]
pub struct LeaseHolder {
    key: Key,
    node: NodeId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    seen: Seen,
    /// The number under which we last held the lease.
    fence: Option<Fence>,
    /// Until when we hold the lease, by our own clock.
    held: MonoTime,
    /// When the write was sent that is under way or in doubt, and what it writes.
    sent: Option<(MonoTime, LeaseRecord)>,
    count: u64,
    calling: bool,
    next: MonoTime,
    stopping: bool,
}

impl LeaseHolder {
    /// Wants the lease `name` for one life of a process.
    #[must_use]
    pub fn new(name: &str, node: NodeId, incarnation: Incarnation, terms: LeaseTerms) -> Self {
        Self {
            key: Key::new("leases", name),
            node,
            incarnation,
            terms,
            seen: Seen::Nothing,
            fence: None,
            held: MonoTime::ZERO,
            sent: None,
            count: 0,
            calling: false,
            next: MonoTime::ZERO,
            stopping: false,
        }
    }

    /// The fencing number, if the holder may act at `now`; ask again before each act.
    #[must_use]
    pub fn valid_fence(&self, now: MonoTime) -> Option<Fence> {
        self.fence.filter(|_| now < self.held)
    }

    /// The last fencing number, though the lease may have lapsed: for those who check numbers.
    #[must_use]
    pub const fn last_fence(&self) -> Option<Fence> {
        self.fence
    }

    /// The key of the lease's record.
    #[must_use]
    pub const fn key(&self) -> &Key {
        &self.key
    }

    /// How long the holder may still act.
    #[must_use]
    pub const fn remaining(&self, now: MonoTime) -> Millis {
        self.held.since(now)
    }

    /// Gives the lease back at the next poll, and wants it no more.
    pub const fn stop(&mut self) {
        self.stopping = true;
        self.next = MonoTime::ZERO;
    }

    /// When to poll next.
    #[must_use]
    pub const fn due(&self) -> MonoTime {
        self.next
    }

    /// The next call to the store, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<Op> {
        if self.calling || now < self.next {
            return None;
        }
        let op = match self.wanted(now) {
            Some(record) => self.write(now, record),
            None if self.stopping => return None,
            None => Op::Get(self.key.clone()),
        };
        self.calling = true;
        Some(op)
    }

    /// Takes the outcome of the call that [`LeaseHolder::poll`] gave.
    pub fn settle(&mut self, now: MonoTime, outcome: Outcome) {
        self.calling = false;
        match outcome {
            Outcome::Applied(version) => self.on_applied(now, version),
            Outcome::Found(Some(entry)) if entry.key != self.key => self.pause(now),
            Outcome::Found(current) | Outcome::Conflict(current) => self.on_current(now, current),
            Outcome::Unknown => {
                self.seen = Seen::Nothing;
                self.pause(now);
            }
            _ => self.pause(now),
        }
    }

    /// The record to write now; `None` if it must be read, or waited for.
    fn wanted(&self, now: MonoTime) -> Option<LeaseRecord> {
        match &self.seen {
            Seen::Nothing => None,
            Seen::Absent if self.stopping => None,
            Seen::Absent => Some(self.record(Fence(1))),
            Seen::Record(record, ..) if self.is_ours(record) && !record.released => {
                Some(LeaseRecord {
                    released: self.stopping,
                    ..record.clone()
                })
            }
            Seen::Record(record, _, since) => {
                let free = record.released || now >= since.after(record.ttl);
                let raised = self.record(record.fence.saturating_add(Fence(1)));
                (free && !self.stopping).then_some(raised)
            }
        }
    }

    fn write(&mut self, now: MonoTime, mut record: LeaseRecord) -> Op {
        self.count += 1;
        record.count = self.count;
        if record.released {
            self.held = MonoTime::ZERO;
        }
        let expect = match &self.seen {
            Seen::Record(_, version, _) => *version,
            Seen::Nothing | Seen::Absent => Version::ABSENT,
        };
        let value = record.encode();
        self.sent = Some((now, record));
        Op::CompareAndSwap(Write {
            key: self.key.clone(),
            expect,
            value: Some(value),
            lease: None,
        })
    }

    fn on_applied(&mut self, now: MonoTime, version: Version) {
        if let Some((sent, record)) = self.sent.take() {
            self.hold(sent, &record);
            self.seen = Seen::Record(record, version, now);
        }
    }

    fn on_current(&mut self, now: MonoTime, current: Option<Entry>) {
        let Some(entry) = current else {
            self.seen = Seen::Absent;
            self.held = MonoTime::ZERO;
            return;
        };
        let Some(record) = LeaseRecord::decode(&entry.value) else {
            return self.pause(now);
        };
        let since = self.first_seen(entry.version, now);
        self.next = since.after(record.ttl);
        if self.is_ours(&record) {
            self.settle_ours(&record);
        } else {
            self.held = MonoTime::ZERO;
            if record.released {
                self.next = now;
            }
        }
        self.seen = Seen::Record(record, entry.version, since);
    }

    /// Our record stands in the store: the write in doubt took effect, or an earlier one did.
    fn settle_ours(&mut self, record: &LeaseRecord) {
        self.next = MonoTime::ZERO;
        if let Some((sent, written)) = self.sent.take()
            && written == *record
        {
            self.hold(sent, record);
        }
    }

    fn hold(&mut self, sent: MonoTime, record: &LeaseRecord) {
        let lasting = record.ttl.saturating_sub(self.terms.margin);
        self.fence = Some(record.fence);
        self.held = if record.released {
            MonoTime::ZERO
        } else {
            sent.after(lasting)
        };
        self.next = if record.released {
            MonoTime::NEVER
        } else {
            sent.after(self.terms.renewal)
        };
    }

    fn first_seen(&self, version: Version, now: MonoTime) -> MonoTime {
        match &self.seen {
            Seen::Record(_, before, since) if *before == version => *since,
            _ => now,
        }
    }

    fn pause(&mut self, now: MonoTime) {
        self.next = now.after(self.terms.pause);
    }

    fn is_ours(&self, record: &LeaseRecord) -> bool {
        record.is_held_by(&self.record(Fence::ZERO))
    }

    fn record(&self, fence: Fence) -> LeaseRecord {
        LeaseRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            fence,
            count: 0,
            ttl: self.terms.ttl,
            released: false,
        }
    }
}
