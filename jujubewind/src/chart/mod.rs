//! State charts: files that say which event leads from which state to which.

mod error;
mod state_chart;

pub use error::Error;
pub use error::Result;
pub use state_chart::StateChart;
