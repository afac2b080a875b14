//! Small helpers that belong to no topic.

#[macro_use]
pub mod derive;
