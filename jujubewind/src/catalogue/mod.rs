//! The operators' catalogue: who owns which work, of which class, within which limits.
//!
//! Operators keep it as a directory of YAML files. What is in force is one immutable
//! [`Catalogue`], accepted or refused whole.

#[macro_use]
mod digest;

#[expect(clippy::module_inception, reason = "the type gives the topic its name")]
mod catalogue;
mod check;
mod entry;
mod error;
mod fault;
mod key_hash;
mod limits;
mod locate;
mod part;
mod part_hash;
mod problem;
mod quantity;
mod source;
mod target;

pub use catalogue::Catalogue;
pub use entry::Entry;
pub use error::Error;
pub use error::Result;
pub use fault::Fault;
pub use fault::Faults;
pub use key_hash::KeyHash;
pub use limits::Limits;
pub use part::Part;
pub use part_hash::PartHash;
pub use problem::Problem;
pub use quantity::EngineSeconds;
pub use quantity::RequestRate;
pub use quantity::Requests;
pub use quantity::TokenRate;
pub use source::Source;
pub use target::Method;
pub use target::Service;
pub use target::Target;
