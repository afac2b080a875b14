//! Rate limiting by the generic cell rate algorithm (GCRA). A request's cost delays later ones.

use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::RequestRate;

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;
const MILLI_PER_REQUEST: u64 = 1_000;

/// Burst tolerance of a bucket without a configured burst: one second.
pub const DEFAULT_TOLERANCE: Micros = Micros(MICROS_PER_SECOND);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Micros(pub u64);

impl Micros {
    /// The same duration as `span`.
    #[must_use]
    pub const fn of(span: Millis) -> Self {
        Self(span.get().saturating_mul(MICROS_PER_MILLI))
    }

    /// The time between two requests at `rate`.
    #[must_use]
    pub fn between(rate: RequestRate) -> Self {
        Self(MILLI_PER_REQUEST * MICROS_PER_SECOND / rate.milli().max(1))
    }

    /// The number of microseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Adds, saturating at the longest duration.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The burst tolerance that lets `burst` requests pass at once at `rate` per second.
    #[must_use]
    pub fn for_burst(burst: u64, rate: u64) -> Self {
        Self(burst.saturating_sub(1).saturating_mul(MICROS_PER_SECOND) / rate.max(1))
    }
}

/// A rate limit whose state is one point in time, GCRA's theoretical arrival time.
///
/// A request larger than the burst tolerance is admitted once the debt is within the tolerance, and
/// its whole cost then delays those after it. So the longest prompt can pass, and the rate holds on
/// average.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket {
    arrival: MonoTime,
}

impl Bucket {
    /// A bucket from which so much was taken that it owes `debt` at `now`.
    #[must_use]
    pub fn with_debt(now: MonoTime, debt: Micros) -> Self {
        let arrival = MonoTime::from_micros(now.micros().saturating_add(debt.0));
        Self { arrival }
    }

    /// The same bucket with a debt of at most `longest` at `now`.
    #[must_use]
    pub fn with_debt_up_to(self, now: MonoTime, longest: Micros) -> Self {
        self.min(Self::with_debt(now, longest))
    }

    /// Takes one request at `rate`.
    pub fn take_request(&mut self, now: MonoTime, rate: RequestRate) {
        self.take(now, MILLI_PER_REQUEST, rate.milli());
    }

    /// The delay until the next request conforms under the burst `tolerance`; zero if it does now.
    #[must_use]
    pub fn wait(self, now: MonoTime, tolerance: Micros) -> Millis {
        let debt = self.arrival.micros().saturating_sub(now.micros());
        let excess = debt.saturating_sub(tolerance.0);
        Millis(excess.div_ceil(1_000))
    }

    /// Takes `amount` at `rate` per second.
    pub fn take(&mut self, now: MonoTime, amount: u64, rate: u64) {
        let cost = amount.saturating_mul(MICROS_PER_SECOND) / rate.max(1);
        let from = self.arrival.max(now).micros();
        self.arrival = MonoTime::from_micros(from.saturating_add(cost));
    }

    /// Refunds an `amount` that was taken and not used.
    pub fn refund(&mut self, amount: u64, rate: u64) {
        let cost = amount.saturating_mul(MICROS_PER_SECOND) / rate.max(1);
        self.arrival = MonoTime::from_micros(self.arrival.micros().saturating_sub(cost));
    }
}
