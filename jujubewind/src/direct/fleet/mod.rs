//! The backend servers that the platform lists, and their health.

mod health;
mod id;
mod limits;
mod roster;
mod server;
mod state;

pub use health::Health;
pub use id::ServerId;
pub use roster::Roster;
pub use server::Server;
pub use state::ServerState;
