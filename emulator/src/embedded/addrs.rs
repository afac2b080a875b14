//! Free loopback addresses.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// Returns `count` distinct free addresses.
///
/// All listeners are open at the same time, so that no port is returned twice.
pub(super) fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| listener(0));
    let listeners = listeners.collect::<io::Result<Vec<TcpListener>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// Listens on a loopback port; port 0 selects a free one.
pub(super) fn listener(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port))
}

/// Returns the loopback address with this port; port 0 selects a free one.
pub(super) fn with_port(port: u16) -> io::Result<SocketAddr> {
    listener(port)?.local_addr()
}
