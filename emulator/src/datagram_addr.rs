//! A loopback address for the datagrams of a process that is yet to bind it.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports that the system gives to no socket by itself.
const PORTS: Range<u16> = 12_000..32_000;
/// The distance between the first ports of processes with consecutive numbers.
const STRIDE: u32 = 61;

/// How many ports this process has tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Selects an address that no datagram socket is bound to, another one at each call. It is not
/// reserved, but no socket is bound to it by chance.
///
/// # Errors
/// None of the ports is free.
pub fn unused_datagram_addr() -> io::Result<SocketAddr> {
    let count = PORTS.end - PORTS.start;
    let spread = std::process::id().wrapping_mul(STRIDE) % u32::from(count);
    let start = u16::try_from(spread).unwrap_or_default();
    for _ in 0..count {
        let number = TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = (u32::from(start) + u32::from(number)) % u32::from(count);
        let port = PORTS.start + u16::try_from(offset).unwrap_or_default();
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
