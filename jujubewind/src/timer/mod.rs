//! The process's clock and periodic ticks for its components.

mod clock;
mod timer_service;

pub use clock::Clock;
pub use timer_service::TimerService;
