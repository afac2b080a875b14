//! The backend servers that the platform lists, and their health.

mod cold_spells;
mod delisting;
mod delistings;
mod health;
mod id;
pub mod limits;
mod notice;
mod notices;
mod peer_notice;
mod replacement;
mod roster;
mod server;
mod server_limits;
mod state;
mod told_limit;

pub use cold_spells::ColdSpells;
pub use delisting::Delisting;
pub use delistings::Delistings;
pub use health::Health;
pub use id::ServerId;
pub use notice::Notice;
pub use notices::Notices;
pub use peer_notice::PeerNotice;
pub use replacement::Replacement;
pub use roster::Roster;
pub use server::Server;
pub use server_limits::ServerLimits;
pub use state::ServerState;
pub use told_limit::ToldLimit;
