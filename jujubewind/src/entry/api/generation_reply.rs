//! Conversion of response events into an HTTP response.

use flume::Receiver;
use flume::Sender;
use hyper::StatusCode;

use super::dialect::Dialect;
use super::dialect::ResponseMetadata;
use super::error_reply::error_body;
use super::error_reply::error_reply;
use crate::entry::Failure;
use crate::entry::response_event::ResponseEvent;
use crate::http::Reply;
use crate::http::event_stream;
use crate::http::json_bytes;
use crate::refusal::Reason;
use crate::types::Millis;

/// The last event of a stream.
const DONE: &str = "[DONE]";
/// Events that are buffered for a slow caller before backpressure reaches its request.
const BUFFERED_EVENTS: usize = 16;

/// Collects all events and returns the complete response.
pub async fn full_reply(
    dialect: Dialect,
    metadata: &ResponseMetadata,
    events: Receiver<ResponseEvent>,
) -> Reply {
    let mut text = String::new();
    while let Ok(event) = events.recv_async().await {
        match event {
            ResponseEvent::Tokens(tokens) => text.extend(tokens),
            ResponseEvent::End(finish, count) => {
                let body = dialect.response(metadata, text, finish, count);
                return json_bytes(StatusCode::OK, body);
            }
            ResponseEvent::Failed(failure) => return error_reply(metadata.request, &failure),
        }
    }
    error_reply(metadata.request, &interrupted())
}

/// Returns a streamed response, or an error if the request fails before its first token.
pub async fn streamed_reply(
    dialect: Dialect,
    metadata: ResponseMetadata,
    events: Receiver<ResponseEvent>,
) -> Reply {
    let first = match events.recv_async().await {
        Ok(ResponseEvent::Failed(failure)) => return error_reply(metadata.request, &failure),
        Err(_) => return error_reply(metadata.request, &interrupted()),
        Ok(event) => event,
    };
    let (tx, rx) = flume::bounded(BUFFERED_EVENTS);
    compio::runtime::spawn(relay(dialect, metadata, first, events, tx)).detach();
    event_stream(rx)
}

async fn relay(
    dialect: Dialect,
    metadata: ResponseMetadata,
    first: ResponseEvent,
    events: Receiver<ResponseEvent>,
    caller: Sender<String>,
) {
    let mut next = Ok(first);
    while let Ok(event) = next {
        let last = !matches!(event, ResponseEvent::Tokens(_));
        for data in encode(dialect, &metadata, event) {
            if caller.send_async(data).await.is_err() {
                return;
            }
        }
        if last {
            return;
        }
        next = events.recv_async().await;
    }
}

/// Returns the server-sent events for one response event.
fn encode(dialect: Dialect, metadata: &ResponseMetadata, event: ResponseEvent) -> Vec<String> {
    match event {
        ResponseEvent::Tokens(tokens) => tokens
            .iter()
            .map(|text| dialect.chunk(metadata, text, None))
            .collect(),
        ResponseEvent::End(finish, count) => {
            let last = dialect.chunk(metadata, "", Some((finish, count)));
            vec![last, DONE.to_owned()]
        }
        ResponseEvent::Failed(failure) => {
            let body = error_body(metadata.request, &failure);
            vec![serde_json::to_string(&body).unwrap_or_default()]
        }
    }
}

fn interrupted() -> Failure {
    Failure {
        reason: Reason::Stopping,
        ran: crate::entry::Ran::Unknown,
        retry: Millis(1_000),
    }
}
