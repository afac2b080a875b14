//! A socket filter that keeps a listener from receiving new connections.

use socket2::SockFilter;
use socket2::SockRef;

/// The result of a system call.
type Result<T> = std::io::Result<T>;

/// Opcodes of the classic Berkeley Packet Filter (`linux/bpf_common.h`).
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// The offset of the flags in a TCP header (RFC 9293, 3.1), in bytes.
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

/// Makes `listener` drop the packets that open a connection; those of handshakes under way, and of
/// the connections that come of them, still pass.
///
/// # Errors
///
/// Returns the error of the system call if the system has no socket filters.
pub(super) fn attach(listener: &SockRef<'_>) -> Result<()> {
    listener.attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}
