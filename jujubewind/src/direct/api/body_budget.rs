//! The memory that responses which are held until they are whole may take together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hyper::body::Bytes;

/// A limit on the bytes of all held bodies.
///
/// A body that grows while they exceed the limit ends if it is larger than an equal share of it, so
/// that many small responses are not refused for a few that never end.
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

    fn is_over_share(&self, own: usize) -> bool {
        let bodies = self.bodies.load(Ordering::Relaxed).max(1);
        self.used() > self.limit && own > self.limit / bodies
    }
}

impl HeldBody {
    /// Appends bytes; returns whether the budget allows the body to go on.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        let grown = self.bytes.capacity() - self.counted;
        self.counted += grown;
        self.budget.used.fetch_add(grown, Ordering::Relaxed);
        !self.budget.is_over_share(self.counted)
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
