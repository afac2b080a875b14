//! The retry budget, which keeps retries from amplifying an overload.

mod budget;
mod settings;

pub use budget::RetryBudget;
pub use settings::Settings;

use crate::refusal::Refusal;

/// The result of asking for a retry.
pub type Result<T> = std::result::Result<T, Refusal>;
