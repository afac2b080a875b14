//! The timers that tarpc's deadlines need.

use tokio::runtime::Builder;
use tokio::runtime::EnterGuard;
use tokio::runtime::Runtime;

/// A tokio runtime with nothing but its timers; no socket goes through it.
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

    /// Makes the timers available to tarpc on the calling thread while the guard lives.
    pub fn enter(&self) -> EnterGuard<'_> {
        self.runtime.enter()
    }
}
