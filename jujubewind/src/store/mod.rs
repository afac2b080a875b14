//! Client of the platform's key-value service.
//!
//! A call is applied, certainly not applied, or unknown. An unknown outcome must not be treated as
//! a failure; the caller resolves it by reading.

mod answer;
mod batch;
mod call_kind;
mod client;
mod entry;
mod error;
mod key;
mod number;
mod op;
mod outcome;
mod request;
mod task;
mod watch;

pub use batch::Batch;
pub use batch::BatchResult;
pub use batch::PendingWrite;
pub use call_kind::CallKind;
pub use client::Client;
pub use entry::Entry;
pub use error::Error;
pub use error::Result;
pub use key::Key;
pub use number::LeaseId;
pub use number::Version;
pub use op::Op;
pub use op::Write;
pub use outcome::Cause;
pub use outcome::Outcome;
pub use task::Store;
pub use watch::Watch;
pub use watch::WatchEvent;
