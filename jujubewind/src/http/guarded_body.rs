//! A response body that keeps something until it has been sent.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::ReplyBody;
use super::TruncatedBody;

/// A body with a guard that is dropped with it.
pub(super) struct GuardedBody<G> {
    body: ReplyBody,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(super) const fn new(body: ReplyBody, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
