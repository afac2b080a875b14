//! Forwards a stream event by event and resumes it at another backend server if necessary.

use std::rc::Rc;

use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;

use super::events::EventSplitter;
use super::exchange::Exchange;
use super::gap_tracker::GapTracker;
use super::hop::end_to_end;
use super::limits::EVENT_GAP_PERMILLE;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::direct::Connection;
use crate::direct::Dialect;
use crate::direct::Grant;
use crate::direct::Outcome;
use crate::http;
use crate::http::Reply;
use crate::http::TruncatedBody;
use crate::types::Millis;

/// A frame of the response, or its early end.
type Item = Result<Frame<Bytes>, TruncatedBody>;

/// The response that the stream is currently read from.
struct Source {
    body: Incoming,
    grant: Grant,
    connection: Connection,
}

/// The result of reading from the stream.
enum Step {
    Events(Bytes),
    End,
    Broken(&'static str),
}

/// A stream in progress; `last` is the id of the last event that was forwarded.
pub struct Relay<D> {
    exchange: Rc<Exchange<D>>,
    target: Target,
    source: Option<Source>,
    events: EventSplitter,
    last: Option<u64>,
    status: StatusCode,
    gaps: GapTracker,
}

impl<D: Dialect> Relay<D> {
    /// Returns a streaming reply that starts with the head of `upstream`.
    pub(super) fn start(
        exchange: Rc<Exchange<D>>,
        target: Target,
        upstream: UpstreamResponse,
    ) -> Reply {
        let UpstreamResponse {
            response,
            grant,
            connection,
        } = upstream;
        let (head, body) = response.into_parts();
        let relay = Self {
            last: exchange.call.last,
            exchange,
            target,
            source: Some(Source {
                body,
                grant,
                connection,
            }),
            events: EventSplitter::default(),
            status: head.status,
            gaps: GapTracker::default(),
        };
        let frames = stream::unfold(relay, Self::next);
        let mut reply = http::streamed(StreamBody::new(frames));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = end_to_end(&head.headers);
        reply
    }

    async fn next(mut self) -> Option<(Item, Self)> {
        loop {
            match self.step().await {
                Step::Events(bytes) => return Some((Ok(Frame::data(bytes)), self)),
                Step::End => return None,
                Step::Broken(what) => {
                    if !self.resume(what).await {
                        return Some((Err(TruncatedBody), self));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(source) = self.source.as_mut() else {
            return Step::End;
        };
        let client_timeout = self.target.route.client_timeout.get();
        let event_timeout = Millis(client_timeout * EVENT_GAP_PERMILLE / 1_000);
        let left = self.exchange.left(&self.target);
        let resumable = self.target.route.resumable;
        let wait = if resumable {
            event_timeout.min(left)
        } else {
            left
        };
        let reading = compio::time::timeout(wait.duration(), source.body.frame());
        let Some(frame) = source.grant.while_held(reading).await else {
            return Step::Broken("memory_lost");
        };
        match frame {
            Err(_) => Step::Broken("silent"),
            Ok(Some(Err(_))) => Step::Broken("broken"),
            Ok(Some(Ok(frame))) => self.accept_frame(frame),
            Ok(None) if self.events.has_partial_event() => Step::Broken("torn"),
            Ok(None) => {
                self.finish();
                Step::End
            }
        }
    }

    fn accept_frame(&mut self, frame: Frame<Bytes>) -> Step {
        let Ok(bytes) = frame.into_data() else {
            return Step::Events(Bytes::new());
        };
        let Some(events) = self.events.push(&bytes) else {
            return Step::Events(Bytes::new());
        };
        if !events.follow(self.last) {
            return Step::Broken("repeated");
        }
        if let Some(source) = &self.source
            && source.grant.mark_prefilled()
        {
            self.exchange.log_first_event(&source.grant.placement);
        }
        self.last = events.last.or(self.last);
        self.gaps.record(self.exchange.gateway.clock.now());
        Step::Events(events.bytes)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let placement = &source.grant.placement;
            let longest_gap = self.gaps.longest();
            self.exchange
                .log_end(placement, self.status, Outcome::Served, longest_gap);
            UpstreamResponse::finish(source.grant, source.connection, Outcome::Served);
        }
    }

    /// Resumes the stream at another backend server after the last complete event.
    async fn resume(&mut self, what: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        let left = self.exchange.left(&self.target);
        let outcome = match what {
            "silent" if left == Millis::ZERO => Outcome::Abandoned,
            "memory_lost" => Outcome::Abandoned,
            "silent" => Outcome::Silent,
            _ => Outcome::Broken,
        };
        self.exchange.log_attempt_failure(
            &source.grant.placement,
            what,
            format!("after event {:?}", self.last),
        );
        self.exchange.exclude(&source.grant.placement.primary.id);
        source.grant.finish(outcome);
        drop(source.connection);
        self.events = EventSplitter::default();
        if !self.exchange.may_retry(&self.target).await {
            return false;
        }
        let opening = self.exchange.open(self.target.clone(), self.last, true);
        let upstream = compio::time::timeout(left.duration(), opening).await;
        let Ok(Ok(upstream)) = upstream else {
            return false;
        };
        if !upstream.response.status().is_success() {
            return false;
        }
        self.source = Some(Source {
            body: upstream.response.into_body(),
            grant: upstream.grant,
            connection: upstream.connection,
        });
        true
    }
}
