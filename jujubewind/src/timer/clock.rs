//! The process's monotonic clock.

use std::time::Instant;

use crate::types::MonoTime;

/// Measures the time since its start; copies share that start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at [`MonoTime::ZERO`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let micros = self.start.elapsed().as_micros();
        MonoTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
