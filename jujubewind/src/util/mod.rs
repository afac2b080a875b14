//! Helpers shared by several modules.

mod query;
#[macro_use]
pub mod derive;

pub use query::query;
