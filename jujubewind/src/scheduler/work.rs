//! Engine time, the unit of the scheduler.

use crate::types::Millis;
use crate::types::MonoTime;

crate::quantity! {
    /// Engine time in microseconds.
    pub struct Work(u64), "us";
}

impl Work {
    /// Converts from milliseconds.
    #[must_use]
    pub const fn from_millis(span: Millis) -> Self {
        Self(span.get().saturating_mul(1_000))
    }

    /// Converts to milliseconds, rounded up.
    #[must_use]
    pub const fn millis(self) -> Millis {
        Millis(self.0.div_ceil(1_000))
    }

    /// The time between two points; zero if `to` is earlier.
    #[must_use]
    pub const fn between(from: MonoTime, to: MonoTime) -> Self {
        Self(to.micros().saturating_sub(from.micros()))
    }

    /// Scales by `permille` thousandths.
    #[must_use]
    pub const fn scaled(self, permille: u64) -> Self {
        Self(self.0.saturating_mul(permille) / 1_000)
    }
}
