//! Bounds how long sent data stays unacknowledged.

use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use compio::net::TcpStream;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::TcpUserTimeout;

use super::ack_timeout::AckTimeout;
use crate::types::Millis;

/// A stream that fails once data stayed unacknowledged for too long.
#[derive(Debug)]
pub struct AckLimit<S> {
    inner: S,
    socket: TcpStream,
    timeout: AckTimeout,
    /// The timeout that the socket has; `None` before the first write.
    applied: Option<Millis>,
}

impl<S> AckLimit<S> {
    /// Wraps a stream over `socket`.
    pub const fn new(inner: S, socket: TcpStream, timeout: AckTimeout) -> Self {
        Self {
            inner,
            socket,
            timeout,
            applied: None,
        }
    }

    fn apply(&mut self) -> Result<()> {
        let timeout = self.timeout.get();
        if self.applied == Some(timeout) {
            return Ok(());
        }
        let millis = u32::try_from(timeout.get()).unwrap_or(u32::MAX);
        setsockopt(&self.socket, TcpUserTimeout, &millis)?;
        self.applied = Some(timeout);
        Ok(())
    }
}

impl<S: Read + Unpin> Read for AckLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for AckLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.apply()?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.apply()?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.apply()?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
