//! Forwards a stream event by event and resumes it at another backend server if necessary.

mod actions;

use std::cell::Cell;
use std::rc::Rc;

use futures::future::Either;
use futures::future::select;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Frame;

use self::actions::Flow;
use super::events::Events;
use super::exchange::Exchange;
use super::exchange::Silence;
use super::gap_tracker::GapTracker;
use super::handover::DEADLINE;
use super::handover::Handover;
use super::handover::Input;
use super::handover::Output;
use super::hop::end_to_end;
use super::limits::EVENT_GAP_PERMILLE;
use super::limits::READ_MARGIN;
use super::source::Source;
use super::takeover::Takeover;
use super::takeover::next_progress;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::conviction::limits::PROGRESS_SPAN;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::direct::Retry;
use crate::http;
use crate::http::ReadLimit;
use crate::http::Reply;
use crate::http::TruncatedBody;
use crate::types::Millis;
use crate::types::MonoTime;

/// The backend server sends no events.
const SILENT: &str = "silent";
/// Reserved memory can no longer serve the request.
pub(super) const MEMORY_LOST: &str = "memory_lost";
/// The backend server sends bytes that are no events.
pub(super) const MALFORMED: &str = "malformed";
/// The response takes more than its share of the memory for held responses.
pub(super) const OVERSIZED: &str = "oversized";
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
    /// Bytes for the caller.
    Bytes(Bytes),
    /// Something to decide about.
    Input(Input),
}

/// A stream in progress; `last` is the id of the last event that was forwarded.
pub struct Relay<D> {
    exchange: Rc<Exchange<D>>,
    target: Target,
    source: Option<Source>,
    last: Rc<Cell<Option<u64>>>,
    status: StatusCode,
    gaps: GapTracker,
    /// When the current backend server sent its first event.
    began: Option<MonoTime>,
    handover: Handover,
    /// Keeps the request from being sent again to a silent backend server.
    silence: Option<Silence>,
    /// Pays for the request to another backend server.
    retry: Option<Retry>,
    /// Other backend servers that are asked to take the stream over.
    others: Vec<Takeover>,
    /// The response of one of them, once its first events have arrived.
    replacement: Option<UpstreamResponse>,
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
        let left = exchange.left(&target);
        let deadline = exchange.gateway.clock.now().after(left);
        let read_limit = ReadLimit(Millis(left.get() + READ_MARGIN.get()));
        let relay = Self {
            last: Rc::new(Cell::new(exchange.call.last)),
            handover: Handover::new(exchange.gateway.clock.now(), deadline, max_silence(&target)),
            silence: None,
            retry: None,
            others: Vec::new(),
            replacement: None,
            exchange,
            target,
            source: Some(Source::new(upstream)),
            status,
            gaps: GapTracker::default(),
            began: None,
        };
        let frames = stream::unfold(relay, Self::next);
        let mut reply = http::streamed(StreamBody::new(frames));
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        reply.extensions_mut().insert(read_limit);
        reply
    }

    async fn next(mut self) -> Option<(Item, Self)> {
        loop {
            let input = match self.step().await {
                Step::Bytes(bytes) => return Some((Ok(Frame::data(bytes)), self)),
                Step::Input(input) => input,
            };
            match self.act_on(input).await {
                Flow::Read => {}
                Flow::End => return None,
                Flow::Truncate => return Some((Err(TruncatedBody), self)),
            }
        }
    }

    /// Reads from the stream, and from other backend servers that were asked to take it over.
    async fn step(&mut self) -> Step {
        let first = self.source.as_mut().and_then(|source| source.first.take());
        if let Some(first) = first {
            return Step::Bytes(self.accept_events(first));
        }
        let wait = self.handover.wait(self.exchange.gateway.clock.now());
        let reading = Box::pin(read(self.source.as_mut(), wait));
        let others = Box::pin(next_progress(&mut self.others));
        let first = match select(reading, others).await {
            Either::Left((frame, _)) => Either::Left(frame),
            Either::Right((progress, _)) => Either::Right(progress),
        };
        match first {
            Either::Left(Ok(frame)) => self.accept_frame(frame),
            Either::Left(Err(input)) => Step::Input(input),
            Either::Right((index, progress)) => Step::Input(self.accept_other(index, progress)),
        }
    }

    fn accept_frame(&mut self, frame: Frame<Bytes>) -> Step {
        let (Ok(bytes), Some(source)) = (frame.into_data(), self.source.as_mut()) else {
            return Step::Bytes(Bytes::new());
        };
        let Some(events) = source.events.push(&bytes) else {
            if source.events.is_overlong() {
                return Step::Input(Input::Broken(MALFORMED));
            }
            return Step::Bytes(Bytes::new());
        };
        if !events.follow(self.last.get()) {
            return Step::Input(Input::Broken(REPEATED));
        }
        Step::Bytes(self.accept_events(events))
    }

    fn accept_events(&mut self, events: Events) -> Bytes {
        if !events.has_event() {
            return events.bytes;
        }
        if let Some(source) = &self.source
            && source.grant.mark_prefilled()
        {
            self.exchange.log_first_event(&source.grant.placement);
        }
        let now = self.exchange.gateway.clock.now();
        // Events without an id do not show that a numbered stream goes on.
        if events.last.is_some() || self.last.get().is_none() {
            let numbered = events.last.is_some();
            if self.decide(Input::Event { numbered }) == Output::DropOther {
                self.others.clear();
            }
            if self.others.is_empty() {
                self.silence = None;
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
        self.silence = None;
        self.exchange.exclude(&source.grant.placement.primary.id);
        source.grant.finish(outcome_of(what));
        drop(source.connection);
    }
}

/// Reads a frame; the error is what happened instead.
async fn read(source: Option<&mut Source>, wait: Millis) -> Result<Frame<Bytes>, Input> {
    let Some(source) = source else {
        compio::time::sleep(wait.duration()).await;
        return Err(Input::Elapsed);
    };
    let reading = source.grant.while_held(source.body.frame());
    match compio::time::timeout(wait.duration(), reading).await {
        Err(_) => Err(Input::Elapsed),
        Ok(None) => Err(Input::Broken(MEMORY_LOST)),
        Ok(Some(Some(frame))) => frame.map_err(|_| Input::Broken(BROKEN)),
        Ok(Some(None)) if source.events.has_partial_event() => Err(Input::Broken(TORN)),
        Ok(Some(None)) => Err(Input::Ended),
    }
}

/// How long a backend server may send no events before another one is asked to take over; `None` if
/// none may.
fn max_silence(target: &Target) -> Option<Millis> {
    let client_timeout = target.route.client_timeout.get();
    let is_resumable = target.route.resumable;
    is_resumable.then_some(Millis(client_timeout * EVENT_GAP_PERMILLE / 1_000))
}

/// What the end of an attempt for the cause `what` says about the backend server.
pub(super) fn outcome_of(what: &str) -> Outcome {
    match what {
        DEADLINE | MEMORY_LOST | OVERSIZED => Outcome::Abandoned,
        SILENT => Outcome::Silent,
        MALFORMED => Outcome::Malformed,
        _ => Outcome::Broken,
    }
}
