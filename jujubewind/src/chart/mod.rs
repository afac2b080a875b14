//! State machines whose transition tables are read from YAML files.

mod error;
mod state_chart;

pub use error::Error;
pub use error::Result;
pub use state_chart::StateChart;
