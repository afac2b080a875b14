//! Calls between Jujubewind processes: tarpc over TCP on compio.

mod agent_service;
mod connection;
mod error;
mod exchanged;
mod frame;
mod gossip_link;
pub mod message;
mod peer_service;
mod room;
mod serve;
mod time_driver;
mod transport;

pub use agent_service::Agent;
pub use agent_service::AgentClient;
pub use agent_service::AgentRequest;
pub use agent_service::AgentResponse;
pub use connection::Connection;
pub use connection::Connections;
pub use error::Error;
pub use error::Result;
pub use gossip_link::GossipLink;
pub use peer_service::Peer;
pub use peer_service::PeerClient;
pub use peer_service::PeerRequest;
pub use peer_service::PeerResponse;
pub use room::Room;
pub use serve::serve;
pub use time_driver::TimeDriver;
