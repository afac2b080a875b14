//! Calls to plain services: idempotent ones, and those that run at most once.

mod claimed_call;
mod claims;
mod retention_task;
mod service_call;
mod service_dispatcher;

pub use claims::Claims;
pub use service_call::ServiceCall;
pub use service_dispatcher::ServiceDispatcher;
