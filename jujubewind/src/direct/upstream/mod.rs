//! Connections to backend servers.

mod ack_limit;
mod ack_timeout;
mod connection;
mod head_limit;
mod limits;
mod pool;
mod send_fault;

pub use connection::Connection;
pub use pool::Pool;
pub use send_fault::SendFault;
