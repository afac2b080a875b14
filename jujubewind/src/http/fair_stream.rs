//! A stream that shares the process with others, whatever its peer does.

use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// The most bytes that are written at once: the stream below copies them into a buffer that stays as
/// large.
const MAX_WRITE_BYTES: usize = 16 * 1_024;
/// Most reads in a row that find bytes; then the task is queued behind the others.
const MAX_READS: u32 = 2;

/// A stream whose reader gives way from time to time, and whose writer takes little at once.
///
/// The decoder of chunked bodies reads until it has a piece of the body, which a peer can delay for
/// as long as it likes.
#[derive(Debug)]
pub struct FairStream<S> {
    inner: S,
    /// Reads that have found bytes since the reader last gave way.
    reads: u32,
}

impl<S> FairStream<S> {
    /// Wraps a stream.
    pub const fn new(inner: S) -> Self {
        Self { inner, reads: 0 }
    }
}

impl<S: Read + Unpin> Read for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        if self.reads == MAX_READS {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        polled
    }
}

impl<S: Write + Unpin> Write for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, start_of(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let first = bufs.iter().find(|buf| !buf.is_empty());
        let first = first.map_or(&[][..], |buf| start_of(buf));
        Pin::new(&mut self.inner).poll_write(cx, first)
    }

    /// Tells hyper to queue bodies instead of copying them into one buffer.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// The part of `bytes` that is written at once.
fn start_of(bytes: &[u8]) -> &[u8] {
    &bytes[..bytes.len().min(MAX_WRITE_BYTES)]
}
