//! Helpers shared by several modules.

mod query;
mod yield_now;
#[macro_use]
pub mod derive;

pub use query::query;
pub use yield_now::yield_now;
