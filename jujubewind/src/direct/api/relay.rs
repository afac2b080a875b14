//! A stream passed on event by event, which may go on at another backend server.

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
use super::hop::end_to_end;
use super::limits::PAUSE_SILENCE;
use super::opened::Opened;
use super::pauses::Pauses;
use super::target::Target;
use crate::direct::Connection;
use crate::direct::Dialect;
use crate::direct::Grant;
use crate::direct::Outcome;
use crate::http;
use crate::http::Cut;
use crate::http::Reply;
use crate::types::Millis;

/// A frame of the answer or its early end.
type Item = Result<Frame<Bytes>, Cut>;

/// The backend server that writes the stream now.
struct Source {
    body: Incoming,
    grant: Grant,
    connection: Connection,
}

/// What the next look at the stream brought.
enum Step {
    Events(Bytes),
    End,
    Broken(&'static str),
}

/// A stream in progress.
pub struct Relay<D> {
    exchange: Rc<Exchange<D>>,
    target: Target,
    source: Option<Source>,
    events: EventSplitter,
    last: Option<u64>,
    status: StatusCode,
    pauses: Pauses,
}

impl<D: Dialect> Relay<D> {
    /// The answer that begins with the head of `opened`.
    pub(super) fn start(exchange: Rc<Exchange<D>>, target: Target, opened: Opened) -> Reply {
        let Opened {
            response,
            grant,
            connection,
        } = opened;
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
            pauses: Pauses::default(),
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
                        return Some((Err(Cut), self));
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
        let silence = Millis(client_timeout * PAUSE_SILENCE / 1_000);
        let left = self.exchange.left(&self.target);
        let resumable = self.target.route.resumable;
        let wait = if resumable { silence.min(left) } else { left };
        let frame = compio::time::timeout(wait.duration(), source.body.frame()).await;
        match frame {
            Err(_) => Step::Broken("silent"),
            Ok(Some(Err(_))) => Step::Broken("broken"),
            Ok(Some(Ok(frame))) => self.take(frame),
            Ok(None) if self.events.is_torn() => Step::Broken("torn"),
            Ok(None) => {
                self.finish();
                Step::End
            }
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Step {
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
            && source.grant.was_read()
        {
            self.exchange.began(&source.grant.placement);
        }
        self.last = events.last.or(self.last);
        self.pauses.event(self.exchange.gateway.clock.now());
        Step::Events(events.bytes)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let placement = &source.grant.placement;
            let pause = self.pauses.longest();
            self.exchange
                .ended(placement, self.status, Outcome::Served, pause);
            Opened::finish(source.grant, source.connection, Outcome::Served);
        }
    }

    /// Goes on at another backend server after the last whole event.
    async fn resume(&mut self, what: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        let left = self.exchange.left(&self.target);
        let outcome = match what {
            "silent" if left == Millis::ZERO => Outcome::Abandoned,
            "silent" => Outcome::Silent,
            _ => Outcome::Broken,
        };
        self.exchange.note(
            &source.grant.placement,
            what,
            format!("after event {:?}", self.last),
        );
        self.exchange.avoid(&source.grant.placement.primary.id);
        source.grant.end(outcome);
        drop(source.connection);
        self.events = EventSplitter::default();
        if !self.exchange.may_repeat(&self.target).await {
            return false;
        }
        let opening = self.exchange.open(self.target.clone(), self.last, true);
        let opened = compio::time::timeout(left.duration(), opening).await;
        let Ok(Ok(opened)) = opened else {
            return false;
        };
        if !opened.response.status().is_success() {
            return false;
        }
        self.source = Some(Source {
            body: opened.response.into_body(),
            grant: opened.grant,
            connection: opened.connection,
        });
        true
    }
}
