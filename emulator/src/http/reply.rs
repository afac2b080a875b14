//! Answers: JSON, or a stream of pieces.

use std::io;

use flume::Receiver;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

/// An answer.
pub type Reply = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// The next piece of a streamed answer; an error breaks the connection.
pub type Chunk = io::Result<Bytes>;

/// An answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    reply(status, "application/json", body.boxed_unsync())
}

/// An answer whose pieces come from a channel.
#[must_use]
pub fn stream(kind: &'static str, pieces: Receiver<Chunk>) -> Reply {
    let frames = pieces.into_stream().map(|piece| piece.map(Frame::data));
    reply(StatusCode::OK, kind, StreamBody::new(frames).boxed_unsync())
}

fn reply(status: StatusCode, kind: &'static str, body: UnsyncBoxBody<Bytes, io::Error>) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}
