//! Engine time.

use crate::types::Millis;
use crate::types::MonoTime;

crate::quantity! {
    /// Engine time in microseconds.
    pub struct Work(u64), "us";
}

impl Work {
    /// A span as engine time.
    #[must_use]
    pub const fn from_millis(span: Millis) -> Self {
        Self(span.get().saturating_mul(1_000))
    }

    /// The same length in milliseconds, rounded up.
    #[must_use]
    pub const fn millis(self) -> Millis {
        Millis(self.0.div_ceil(1_000))
    }

    /// The engine time that lies between two points.
    #[must_use]
    pub const fn between(from: MonoTime, to: MonoTime) -> Self {
        Self(to.micros().saturating_sub(from.micros()))
    }

    /// `parts` thousandths of it.
    #[must_use]
    pub const fn scaled(self, parts: u64) -> Self {
        Self(self.0.saturating_mul(parts) / 1_000)
    }
}
