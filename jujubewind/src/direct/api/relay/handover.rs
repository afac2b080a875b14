//! How a stream passes from one backend server to another.

use futures::future::Either;
use futures::future::select;
use hyper::body::Bytes;

use super::super::limits::MAX_ATTEMPTS;
use super::super::recovery::Recovery;
use super::super::takeover::Replacement;
use super::super::takeover::Takeover;
use super::super::takeover::take_over;
use super::BROKEN;
use super::DEADLINE;
use super::Relay;
use super::SILENT;
use super::Step;
use crate::direct::Dialect;

impl<D: Dialect> Relay<D> {
    /// Reads from the stream while another backend server is asked to take it over. The other one
    /// goes on with its first event that the caller lacks, unless the silent one has recovered: a
    /// single event does not show that, and there may be no attempt left for its next silence.
    pub(super) async fn step_beside(&mut self, mut takeover: Takeover) -> Step {
        let first = match select(Box::pin(self.step()), takeover.as_mut()).await {
            Either::Left((step, _)) => Either::Left(step),
            Either::Right((replacement, _)) => Either::Right(replacement),
        };
        match first {
            Either::Left(Step::Events(bytes)) if self.recovery.is_some() => {
                self.takeover = Some(takeover);
                Step::Events(bytes)
            }
            Either::Left(Step::Broken(what)) if what != DEADLINE => {
                self.end_broken(what);
                match takeover.await {
                    Some(replacement) => Step::Events(self.switch_to(replacement, what)),
                    None => Step::Broken(what),
                }
            }
            Either::Left(step) => step,
            Either::Right(Some(replacement)) => Step::Events(self.switch_to(replacement, SILENT)),
            Either::Right(None) => {
                self.give_up_handover();
                Step::Events(Bytes::new())
            }
        }
    }

    /// Resumes a broken stream at another backend server after the last complete event, if retries are
    /// granted; returns its first events.
    pub(super) async fn resume(&mut self) -> Option<Bytes> {
        for _ in 0..MAX_ATTEMPTS {
            if !self.exchange.may_retry(&self.target).await {
                break;
            }
            let runs = self.exchange.runs();
            let (exchange, target) = (self.exchange.clone(), self.target.clone());
            if let Some(replacement) = take_over(exchange, target, self.last.clone()).await {
                return Some(self.switch_to(replacement, BROKEN));
            }
            if self.exchange.runs() == runs {
                break;
            }
        }
        None
    }

    /// Asks another backend server to take the stream over, if a retry is granted. The silent one is
    /// kept until the other has sent an event, as it may be slow but sound.
    pub(super) async fn ask_another(&mut self) {
        let Some(max_silence) = self.max_silence() else {
            return;
        };
        self.patient = true;
        let Some(source) = &self.source else {
            return;
        };
        let quiet = self.exchange.gateway.clock.now().since(self.progress);
        let placement = &source.grant.placement;
        self.exchange.log_silent(placement, quiet);
        if !self.exchange.may_retry(&self.target).await {
            self.exchange.log_kept(&"no retry left");
            return;
        }
        self.exchange.keep_silent(&placement.primary.id);
        self.recovery = Some(Recovery::new(max_silence, self.progress));
        let (exchange, target) = (self.exchange.clone(), self.target.clone());
        self.takeover = Some(take_over(exchange, target, self.last.clone()));
    }

    /// Ends the wait for another backend server; the silent one is trusted again if it has gone on.
    fn give_up_handover(&mut self) {
        let recovery = self.recovery.take();
        if recovery.is_some_and(|recovery| recovery.has_resumed()) {
            self.end_silence();
        }
    }

    /// Records that the backend server goes on after a silence, if there was one.
    pub(super) fn end_silence(&mut self) {
        self.recovery = None;
        self.patient = false;
        if let Some(source) = &self.source {
            let server = &source.grant.placement.primary.id;
            self.exchange.end_silence(server);
        }
    }

    /// Ends the current attempt and goes on with the first events of its replacement.
    fn switch_to(&mut self, replacement: Replacement, what: &'static str) -> Bytes {
        self.end_broken(what);
        self.began = None;
        self.progress = self.exchange.gateway.clock.now();
        self.patient = false;
        self.source = Some(replacement.source);
        self.status = replacement.status;
        self.events = replacement.events;
        let first = replacement.first.map(|events| self.accept_events(events));
        first.unwrap_or_default()
    }
}
