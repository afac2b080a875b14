//! Calls to plain services: those that may be repeated, and those that run at most once.

mod calls;
mod claims;
mod once;
mod order;
mod retention_task;

pub use calls::Calls;
pub use claims::Claims;
pub use order::Order;
