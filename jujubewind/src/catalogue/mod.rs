//! The operators' catalogue: which organisation may use which models and services, and how.
//!
//! Operators maintain it as a directory of YAML files. A revision is accepted or rejected as a
//! whole; the current one is an immutable [`Catalogue`].

#[macro_use]
mod digest;

#[expect(clippy::module_inception, reason = "the type gives the topic its name")]
mod catalogue;
mod catalogue_store;
mod check;
mod content_hash;
mod diff;
mod difference;
mod entry;
mod error;
mod fault;
pub mod follow;
mod head;
mod key_hash;
mod limits;
mod locate;
mod page;
mod part;
mod problem;
pub mod publish;
mod quantity;
mod source;
mod target;
mod tree;

pub use catalogue::Catalogue;
pub use catalogue_store::CatalogueStore;
pub use content_hash::ContentHash;
pub use diff::Diff;
pub use difference::Difference;
pub use difference::DifferenceKind;
pub use difference::KeyDifference;
pub use entry::Entry;
pub use error::Error;
pub use error::Result;
pub use fault::Fault;
pub use fault::Faults;
pub use head::Head;
pub use head::UnixTime;
pub use key_hash::KeyHash;
pub use limits::Limits;
pub use limits::MAX_TIMEOUT;
pub use page::Page;
pub use part::Part;
pub use problem::Problem;
pub use quantity::EngineSeconds;
pub use quantity::RequestRate;
pub use quantity::Requests;
pub use quantity::TokenRate;
pub use source::Source;
pub use target::Method;
pub use target::Service;
pub use target::Target;
pub use tree::Tree;
