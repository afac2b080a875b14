//! Forwards a stream event by event and resumes it at another backend server if necessary.

use std::fmt::Display;
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
use super::hop::is_framed;
use super::limits::EVENT_GAP_PERMILLE;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::conviction::limits::PROGRESS_SPAN;
use crate::direct::Connection;
use crate::direct::Dialect;
use crate::direct::Grant;
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
const MEMORY_LOST: &str = "memory_lost";
/// The backend server sends bytes that are no events.
const MALFORMED: &str = "malformed";

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
    last: Option<u64>,
    status: StatusCode,
    gaps: GapTracker,
    /// When the current backend server sent its first event.
    began: Option<MonoTime>,
    /// Whether the response tells its end, so that a closed connection is not mistaken for it.
    is_framed: bool,
    /// When the stream last made progress.
    progress: MonoTime,
    /// Whether no other backend server takes the stream over, so that a silent one is waited for.
    patient: bool,
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
            progress: exchange.gateway.clock.now(),
            patient: false,
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
            began: None,
            is_framed: is_framed(&head.headers),
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
                Step::Silent if self.exchange.may_retry(&self.target).await => {
                    self.replace_silent().await;
                }
                Step::Silent => self.patient = true,
                Step::Broken(what) => {
                    let may_retry = self.exchange.may_retry(&self.target).await;
                    if !may_retry || !self.resume(what).await {
                        self.end_broken(what);
                        self.exchange.log_truncated(what, self.last);
                        return Some((Err(TruncatedBody), self));
                    }
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
            Ok(Some(Err(_))) => Step::Broken("broken"),
            Ok(Some(Ok(frame))) => self.accept_frame(frame),
            Ok(None) if self.events.has_partial_event() => Step::Broken("torn"),
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
        if !events.follow(self.last) {
            return Step::Broken("repeated");
        }
        if let Some(source) = &self.source
            && source.grant.mark_prefilled()
        {
            self.exchange.log_first_event(&source.grant.placement);
        }
        let now = self.exchange.gateway.clock.now();
        // Events without an id, such as comments, do not show that a numbered stream goes on.
        if events.last.is_some() || self.last.is_none() {
            self.progress = now;
        }
        let began = *self.began.get_or_insert(now);
        if let Some(source) = &self.source
            && now.since(began) >= PROGRESS_SPAN
        {
            source.grant.mark_progressed();
        }
        self.last = events.last.or(self.last);
        self.gaps.record(now);
        Step::Events(events.bytes)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let placement = &source.grant.placement;
            let longest_gap = self.gaps.longest();
            self.exchange
                .log_end(placement, self.status, Outcome::Served, longest_gap);
            let is_complete = self.is_framed || source.grant.has_progressed();
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
        let outcome = match what {
            DEADLINE | MEMORY_LOST => Outcome::Abandoned,
            SILENT => Outcome::Silent,
            MALFORMED => Outcome::Malformed,
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
    }

    /// Resumes the stream at another backend server after the last complete event; a retry has been
    /// granted.
    async fn resume(&mut self, what: &'static str) -> bool {
        self.end_broken(what);
        let left = self.exchange.left(&self.target);
        let Some(upstream) = self.open_again(left).await else {
            return false;
        };
        self.continue_at(upstream);
        true
    }

    /// Resumes the stream at another backend server if one responds while the caller waits. If none
    /// does, the silent one is kept, as it may be slow but sound.
    async fn replace_silent(&mut self) {
        let quiet = self.exchange.gateway.clock.now().since(self.progress);
        if let Some(source) = &self.source {
            let placement = &source.grant.placement;
            self.exchange.log_silent(placement, quiet);
            self.exchange.exclude(&placement.primary.id);
        }
        let patience = self.target.route.client_timeout.saturating_sub(quiet);
        match self.open_again(patience).await {
            Some(upstream) => {
                self.end_broken(SILENT);
                self.continue_at(upstream);
            }
            None => self.patient = true,
        }
    }

    /// Sends the rest of the stream to another backend server.
    async fn open_again(&self, timeout: Millis) -> Option<UpstreamResponse> {
        let opening = self.exchange.open(self.target.clone(), self.last, true);
        let timeout = timeout.min(self.exchange.left(&self.target));
        let kept = |reason: &dyn Display| self.exchange.log_kept(reason);
        match compio::time::timeout(timeout.duration(), opening).await {
            Ok(Ok(upstream)) if upstream.response.status().is_success() => return Some(upstream),
            Ok(Ok(upstream)) => kept(&upstream.response.status()),
            Ok(Err(failure)) => kept(&failure.reason),
            Err(_) => kept(&"no response in time"),
        }
        None
    }

    fn continue_at(&mut self, upstream: UpstreamResponse) {
        self.began = None;
        self.is_framed = is_framed(upstream.response.headers());
        self.source = Some(Source {
            body: upstream.response.into_body(),
            grant: upstream.grant,
            connection: upstream.connection,
        });
        self.progress = self.exchange.gateway.clock.now();
        self.patient = false;
    }
}
