//! The generic cell rate algorithm, with the price paid afterwards.

use crate::types::Millis;
use crate::types::MonoTime;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// How far ahead of its rate a bucket may run that names no burst: a second of it.
pub const WINDOW: Micros = Micros(MICROS_PER_SECOND);

/// A span in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Micros(u64);

impl Micros {
    /// How far ahead a bucket of `rate` a second may run so that `burst` pass at once.
    pub fn of_burst(burst: u64, rate: u64) -> Self {
        Self(burst.saturating_sub(1).saturating_mul(MICROS_PER_SECOND) / rate.max(1))
    }
}

/// A rate limit whose state is one point in time: when all that was taken is paid off.
///
/// A request larger than the window is let in when the bucket is nearly paid off, and its whole
/// price then delays those after it. So the longest prompt can pass, and the rate holds on average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    paid: MonoTime,
}

impl Bucket {
    /// The wait until something may be taken by a bucket that may run `ahead`; zero if it may now.
    pub fn wait(self, now: MonoTime, ahead: Micros) -> Millis {
        let debt = self.paid.micros().saturating_sub(now.micros());
        let over = debt.saturating_sub(ahead.0);
        Millis(over.div_ceil(1_000))
    }

    /// Takes `amount` at `rate` a second.
    pub fn take(&mut self, now: MonoTime, amount: u64, rate: u64) {
        let price = amount.saturating_mul(MICROS_PER_SECOND) / rate.max(1);
        let from = self.paid.max(now).micros();
        self.paid = MonoTime::from_micros(from.saturating_add(price));
    }

    /// Gives back what was taken and not used.
    pub fn refund(&mut self, amount: u64, rate: u64) {
        let price = amount.saturating_mul(MICROS_PER_SECOND) / rate.max(1);
        self.paid = MonoTime::from_micros(self.paid.micros().saturating_sub(price));
    }
}
