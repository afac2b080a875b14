//! The lifecycle of a daemon, including a graceful shutdown that completes open requests.

mod daemon;
mod drain;
mod drain_event;
mod drain_limits;
mod drain_phase;
mod open_requests;
mod stage;

pub use daemon::Daemon;
pub use daemon::Draining;
pub use daemon::Serving;
pub use daemon::Starting;
pub use daemon::Stopped;
pub use drain::Drain;
pub use drain_event::DrainEvent;
pub use drain_limits::DrainLimits;
pub use drain_phase::DrainPhase;
pub use open_requests::OpenRequests;
pub use stage::Stage;

use crate::chart;

/// The result of a lifecycle operation; only an invalid state chart fails.
pub type Result<T> = chart::Result<T>;
