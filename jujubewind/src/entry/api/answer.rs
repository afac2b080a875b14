//! Handing a request's answer to the caller's connection.

use flume::Receiver;
use flume::Sender;
use hyper::StatusCode;

use super::dialect::Dialect;
use super::dialect::Header;
use super::error_reply::error_body;
use super::error_reply::error_reply;
use crate::entry::Failure;
use crate::entry::caller::Event;
use crate::http::Reply;
use crate::http::event_stream;
use crate::http::json_bytes;
use crate::refusal::Reason;
use crate::types::Millis;

/// The event that closes a stream.
const DONE: &str = "[DONE]";
/// Events that may wait for a slow caller before its request waits too.
const BUFFERED_EVENTS: usize = 16;

/// Collects the whole answer and replies with it.
pub async fn whole(dialect: Dialect, header: &Header, events: Receiver<Event>) -> Reply {
    let mut text = String::new();
    while let Ok(event) = events.recv_async().await {
        match event {
            Event::Tokens(tokens) => text.extend(tokens),
            Event::End(finish, count) => {
                let body = dialect.whole(header, text, finish, count);
                return json_bytes(StatusCode::OK, body);
            }
            Event::Failed(failure) => return error_reply(header.request, &failure),
        }
    }
    error_reply(header.request, &broken_off())
}

/// Replies with a stream, or with an error if the request fails before its first token.
pub async fn streamed(dialect: Dialect, header: Header, events: Receiver<Event>) -> Reply {
    let first = match events.recv_async().await {
        Ok(Event::Failed(failure)) => return error_reply(header.request, &failure),
        Err(_) => return error_reply(header.request, &broken_off()),
        Ok(event) => event,
    };
    let (tx, rx) = flume::bounded(BUFFERED_EVENTS);
    compio::runtime::spawn(relay(dialect, header, first, events, tx)).detach();
    event_stream(rx)
}

async fn relay(
    dialect: Dialect,
    header: Header,
    first: Event,
    events: Receiver<Event>,
    caller: Sender<String>,
) {
    let mut next = Ok(first);
    while let Ok(event) = next {
        let last = !matches!(event, Event::Tokens(_));
        for data in data(dialect, &header, event) {
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

/// The events on the wire for one event of the request.
fn data(dialect: Dialect, header: &Header, event: Event) -> Vec<String> {
    match event {
        Event::Tokens(tokens) => tokens
            .iter()
            .map(|text| dialect.piece(header, text, None))
            .collect(),
        Event::End(finish, count) => {
            let last = dialect.piece(header, "", Some((finish, count)));
            vec![last, DONE.to_owned()]
        }
        Event::Failed(failure) => {
            let body = error_body(header.request, &failure);
            vec![serde_json::to_string(&body).unwrap_or_default()]
        }
    }
}

fn broken_off() -> Failure {
    Failure {
        reason: Reason::Stopping,
        ran: crate::entry::Ran::Unknown,
        retry: Millis(1_000),
    }
}
