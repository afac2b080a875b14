//! Carries out what is decided about a stream and its backend servers.

use super::super::handover::Input;
use super::super::handover::Output;
use super::super::source::Source;
use super::super::takeover::Progress;
use super::super::takeover::Takeover;
use super::Relay;
use super::SILENT;
use crate::direct::Dialect;

/// How the answer goes on.
pub(super) enum Flow {
    Read,
    End,
    Truncate,
}

impl<D: Dialect> Relay<D> {
    /// Acts on `input` until the stream is to be read again or ends.
    pub(super) async fn act_on(&mut self, mut input: Input) -> Flow {
        loop {
            if let Input::Broken(what) = input {
                self.end_broken(what);
            }
            input = match self.decide(input) {
                Output::TakeRetry => self.take_retry().await,
                Output::Read => return Flow::Read,
                Output::AskOther => {
                    self.ask_other();
                    return Flow::Read;
                }
                Output::DropOther => {
                    self.others.clear();
                    return Flow::Read;
                }
                Output::Switch => {
                    self.switch();
                    return Flow::Read;
                }
                Output::End => {
                    self.finish();
                    return Flow::End;
                }
                Output::Truncate(what) => {
                    self.others.clear();
                    self.end_broken(what);
                    self.exchange.log_truncated(what, self.last.get());
                    return Flow::Truncate;
                }
            };
        }
    }

    pub(super) fn decide(&mut self, input: Input) -> Output {
        let now = self.exchange.gateway.clock.now();
        self.handover.apply(now, input)
    }

    async fn take_retry(&mut self) -> Input {
        if let Some(source) = self.source.as_ref().filter(|_| self.others.is_empty()) {
            let quiet = self.handover.quiet(self.exchange.gateway.clock.now());
            self.exchange
                .log_silent(&source.grant.placement.primary.id, quiet);
        }
        self.retry = self.exchange.take_retry(&self.target).await;
        if self.retry.is_some() {
            return Input::RetryGranted;
        }
        if self.source.is_some() {
            self.exchange.log_kept(&"no retry left");
        }
        let lasting = !self.exchange.may_retry(&self.target);
        Input::RetryDenied { lasting }
    }

    /// Asks another backend server to take the stream over. Silent ones are kept until one has sent an
    /// event, as they may be slow but sound.
    fn ask_other(&mut self) {
        if let Some(source) = &self.source {
            let server = &source.grant.placement.primary.id;
            self.silence = Some(self.exchange.keep_silent(server));
        }
        for other in &mut self.others {
            other.keep_silent(&self.exchange);
        }
        let (exchange, target) = (self.exchange.clone(), self.target.clone());
        let retry = self.retry.take();
        let other = retry.map(|retry| Takeover::ask(exchange, target, self.last.get(), retry));
        self.others.extend(other);
    }

    /// Ends the current attempt and goes on with its replacement.
    fn switch(&mut self) {
        self.end_broken(SILENT);
        self.began = None;
        if let Some(replacement) = self.replacement.take() {
            self.status = replacement.response.status();
            self.source = Some(Source::new(replacement));
        }
    }

    /// Records how far the other backend server at `index` has come.
    pub(super) fn accept_other(&mut self, index: usize, progress: Progress) -> Input {
        match progress {
            Progress::Responded(upstream) => {
                let exchange = self.exchange.clone();
                let seen = self.last.clone();
                self.others[index].await_event(exchange, &self.target, upstream, seen);
                Input::OtherResponded
            }
            Progress::Began(upstream) => {
                self.others.clear();
                self.replacement = Some(upstream);
                Input::OtherBegan
            }
            Progress::Failed(failure) => {
                self.others.swap_remove(index);
                Input::OtherFailed(failure)
            }
            Progress::Broken => {
                self.others.swap_remove(index);
                Input::OtherBroken
            }
        }
    }
}
