//! Another backend server takes a stream over from one that is silent.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::StatusCode;

use super::events::EventSplitter;
use super::events::Events;
use super::exchange::Exchange;
use super::relay::BROKEN;
use super::relay::MALFORMED;
use super::relay::MEMORY_LOST;
use super::relay::REPEATED;
use super::relay::TORN;
use super::relay::outcome_of;
use super::source::Source;
use super::target::Target;
use crate::direct::Dialect;

/// Completes with the replacement, or `None` if no backend server takes the stream over.
pub(super) type Takeover = Pin<Box<dyn Future<Output = Option<Replacement>>>>;

/// A backend server that has begun to send the rest of a stream.
pub(super) struct Replacement {
    pub(super) source: Source,
    pub(super) status: StatusCode,
    /// Buffers a partial event.
    pub(super) events: EventSplitter,
    /// Its first events; `None` if there were none left to send.
    pub(super) first: Option<Events>,
}

/// Sends the rest of a stream to another backend server and waits for its first event after `last`,
/// the last one that the caller has, which may advance meanwhile.
pub(super) fn take_over<D: Dialect>(
    exchange: Rc<Exchange<D>>,
    target: Target,
    last: Rc<Cell<Option<u64>>>,
) -> Takeover {
    let left = exchange.left(&target);
    Box::pin(async move {
        let opening = open(&exchange, &target, &last);
        let opened = compio::time::timeout(left.duration(), opening).await;
        opened.unwrap_or_else(|_| {
            exchange.log_kept(&"no event in time");
            None
        })
    })
}

async fn open<D: Dialect>(
    exchange: &Exchange<D>,
    target: &Target,
    last: &Cell<Option<u64>>,
) -> Option<Replacement> {
    let start = last.get();
    let upstream = match exchange.open(target.clone(), start, true).await {
        Ok(upstream) if upstream.response.status().is_success() => upstream,
        Ok(upstream) => {
            exchange.log_kept(&upstream.response.status());
            return None;
        }
        Err(failure) => {
            exchange.log_kept(&failure.reason);
            return None;
        }
    };
    let status = upstream.response.status();
    let mut source = Source::new(upstream);
    let mut events = EventSplitter::default();
    match first_events(&mut source, &mut events, (start, last)).await {
        Ok(first) => Some(Replacement {
            source,
            status,
            events,
            first,
        }),
        Err(what) => {
            let placement = &source.grant.placement;
            exchange.log_attempt_failure(placement, what, "before an event");
            exchange.exclude(&placement.primary.id);
            source.grant.finish(outcome_of(what));
            None
        }
    }
}

/// Reads up to the first complete events after `last`; `None` if the stream ends without any. Events
/// after `start` may repeat what the silent backend server has sent since.
async fn first_events(
    source: &mut Source,
    events: &mut EventSplitter,
    (start, last): (Option<u64>, &Cell<Option<u64>>),
) -> Result<Option<Events>, &'static str> {
    let mut sent = start;
    loop {
        let frame = source.grant.while_held(source.body.frame()).await;
        let frame = match frame.ok_or(MEMORY_LOST)? {
            Some(frame) => frame.map_err(|_| BROKEN)?,
            None if events.has_partial_event() => return Err(TORN),
            None if source.is_framed => return Ok(None),
            None => return Err(BROKEN),
        };
        let found = frame.into_data().ok();
        let found = found.and_then(|bytes| events.push(&bytes));
        if events.is_overlong() {
            return Err(MALFORMED);
        }
        // A comment does not show that the stream goes on.
        let Some(found) = found.filter(|found| found.last.is_some() || start.is_none()) else {
            continue;
        };
        if !found.follow(sent) {
            return Err(REPEATED);
        }
        sent = found.last.or(sent);
        if let Some(found) = found.after(last.get()) {
            return Ok(Some(found));
        }
    }
}
