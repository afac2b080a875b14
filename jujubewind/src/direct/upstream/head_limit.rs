//! Bounds what a server sends before the head of its response is complete.

use std::cell::Cell;
use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use super::limits::MAX_BYTES_BEFORE_HEAD;

/// Bytes that are read at once while a head is awaited.
const BLOCK_BYTES: usize = 8 * 1_024;

/// The bytes that may still arrive before the head of a response is complete.
#[derive(Clone, Debug)]
pub struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    /// Creates a budget that is in force until the first head is complete.
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(Some(MAX_BYTES_BEFORE_HEAD))))
    }

    /// Bounds the bytes until the next head is complete.
    pub fn begin(&self) {
        self.0.set(Some(MAX_BYTES_BEFORE_HEAD));
    }

    /// Records that a head is complete; its body has bounds of its own.
    pub fn end(&self) {
        self.0.set(None);
    }
}

/// A stream that fails once a server has sent too much before a head was complete.
///
/// Informational responses and empty lines are skipped one by one, so that no buffer bounds them.
#[derive(Debug)]
pub struct HeadLimit<S> {
    inner: S,
    budget: HeadBudget,
}

impl<S> HeadLimit<S> {
    pub const fn new(inner: S, budget: HeadBudget) -> Self {
        Self { inner, budget }
    }
}

impl<S: Read + Unpin> Read for HeadLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let Some(left) = self.budget.0.get() else {
            return Pin::new(&mut self.inner).poll_read(cx, buf);
        };
        if left == 0 {
            let error = "the head of the response does not end";
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, error)));
        }
        let mut block = [0; BLOCK_BYTES];
        let size = BLOCK_BYTES.min(buf.remaining()).min(left);
        let mut read = ReadBuf::new(&mut block[..size]);
        let polled = Pin::new(&mut self.inner).poll_read(cx, read.unfilled());
        if matches!(polled, Poll::Ready(Ok(()))) {
            let bytes = read.filled();
            buf.put_slice(bytes);
            self.budget.0.set(Some(left - bytes.len()));
        }
        polled
    }
}

impl<S: Write + Unpin> Write for HeadLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
