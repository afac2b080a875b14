//! Timestamps of a process's monotonic clock.

use std::fmt::Display;
use std::fmt::Formatter;

use super::Millis;

/// Microseconds since an arbitrary start; meaningful only within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// The latest time; never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time `micros` microseconds after the start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The time `millis` milliseconds after the start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the start.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The time `span` later, saturating at [`MonoTime::NEVER`].
    #[must_use]
    pub const fn after(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0.saturating_mul(1_000)))
    }

    /// The time `span` earlier, saturating at the start of the clock.
    #[must_use]
    pub const fn before(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.0.saturating_mul(1_000)))
    }

    /// The time elapsed since `earlier`; zero if `earlier` is later than this.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / 1_000)
    }

    /// The time until `later`, rounded up; zero only if `later` has come.
    #[must_use]
    pub const fn until(self, later: Self) -> Millis {
        Millis(later.0.saturating_sub(self.0).div_ceil(1_000))
    }
}

impl Display for MonoTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}us", self.0)
    }
}
