//! What catalogue entries and their owners may use, refused at once when it is used up.

mod bucket;
mod charge;
mod limiter;
mod rates;

pub use charge::Charge;
pub use limiter::Limiter;
pub use rates::Rates;

use crate::refusal::Refusal;

/// Whether a request is within its limits.
pub type Result<T> = std::result::Result<T, Refusal>;
