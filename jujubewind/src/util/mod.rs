//! Small helpers that belong to no topic.

mod query;
#[macro_use]
pub mod derive;

pub use query::query;
