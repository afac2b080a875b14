//! Responses: whole ones and streams of server-sent events.

use std::pin::Pin;

use flume::Receiver;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

use super::TruncatedBody;

/// A body of ours, whole or a stream; it stays on its thread.
pub type ReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = TruncatedBody>>>;

/// A response of ours.
pub type Reply = Response<ReplyBody>;

/// A whole response with a body of JSON.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(body).unwrap_or_default();
    json_bytes(status, text)
}

/// A whole response whose body is JSON already.
#[must_use]
pub fn json_bytes(status: StatusCode, body: Vec<u8>) -> Reply {
    whole(status, "application/json", body)
}

/// A whole response with a body of plain text.
#[must_use]
pub fn plain(status: StatusCode, body: impl Into<Vec<u8>>) -> Reply {
    whole(status, "text/plain; charset=utf-8", body.into())
}

/// A stream of server-sent events, each the `data` that the receiver yields.
#[must_use]
pub fn event_stream(events: Receiver<String>) -> Reply {
    let frames = events
        .into_stream()
        .map(|data| Ok(Frame::data(Bytes::from(format!("data: {data}\n\n")))));
    let mut reply = streamed(StreamBody::new(frames));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply
}

fn whole(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = bytes(Bytes::from(body));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

/// A response whose whole body is `body`, without headers.
#[must_use]
pub fn bytes(body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|never| match never {});
    streamed(body)
}

/// A response with a body of any form, without headers.
pub fn streamed(body: impl Body<Data = Bytes, Error = TruncatedBody> + 'static) -> Reply {
    Response::new(Box::pin(body))
}
