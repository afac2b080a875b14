//! Retries that cannot amplify an overload.

mod budget;
mod settings;

pub use budget::RetryBudget;
pub use settings::Settings;

use crate::refusal::Refusal;

/// Whether a retry is allowed.
pub type Result<T> = std::result::Result<T, Refusal>;
