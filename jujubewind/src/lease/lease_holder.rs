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

/// The lease record as last seen in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seen {
    /// Not read yet, or a write is in doubt.
    Unknown,
    /// There is no record.
    Absent,
    /// This record, at this version, first seen at this time.
    Record(LeaseRecord, Version, MonoTime),
}

/// Acquires, renews and releases one lease.
///
/// [`LeaseHolder::poll`] returns the next call to the store and [`LeaseHolder::settle`] handles its
/// outcome; at most one call is in flight.
#[derive(Debug)]
pub struct LeaseHolder {
    key: Key,
    node: NodeId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    seen: Seen,
    /// The fencing token of the last time we held the lease.
    fence: Option<Fence>,
    /// The end of our hold on the lease, by our own clock.
    held_until: MonoTime,
    /// The write that is in flight or in doubt, with the time it was sent.
    in_doubt: Option<(MonoTime, LeaseRecord)>,
    write_count: u64,
    is_calling: bool,
    next_poll: MonoTime,
    is_stopping: bool,
}

impl LeaseHolder {
    /// Creates a holder that acquires the lease `name` for one incarnation of a process.
    #[must_use]
    pub fn new(name: &str, node: NodeId, incarnation: Incarnation, terms: LeaseTerms) -> Self {
        Self {
            key: Key::new("leases", name),
            node,
            incarnation,
            terms,
            seen: Seen::Unknown,
            fence: None,
            held_until: MonoTime::ZERO,
            in_doubt: None,
            write_count: 0,
            is_calling: false,
            next_poll: MonoTime::ZERO,
            is_stopping: false,
        }
    }

    /// Returns the fencing token if the lease is held at `now`; check it before each action.
    #[must_use]
    pub fn valid_fence(&self, now: MonoTime) -> Option<Fence> {
        self.fence.filter(|_| now < self.held_until)
    }

    /// Returns the last fencing token, even if the lease has expired. Use it only with receivers
    /// that check fencing tokens.
    #[must_use]
    pub const fn last_fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Returns the store key of the lease.
    #[must_use]
    pub const fn key(&self) -> &Key {
        &self.key
    }

    /// Returns how long this process still holds the lease; zero if it does not hold it.
    #[must_use]
    pub const fn remaining(&self, now: MonoTime) -> Millis {
        self.held_until.since(now)
    }

    /// Releases the lease at the next poll and stops acquiring it.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
        self.next_poll = MonoTime::ZERO;
    }

    /// Returns when to poll next.
    #[must_use]
    pub const fn due(&self) -> MonoTime {
        self.next_poll
    }

    /// Returns the next call to the store if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<Op> {
        if self.is_calling || now < self.next_poll {
            return None;
        }
        let op = match self.record_to_write(now) {
            Some(record) => self.write(now, record),
            None if self.is_stopping => return None,
            None => Op::Get(self.key.clone()),
        };
        self.is_calling = true;
        Some(op)
    }

    /// Handles the outcome of the call returned by [`LeaseHolder::poll`].
    pub fn settle(&mut self, now: MonoTime, outcome: Outcome) {
        self.is_calling = false;
        match outcome {
            Outcome::Applied(version) => self.on_applied(now, version),
            // The entry of another key: the store's answer is wrong.
            Outcome::Found(Some(entry)) if entry.key != self.key => self.retry_later(now),
            Outcome::Found(current) | Outcome::Conflict(current) => self.on_current(now, current),
            Outcome::Unknown => {
                self.seen = Seen::Unknown;
                self.retry_later(now);
            }
            _ => self.retry_later(now),
        }
    }

    /// Returns the record to write now; `None` if the store must be read first or the lease is
    /// taken.
    fn record_to_write(&self, now: MonoTime) -> Option<LeaseRecord> {
        match &self.seen {
            Seen::Unknown => None,
            Seen::Absent if self.is_stopping => None,
            Seen::Absent => Some(self.record(Fence(1))),
            Seen::Record(record, ..) if self.is_ours(record) && !record.released => {
                Some(LeaseRecord {
                    released: self.is_stopping,
                    ..record.clone()
                })
            }
            Seen::Record(record, _, since) => {
                let free = record.released || now >= since.after(record.ttl);
                let raised = self.record(record.fence.saturating_add(Fence(1)));
                (free && !self.is_stopping).then_some(raised)
            }
        }
    }

    fn write(&mut self, now: MonoTime, mut record: LeaseRecord) -> Op {
        self.write_count += 1;
        record.count = self.write_count;
        if record.released {
            self.held_until = MonoTime::ZERO;
        }
        let expect = match &self.seen {
            Seen::Record(_, version, _) => *version,
            Seen::Unknown | Seen::Absent => Version::ABSENT,
        };
        let value = record.encode();
        self.in_doubt = Some((now, record));
        Op::CompareAndSwap(Write {
            key: self.key.clone(),
            expect,
            value: Some(value),
            lease: None,
        })
    }

    fn on_applied(&mut self, now: MonoTime, version: Version) {
        if let Some((sent, record)) = self.in_doubt.take() {
            self.on_written(sent, &record);
            self.seen = Seen::Record(record, version, now);
        }
    }

    fn on_current(&mut self, now: MonoTime, current: Option<Entry>) {
        let Some(entry) = current else {
            self.seen = Seen::Absent;
            self.held_until = MonoTime::ZERO;
            return;
        };
        let Some(record) = LeaseRecord::decode(&entry.value) else {
            return self.retry_later(now);
        };
        let since = self.first_seen(entry.version, now);
        self.next_poll = since.after(record.ttl);
        if self.is_ours(&record) {
            self.on_own_record(&record);
        } else {
            self.held_until = MonoTime::ZERO;
            if record.released {
                self.next_poll = now;
            }
        }
        self.seen = Seen::Record(record, entry.version, since);
    }

    /// Handles our own record in the store: the write in doubt took effect, or an earlier one did.
    fn on_own_record(&mut self, record: &LeaseRecord) {
        self.next_poll = MonoTime::ZERO;
        if let Some((sent, written)) = self.in_doubt.take()
            && written == *record
        {
            self.on_written(sent, record);
        }
    }

    fn on_written(&mut self, sent: MonoTime, record: &LeaseRecord) {
        let duration = record.ttl.saturating_sub(self.terms.margin);
        self.fence = Some(record.fence);
        self.held_until = if record.released {
            MonoTime::ZERO
        } else {
            sent.after(duration)
        };
        self.next_poll = if record.released {
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

    fn retry_later(&mut self, now: MonoTime) {
        self.next_poll = now.after(self.terms.retry_delay);
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
