//! A loopback address that is reserved for a process or thread yet to listen on it.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// A reserved TCP loopback address.
///
/// The system gives the port to no other socket until this is dropped, but a listener that sets
/// `SO_REUSEADDR` can bind it.
#[derive(Debug)]
pub struct ReservedAddr {
    addr: SocketAddr,
    _socket: Socket,
}

impl ReservedAddr {
    /// Reserves a loopback port; port 0 selects a free one.
    ///
    /// # Errors
    /// Another socket listens on the port, or no port is free.
    pub fn new(port: u16) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())?;
        let addr = socket.local_addr()?.as_socket();
        Ok(Self {
            addr: addr.ok_or(io::ErrorKind::AddrNotAvailable)?,
            _socket: socket,
        })
    }

    /// The reserved address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}
