//! The memory that bodies which are held until they are whole may take together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hyper::body::Bytes;

/// The part of its length by which a body's buffer grows.
const GROWTH_DIVISOR: usize = 4;
/// The least growth of a body's buffer.
const MIN_GROWTH_BYTES: usize = 1_024;

/// A limit on the bytes of all held bodies.
///
/// A body that grows beyond the limit ends if it is larger than an equal share of it, so that many
/// small bodies are not refused for a few large ones that never end. All together take twice the
/// limit at most.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    used: AtomicUsize,
    bodies: AtomicUsize,
}

/// A body that grows, counted until its last bytes are dropped.
#[derive(Debug)]
pub struct HeldBody {
    budget: Arc<BodyBudget>,
    bytes: Vec<u8>,
    counted: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
        })
    }

    /// The bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Begins an empty body.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> HeldBody {
        self.bodies.fetch_add(1, Ordering::Relaxed);
        HeldBody {
            budget: self.clone(),
            bytes: Vec::new(),
            counted: 0,
        }
    }

    /// Whether a body may not grow by `grown` bytes to `own`.
    fn is_over_share(&self, grown: usize, own: usize) -> bool {
        let bodies = self.bodies.load(Ordering::Relaxed).max(1);
        self.used().saturating_add(grown) > self.limit && own > self.limit / bodies
    }
}

impl HeldBody {
    /// Appends bytes, unless the body would take more than the budget allows; returns whether it did.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() {
            // Doubling would take up to twice the memory that a body needs.
            let capacity = length.saturating_add((length / GROWTH_DIVISOR).max(MIN_GROWTH_BYTES));
            let grown = capacity - self.counted;
            if self.budget.is_over_share(grown, capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
            let grown = self.bytes.capacity() - self.counted;
            self.counted += grown;
            self.budget.used.fetch_add(grown, Ordering::Relaxed);
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// The length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was appended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The whole body, which is counted until it has been sent.
    #[must_use]
    pub fn finish(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.counted, Ordering::Relaxed);
        self.budget.bodies.fetch_sub(1, Ordering::Relaxed);
    }
}
