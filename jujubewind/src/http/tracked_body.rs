//! A response body after which its connection waits for the next request.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::Phase;
use super::ReplyBody;
use super::TruncatedBody;

/// A body that tells its connection's phase when it has been sent.
pub(super) struct TrackedBody {
    body: ReplyBody,
    phase: Phase,
}

impl TrackedBody {
    pub(super) const fn new(body: ReplyBody, phase: Phase) -> Self {
        Self { body, phase }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.phase.wait();
    }
}

impl Body for TrackedBody {
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
