//! Addresses that are reserved until a daemon listens on them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use jujube_emulator::reserved_addr::ReservedAddr;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Binds like an outgoing connection: without `SO_REUSEADDR`.
fn bind_exclusively(addr: SocketAddr) -> std::io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&addr.into())
}

#[test]
fn only_a_listener_takes_a_reserved_address() {
    let reserved = ReservedAddr::new(0).expect("a free port");

    let other = bind_exclusively(reserved.addr()).expect_err("the port is reserved");
    let listener = TcpListener::bind(reserved.addr()).expect("a listener");

    assert_eq!(other.kind(), ErrorKind::AddrInUse);
    assert!(TcpStream::connect(reserved.addr()).is_ok());
    drop(listener);
}

#[test]
fn a_port_with_a_listener_cannot_be_reserved() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = listener.local_addr().expect("an address").port();

    assert!(ReservedAddr::new(port).is_err());
}
