//! Responses with a complete body or a stream of server-sent events.

use std::pin::Pin;

use flume::Receiver;
use futures::StreamExt;
use http_body_util::BodyExt;
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
use super::WholeBody;

/// A response body, complete or streamed; it is not `Send`.
pub type ReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = TruncatedBody>>>;

/// A response with a [`ReplyBody`].
pub type Reply = Response<ReplyBody>;

/// Creates a response that serializes `body` as JSON.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(body).unwrap_or_default();
    json_bytes(status, text)
}

/// Creates a response from a body that is already JSON.
#[must_use]
pub fn json_bytes(status: StatusCode, body: Vec<u8>) -> Reply {
    json_whole(status, body.into())
}

/// Creates a response from a body that is already JSON and may be counted.
#[must_use]
pub fn json_whole(status: StatusCode, body: WholeBody) -> Reply {
    complete(status, "application/json", body)
}

/// Creates a plain text response.
#[must_use]
pub fn plain(status: StatusCode, body: impl Into<Vec<u8>>) -> Reply {
    let body: Vec<u8> = body.into();
    complete(status, "text/plain; charset=utf-8", body.into())
}

/// Creates a stream of server-sent events with the `data` that the receiver yields.
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

fn complete(status: StatusCode, content_type: &'static str, body: WholeBody) -> Reply {
    let mut reply = whole(body);
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Creates a response with a complete body, without headers.
#[must_use]
pub fn whole(body: WholeBody) -> Reply {
    streamed(body.map_err(|never| match never {}))
}

/// Creates a response with any kind of body, without headers.
pub fn streamed(body: impl Body<Data = Bytes, Error = TruncatedBody> + 'static) -> Reply {
    Response::new(Box::pin(body))
}
