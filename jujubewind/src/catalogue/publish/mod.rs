//! Publishes an operator's change to the platform's store atomically.

mod message;
mod publisher;

pub use message::Base;
pub use message::Change;
pub use message::Conflict;
pub use message::HeadVersion;
pub use message::Output;
pub use message::PublishOutcome;
pub use message::Reply;
pub use message::Request;
pub use publisher::Publisher;
