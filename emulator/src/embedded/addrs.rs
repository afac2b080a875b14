//! Free addresses on loopback.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// As many different free addresses as asked for.
///
/// All are held at once before any is given back, so that none is named twice.
pub(super) fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| listener(0));
    let listeners = listeners.collect::<io::Result<Vec<TcpListener>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// A listener on loopback; port 0 takes a free one.
pub(super) fn listener(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port))
}

/// The address on loopback with this port, or a free one for port 0.
pub(super) fn at(port: u16) -> io::Result<SocketAddr> {
    listener(port)?.local_addr()
}
