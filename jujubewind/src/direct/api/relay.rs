//! Forwards a stream event by event and resumes it at another backend server if necessary.

mod handover;

use std::cell::Cell;
use std::rc::Rc;

use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Frame;

use super::events::EventSplitter;
use super::events::Events;
use super::exchange::Exchange;
use super::gap_tracker::GapTracker;
use super::hop::end_to_end;
use super::limits::EVENT_GAP_PERMILLE;
use super::recovery::Recovery;
use super::source::Source;
use super::takeover::Takeover;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::conviction::limits::PROGRESS_SPAN;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::http;
use crate::http::Reply;
use crate::http::TruncatedBody;
use crate::types::Millis;
use crate::types::MonoTime;

/// The backend server sends no events.
const SILENT: &str = "silent";
/// The caller's or the route's timeout has passed.
const DEADLINE: &str = "deadline";
/// Reserved memory can no longer serve the request.
pub(super) const MEMORY_LOST: &str = "memory_lost";
/// The backend server sends bytes that are no events.
pub(super) const MALFORMED: &str = "malformed";
/// The connection broke.
pub(super) const BROKEN: &str = "broken";
/// The response ended in the middle of an event.
pub(super) const TORN: &str = "torn";
/// The backend server sent an event that the caller already has.
pub(super) const REPEATED: &str = "repeated";

/// A frame of the response, or its early end.
type Item = Result<Frame<Bytes>, TruncatedBody>;

/// The result of reading from the stream.
enum Step {
    Events(Bytes),
    End,
    /// The stream makes no progress; it may be slow but sound.
    Silent,
    Broken(&'static str),
}

/// A stream in progress; `last` is the id of the last event that was forwarded.
pub struct Relay<D> {
    exchange: Rc<Exchange<D>>,
    target: Target,
    source: Option<Source>,
    events: EventSplitter,
    last: Rc<Cell<Option<u64>>>,
    status: StatusCode,
    gaps: GapTracker,
    /// When the current backend server sent its first event.
    began: Option<MonoTime>,
    /// When the stream last made progress.
    progress: MonoTime,
    /// Whether another backend server has been asked since the last progress, so that a silent one is
    /// waited for.
    patient: bool,
    /// Another backend server that is asked to take the stream over.
    takeover: Option<Takeover>,
    /// Observes the silent backend server while another one is asked.
    recovery: Option<Recovery>,
}

impl<D: Dialect> Relay<D> {
    /// Returns a streaming reply that starts with the head of `upstream`.
    pub(super) fn start(
        exchange: Rc<Exchange<D>>,
        target: Target,
        upstream: UpstreamResponse,
    ) -> Reply {
        let status = upstream.response.status();
        let headers = end_to_end(upstream.response.headers());
        let relay = Self {
            last: Rc::new(Cell::new(exchange.call.last)),
            progress: exchange.gateway.clock.now(),
            patient: false,
            takeover: None,
            recovery: None,
            exchange,
            target,
            source: Some(Source::new(upstream)),
            events: EventSplitter::default(),
            status,
            gaps: GapTracker::default(),
            began: None,
        };
        let frames = stream::unfold(relay, Self::next);
        let mut reply = http::streamed(StreamBody::new(frames));
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        reply
    }

