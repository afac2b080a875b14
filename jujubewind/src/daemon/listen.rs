//! The listening socket of a daemon.

use std::net::SocketAddr;

use compio::net::TcpListener;

use crate::types::NodeId;

/// Binds the address on which `node` serves, and logs it.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen(node: &NodeId, addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await?;
    crate::event!(
        info,
        "listening",
        node = node,
        addr = listener.local_addr()?
    );
    Ok(listener)
}
