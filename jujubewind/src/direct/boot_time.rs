//! A monotonic clock that includes the time in which the machine was suspended.

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::types::Millis;

/// Milliseconds since boot, including the time in which the machine was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(u64);

impl BootTime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else {
            return Self(u64::MAX);
        };
        let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
        Self(seconds * 1_000 + nanos / 1_000_000)
    }

    /// The time `millis` milliseconds after boot, for tests.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// The time `span` later.
    #[must_use]
    pub const fn after(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// The time `span` earlier.
    #[must_use]
    pub const fn before(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.0))
    }

    /// The time elapsed since `earlier`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}
