//! Tells the end of a connection on which a request could not be sent from the end of a response.

use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Bytes that are read at once while a request is not wholly sent.
const BLOCK_BYTES: usize = 8 * 1_024;

/// A stream whose end is an error while a request is not wholly sent.
///
/// A server that answers a long request before it has read it may break off. The reset is reported to
/// the next write only, and the read after it finds the end of the stream, so that a response without
/// a length would seem to be whole.
#[derive(Debug)]
pub struct CutDetector<S> {
    inner: S,
    /// Whether the last write or flush has failed or not been completed.
    is_unsent: bool,
}

impl<S> CutDetector<S> {
    pub const fn new(inner: S) -> Self {
        let is_unsent = false;
        Self { inner, is_unsent }
    }

    fn note<T>(&mut self, polled: Poll<Result<T>>) -> Poll<Result<T>> {
        self.is_unsent = !matches!(polled, Poll::Ready(Ok(_)));
        polled
    }
}

impl<S: Read + Unpin> Read for CutDetector<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        if !self.is_unsent {
            return Pin::new(&mut self.inner).poll_read(cx, buf);
        }
        // A cursor does not tell how much was read into it.
        let mut block = [0; BLOCK_BYTES];
        let size = BLOCK_BYTES.min(buf.remaining());
        let mut read = ReadBuf::new(&mut block[..size]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, read.unfilled()))?;
        if read.filled().is_empty() {
            let error = "the connection ended before the request was sent";
            return Poll::Ready(Err(Error::new(ErrorKind::ConnectionReset, error)));
        }
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for CutDetector<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.note(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.note(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        self.note(polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
