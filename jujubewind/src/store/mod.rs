//! The platform's key-value service: what we ask of it and what it may answer.
//!
//! An answer tells three things apart: applied, certainly not applied, and unknown. Nothing that
//! is unknown may be taken for a failure; whoever asked settles it by reading.

mod batch;
mod entry;
mod key;
mod number;
mod op;
mod outcome;

pub use batch::Batch;
pub use batch::Settled;
pub use batch::Waiting;
pub use entry::Entry;
pub use key::Key;
pub use number::LeaseId;
pub use number::Version;
pub use op::Op;
pub use op::Write;
pub use outcome::Cause;
pub use outcome::Outcome;
