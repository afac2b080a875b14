//! A response whose head has arrived.

use std::cell::Cell;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;

use super::events::EventSplitter;
use super::events::Events;
use super::events::MAX_EVENT_BYTES;
use super::hop::is_framed;
use super::limits::MAX_RESPONSE_BYTES;
use super::relay::BROKEN;
use super::relay::MALFORMED;
use super::relay::MEMORY_LOST;
use super::relay::OVERSIZED;
use super::relay::REPEATED;
use super::relay::TORN;
use crate::direct::Connection;
use crate::direct::Grant;
use crate::direct::Outcome;
use crate::http::BodyBudget;
use crate::http::HeldBody;
use crate::http::WholeBody;
use crate::timer::Clock;

/// The connection broke within a response that is no stream.
const CUT: &str = "cut";

/// A backend server's response, with the grant and the connection to return after it.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The response.
    pub response: Response<Incoming>,
    /// The grant for the backend server.
    pub grant: Grant,
    /// The connection that carries the body.
    pub connection: Connection,
    /// The first events of a stream; `None` if none were read.
    pub first: Option<Events>,
    /// Comments before the first events of a stream that is read from its start.
    comments: Vec<u8>,
    /// Buffers a partial event.
    pub events: EventSplitter,
    budget: Arc<BodyBudget>,
    clock: Clock,
    /// What was read of a response that is no stream.
    body: Option<HeldBody>,
    is_whole: bool,
    /// Whether something came in place of the numbered events of a stream that is taken over.
    has_unnumbered: bool,
}

impl UpstreamResponse {
    /// Wraps a response of which nothing but the head was read.
    pub fn new(
        response: Response<Incoming>,
        grant: Grant,
        connection: Connection,
        budget: Arc<BodyBudget>,
        clock: Clock,
    ) -> Self {
        Self {
            response,
            grant,
            connection,
            first: None,
            comments: Vec::new(),
            events: EventSplitter::default(),
            budget,
            clock,
            body: None,
            is_whole: false,
            has_unnumbered: false,
        }
    }

    /// Reads the rest of a response that is no stream; the error says what went wrong. May be
    /// cancelled and called again.
    pub async fn read_whole(&mut self) -> Result<(), &'static str> {
        while !self.is_whole {
            let Some(frame) = self.response.body_mut().frame().await else {
                self.is_whole = true;
                break;
            };
            let Ok(bytes) = frame.map_err(|_| CUT)?.into_data() else {
                continue;
            };
            let now = self.clock.now();
            let body = &mut self.body;
            let body = body.get_or_insert_with(|| self.budget.begin_response(now));
            if !body.push(now, &bytes) {
                return Err(OVERSIZED);
            }
            if body.len() > MAX_RESPONSE_BYTES {
                return Err(MALFORMED);
            }
        }
        Ok(())
    }

    /// Takes what was read of a response that is no stream.
    pub fn take_body(&mut self) -> WholeBody {
        let body = self.body.take().and_then(HeldBody::finish);
        body.unwrap_or_default()
    }

    /// Reads a stream that starts after the event `last` up to its first events that the caller lacks,
    /// or to its end if there are none; the error says what went wrong. `seen` is the last event that
    /// the caller has, which may advance meanwhile. May be cancelled and called again.
    pub async fn begin(
        &mut self,
        last: Option<u64>,
        seen: &Cell<Option<u64>>,
    ) -> Result<(), &'static str> {
        let mut sent = self.first.as_ref().and_then(|first| first.last).or(last);
        self.first = self.first.take().and_then(|first| first.after(seen.get()));
        while self.first.is_none() {
            let frame = self.grant.while_held(self.response.body_mut().frame());
            let frame = match frame.await.ok_or(MEMORY_LOST)? {
                Some(frame) => frame.map_err(|_| BROKEN)?,
                None if self.events.has_partial_event() => return Err(TORN),
                None if self.has_unnumbered => return Err(MALFORMED),
                None if sent < seen.get() => return Err(TORN),
                None if is_framed(self.response.headers()) => return Ok(()),
                None => return Err(BROKEN),
            };
            let found = frame.into_data().ok();
            let found = found.and_then(|bytes| self.events.push(&bytes));
            if self.events.is_overlong() {
                return Err(MALFORMED);
            }
            let Some(found) = found else {
                continue;
            };
            if last.is_none() && !found.has_event() {
                self.keep_comments(&found.bytes)?;
                continue;
            }
            // An event without an id does not show that a numbered stream goes on.
            if last.is_some() && found.last.is_none() {
                self.has_unnumbered |= !found.is_comment();
                continue;
            }
            if !found.follow(sent) {
                return Err(REPEATED);
            }
            sent = found.last.or(sent);
            self.first = found.after(seen.get());
        }
        Ok(())
    }

    fn keep_comments(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        self.comments.extend_from_slice(bytes);
        if self.comments.len() > MAX_EVENT_BYTES {
            return Err(MALFORMED);
        }
        Ok(())
    }

    /// Takes what was read of a stream and not yet forwarded.
    pub fn take_first(&mut self) -> Option<Events> {
        let comments = std::mem::take(&mut self.comments);
        let first = self.first.take();
        if comments.is_empty() {
            return first;
        }
        let events = first.map(|first| first.bytes).unwrap_or_default();
        Some(Events::new([comments.as_slice(), &events].concat()))
    }

    /// Returns the connection to the pool and ends the grant after the whole body was read.
    pub fn finish(grant: Grant, connection: Connection, outcome: Outcome) {
        connection.give_back();
        grant.finish(outcome);
    }
}
