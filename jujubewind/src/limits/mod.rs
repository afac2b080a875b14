//! Rate, concurrency and credit limits of catalogue entries and their owners. A request beyond a
//! limit is refused at once and never queued.

mod bucket;
mod charge;
mod limiter;
mod rates;

pub use bucket::Bucket;
pub use bucket::Micros;
pub use charge::Charge;
pub use limiter::Limiter;
pub use rates::Rates;

use crate::refusal::Refusal;

/// The result of a check against the limits.
pub type Result<T> = std::result::Result<T, Refusal>;
