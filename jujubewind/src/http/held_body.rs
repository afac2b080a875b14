//! A body that is held until it is whole.

use std::sync::Arc;
use std::sync::Mutex;

use super::BodyBudget;
use super::WholeBody;
use super::body_budget::lock;
use crate::memory::Charge;
use crate::types::MonoTime;

/// The bytes that are held in one piece: memory of one size is used again for any other body, and a body
/// is never copied to grow.
const SEGMENT_BYTES: usize = 16 * 1_024;
/// The least memory of a body.
const MIN_SEGMENT_BYTES: usize = 1_024;

/// What has arrived of a body.
#[derive(Debug)]
pub(super) struct Content {
    segments: Vec<Vec<u8>>,
    charge: Charge,
    /// When it last grew; `None` once it was ended to make room.
    grown: Option<MonoTime>,
}

impl Content {
    pub(super) const fn new(charge: Charge, now: MonoTime) -> Self {
        Self {
            segments: Vec::new(),
            charge,
            grown: Some(now),
        }
    }

    /// When it last grew; `None` if it holds nothing that could make room.
    pub(super) fn grown(&self) -> Option<MonoTime> {
        self.grown.filter(|_| self.charge.bytes() > 0)
    }

    /// Drops what has arrived.
    pub(super) fn end(&mut self) {
        self.segments = Vec::new();
        self.charge.clear();
        self.grown = None;
    }

    fn spare(&self) -> usize {
        let last = self.segments.last();
        last.map_or(0, |last| last.capacity() - last.len())
    }

    /// Appends what fits without more memory, and returns the rest.
    fn fill<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (head, rest) = bytes.split_at(bytes.len().min(self.spare()));
        if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(head);
        }
        rest
    }

    /// Takes memory for more bytes; returns whether there was room.
    fn extend(&mut self, needed: usize) -> bool {
        let own = self.charge.bytes();
        match self.segments.last_mut() {
            Some(last) if last.capacity() < SEGMENT_BYTES => {
                let more = SEGMENT_BYTES - last.capacity();
                if !self.charge.resize(own + more) {
                    return false;
                }
                last.reserve_exact(SEGMENT_BYTES - last.len());
            }
            last => {
                let is_first = last.is_none();
                let size = if is_first {
                    needed.clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES)
                } else {
                    SEGMENT_BYTES
                };
                if !self.charge.resize(own + size) {
                    return false;
                }
                self.segments.push(Vec::with_capacity(size));
            }
        }
        true
    }
}

/// A body that grows, counted in the account of its process until its last bytes are dropped.
#[derive(Debug)]
pub struct HeldBody {
    budget: Arc<BodyBudget>,
    /// Its number if it is that of a request, which may be ended to make room.
    number: Option<u64>,
    content: Arc<Mutex<Content>>,
    length: usize,
}

impl HeldBody {
    pub(super) const fn new(
        budget: Arc<BodyBudget>,
        number: Option<u64>,
        content: Arc<Mutex<Content>>,
    ) -> Self {
        Self {
            budget,
            number,
            content,
            length: 0,
        }
    }

    /// Appends bytes, unless there is no room for them, or it was ended to make room; returns whether it
    /// did.
    #[must_use]
    pub fn push(&mut self, now: MonoTime, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        loop {
            {
                let mut content = lock(&self.content);
                if content.grown.is_none() {
                    return false;
                }
                content.grown = Some(now);
                rest = content.fill(rest);
                if rest.is_empty() {
                    self.length += bytes.len();
                    return true;
                }
                if content.extend(rest.len()) {
                    continue;
                }
            }
            if !self.budget.end_stalled(now, self.number) {
                return false;
            }
        }
    }

    /// The length in bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing was appended.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The whole body, which is counted until it is dropped; `None` if it was ended to make room.
    #[must_use]
    pub fn finish(self) -> Option<WholeBody> {
        let mut content = lock(&self.content);
        content.grown.take()?;
        let segments = std::mem::take(&mut content.segments);
        let charge = content.charge.take();
        Some(WholeBody::new(segments, self.length, charge))
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.budget.forget(number);
        }
    }
}
