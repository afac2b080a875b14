//! A tokio timer for tarpc's deadlines.

use tokio::runtime::Builder;
use tokio::runtime::EnterGuard;
use tokio::runtime::Runtime;

/// A tokio runtime that drives only timers; all I/O runs on compio.
#[derive(Debug)]
pub struct TimeDriver {
    runtime: Runtime,
}

impl TimeDriver {
    /// Starts the timer thread.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_time()
            .build()?;
        Ok(Self { runtime })
    }

    /// Makes the timers available to tarpc on the current thread until the guard is dropped.
    pub fn enter(&self) -> EnterGuard<'_> {
        self.runtime.enter()
    }
}
