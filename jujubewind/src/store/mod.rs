//! The platform's key-value service: what we ask of it and what it may answer.
//!
//! An answer tells three things apart: applied, certainly not applied, and unknown. Nothing that
//! is unknown may be taken for a failure; whoever asked settles it by reading.

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
