//! Connections to backend servers.

mod ack_limit;
mod ack_timeout;
mod connection;
mod cut_detector;
mod head_limit;
mod limits;
mod pool;
mod purpose;
mod send_fault;

pub use connection::Connection;
pub use pool::Pool;
pub use purpose::Purpose;
pub use send_fault::SendFault;
