//! The rate at which peers start prefill work.

use super::limits::INFLOW_PERIOD;
use super::limits::MIN_INFLOW_TIME;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;

/// The prefill work that peers started in this period and in the one before.
#[derive(Clone, Debug, Default)]
pub struct Inflow {
    start: MonoTime,
    current: Work,
    previous: Work,
}

impl Inflow {
    /// Adds work that a peer started.
    pub fn record(&mut self, now: MonoTime, work: Work) {
        let elapsed = now.since(self.start);
        if elapsed >= INFLOW_PERIOD {
            let is_next = elapsed < INFLOW_PERIOD.saturating_add(INFLOW_PERIOD);
            self.previous = if is_next { self.current } else { Work::ZERO };
            self.current = Work::ZERO;
            self.start = now;
        }
        self.current = self.current.saturating_add(work);
    }

    /// The work that peers start within `time`, if they go on as in the busier of both periods.
    #[must_use]
    pub fn within(&self, now: MonoTime, time: Millis) -> Work {
        let elapsed = now.since(self.start);
        if elapsed >= INFLOW_PERIOD.saturating_add(INFLOW_PERIOD) {
            return Work::ZERO;
        }
        let share =
            |work: Work, period: Millis| work.get().saturating_mul(time.get()) / period.get();
        let current = share(self.current, elapsed.max(MIN_INFLOW_TIME));
        Work(current.max(share(self.previous, INFLOW_PERIOD)))
    }
}