    async fn next(mut self) -> Option<(Item, Self)> {
        loop {
            let step = match self.takeover.take() {
                Some(takeover) => self.step_beside(takeover).await,
                None => self.step().await,
            };
            match step {
                Step::Events(bytes) => return Some((Ok(Frame::data(bytes)), self)),
                Step::End => return None,
                Step::Silent => self.ask_another().await,
                Step::Broken(what) => {
                    self.end_broken(what);
                    if let Some(bytes) = self.resume().await {
                        return Some((Ok(Frame::data(bytes)), self));
                    }
                    self.exchange.log_truncated(what, self.last.get());
                    return Some((Err(TruncatedBody), self));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let left = self.exchange.left(&self.target);
        let quiet = self.exchange.gateway.clock.now().since(self.progress);
        let wait = match self.max_silence() {
            Some(silence) => silence.saturating_sub(quiet).min(left),
            None => left,
        };
        let Some(source) = self.source.as_mut() else {
            return Step::End;
        };
        let reading = compio::time::timeout(wait.duration(), source.body.frame());
        let Some(frame) = source.grant.while_held(reading).await else {
            return Step::Broken(MEMORY_LOST);
        };
        match frame {
            Err(_) if wait == left => Step::Broken(DEADLINE),
            Err(_) => Step::Silent,
            Ok(Some(Err(_))) => Step::Broken(BROKEN),
            Ok(Some(Ok(frame))) => self.accept_frame(frame),
            Ok(None) if self.events.has_partial_event() => Step::Broken(TORN),
            Ok(None) => {
                self.finish();
                Step::End
            }
        }
    }

    /// How long the backend server may send no events before another one is asked to take over;
    /// `None` if none may. The caller decides how long it waits for an event: silence alone never
    /// ends the answer.
    fn max_silence(&self) -> Option<Millis> {
        if self.patient || !self.target.route.resumable {
            return None;
        }
        let client_timeout = self.target.route.client_timeout.get();
        Some(Millis(client_timeout * EVENT_GAP_PERMILLE / 1_000))
    }

    fn accept_frame(&mut self, frame: Frame<Bytes>) -> Step {
        let Ok(bytes) = frame.into_data() else {
            return Step::Events(Bytes::new());
        };
        let Some(events) = self.events.push(&bytes) else {
            if self.events.is_overlong() {
                return Step::Broken(MALFORMED);
            }
            return Step::Events(Bytes::new());
        };
        if !events.follow(self.last.get()) {
            return Step::Broken(REPEATED);
        }
        Step::Events(self.accept_events(events))
    }

    fn accept_events(&mut self, events: Events) -> Bytes {
        if let Some(source) = &self.source
            && source.grant.mark_prefilled()
        {
            self.exchange.log_first_event(&source.grant.placement);
        }
        let now = self.exchange.gateway.clock.now();
        // Events without an id, such as comments, do not show that a numbered stream goes on.
        if events.last.is_some() || self.last.get().is_none() {
            self.progress = now;
            // Events without an id cannot be told from those of another backend server.
            let is_recovered = self
                .recovery
                .as_mut()
                .is_none_or(|recovery| recovery.record(now) || events.last.is_none());
            if is_recovered {
                self.end_silence();
            }
        }
        let began = *self.began.get_or_insert(now);
        if let Some(source) = &self.source
            && now.since(began) >= PROGRESS_SPAN
        {
            source.grant.mark_progressed();
        }
        self.last.set(events.last.or(self.last.get()));
        self.gaps.record(now);
        events.bytes
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let placement = &source.grant.placement;
            let longest_gap = self.gaps.longest();
            self.exchange
                .log_end(placement, self.status, Outcome::Served, longest_gap);
            let is_complete = source.is_framed || source.grant.has_progressed();
            let outcome = if is_complete {
                Outcome::Served
            } else {
                Outcome::Ended
            };
            UpstreamResponse::finish(source.grant, source.connection, outcome);
        }
    }

    /// Ends the attempt at the current backend server, if there is one.
    fn end_broken(&mut self, what: &'static str) {
        let Some(source) = self.source.take() else {
            return;
        };
        self.exchange.log_attempt_failure(
            &source.grant.placement,
            what,
            format!("after event {:?}", self.last.get()),
        );
        self.recovery = None;
        let server = &source.grant.placement.primary.id;
        self.exchange.end_silence(server);
        self.exchange.exclude(server);
        source.grant.finish(outcome_of(what));
        drop(source.connection);
        self.events = EventSplitter::default();
    }
}

/// What the end of an attempt for the cause `what` says about the backend server.
pub(super) fn outcome_of(what: &str) -> Outcome {
    match what {
        DEADLINE | MEMORY_LOST => Outcome::Abandoned,
        SILENT => Outcome::Silent,
        MALFORMED => Outcome::Malformed,
        _ => Outcome::Broken,
    }
}
