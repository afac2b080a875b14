//! A timer service: one task that ticks, and the parts that subscribe to it.

mod clock;
mod timer_service;

pub use clock::Clock;
pub use timer_service::TimerService;
