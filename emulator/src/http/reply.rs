//! JSON and streamed responses.

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

/// HTTP response.
pub type Reply = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Chunk of a streamed response; an error closes the connection.
pub type Chunk = io::Result<Bytes>;

/// Response with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    reply(status, "application/json", body.boxed_unsync())
}

/// Streamed response with chunks from a channel.
#[must_use]
pub fn stream(content_type: &'static str, chunks: Receiver<Chunk>) -> Reply {
    let frames = chunks.into_stream().map(|chunk| chunk.map(Frame::data));
    reply(
        StatusCode::OK,
        content_type,
        StreamBody::new(frames).boxed_unsync(),
    )
}

fn reply(
    status: StatusCode,
    content_type: &'static str,
    body: UnsyncBoxBody<Bytes, io::Error>,
) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
