//! Keeps a process on the newest catalogue revision, fetched from the store or from peers.
//!
//! The revision of a process never decreases.

mod assembly;
mod follower;
mod message;
mod relay;
mod store_backoff;

pub use assembly::Assembly;
pub use follower::Follower;
pub use message::Answer;
pub use message::Output;
pub use message::Query;
pub use message::Source;
pub use message::Update;
pub use relay::children;
