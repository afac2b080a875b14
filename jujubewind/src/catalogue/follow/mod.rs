//! How a process keeps the newest catalogue, from the store or from peers, and never goes back.

mod assembly;
mod follower;
mod message;
mod relay;
mod store_turn;

pub use assembly::Assembly;
pub use follower::Follower;
pub use message::Answer;
pub use message::Output;
pub use message::Query;
pub use message::Source;
pub use message::Update;
pub use relay::children;
