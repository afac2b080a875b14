//! A response body whose connection is closed if it does not end in time.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use compio::runtime::JoinHandle;
use flume::Sender;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::ReadLimit;
use super::ReplyBody;
use super::TruncatedBody;

/// A body with a timer of its own: hyper does not poll a body while its caller reads nothing.
pub(super) struct LimitedBody {
    body: ReplyBody,
    /// Cancelled when the body is dropped.
    _timer: JoinHandle<()>,
}

impl LimitedBody {
    /// Sends to `expired` unless the body is dropped within `limit`.
    pub(super) fn new(body: ReplyBody, limit: ReadLimit, expired: Sender<()>) -> Self {
        let timer = compio::runtime::spawn(async move {
            compio::time::sleep(limit.0.duration()).await;
            let _ = expired.try_send(());
        });
        Self {
            body,
            _timer: timer,
        }
    }
}

impl Body for LimitedBody {
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
