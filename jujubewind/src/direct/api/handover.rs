//! Decides from which backend server a stream is read on.

mod backoff;
mod input;
mod output;
mod takeover_failure;

use self::backoff::Backoff;
pub use self::input::Input;
pub use self::output::Output;
pub use self::takeover_failure::TakeoverFailure;
use super::limits::MAX_ATTEMPTS;
use super::recovery::Recovery;
use crate::types::Millis;
use crate::types::MonoTime;

/// The caller's or the route's timeout has passed.
pub const DEADLINE: &str = "deadline";

/// The state of a stream that is read from one backend server, and of others that were asked to take
/// it over.
#[derive(Clone, Debug)]
pub struct Handover {
    deadline: MonoTime,
    /// How long the backend server may send no events before another one is asked; `None` if none
    /// may be.
    max_silence: Option<Millis>,
    /// When the stream last made progress.
    progress: MonoTime,
    /// Whether another backend server has been asked since the last progress, so that a silent one is
    /// waited for.
    is_patient: bool,
    /// Paces further requests after one that nobody took.
    backoff: Backoff,
    /// Why the backend server is no longer there.
    broken: Option<&'static str>,
    /// Whether another backend server was asked and has not responded.
    is_opening: bool,
    /// The number of others that have responded and sent no event.
    stalled: usize,
    /// When the last of them responded; `None` once one more was asked in its silence.
    responded: Option<MonoTime>,
    /// Observes the silent backend server while another one is asked.
    recovery: Option<Recovery>,
    /// How often the stream was to be resumed since it broke.
    resumptions: usize,
}

impl Handover {
    /// Starts with one backend server, from which the stream is read until `deadline`.
    #[must_use]
    pub const fn new(now: MonoTime, deadline: MonoTime, max_silence: Option<Millis>) -> Self {
        Self {
            deadline,
            max_silence,
            progress: now,
            is_patient: false,
            backoff: Backoff::new(),
            broken: None,
            is_opening: false,
            stalled: 0,
            responded: None,
            recovery: None,
            resumptions: 0,
        }
    }

    /// How long to read before `Input::Elapsed`.
    #[must_use]
    pub fn wait(&self, now: MonoTime) -> Millis {
        let left = now.until(self.deadline);
        let pause = self.next_ask().map(|at| now.until(at));
        pause.map_or(left, |pause| pause.min(left))
    }

    /// How long the stream has made no progress.
    #[must_use]
    pub fn quiet(&self, now: MonoTime) -> Millis {
        now.since(self.progress)
    }

    /// Decides what to do after `input`.
    pub fn apply(&mut self, now: MonoTime, input: Input) -> Output {
        match input {
            Input::Elapsed => self.elapse(now),
            Input::Event { numbered } => self.accept_event(now, numbered),
            Input::Ended => Output::End,
            Input::Broken(what) => self.break_off(what),
            Input::RetryGranted => {
                self.is_opening = true;
                self.recovery = self.observe();
                Output::AskOther
            }
            Input::RetryDenied { lasting } => self.accept_denial(now, lasting),
            Input::OtherResponded => {
                self.is_opening = false;
                self.stalled += 1;
                self.responded = Some(now);
                self.backoff.end();
                Output::Read
            }
            Input::OtherBegan => {
                self.progress = now;
                self.is_patient = false;
                self.forget_others();
                self.backoff = Backoff::new();
                self.recovery = None;
                self.broken = None;
                Output::Switch
            }
            Input::OtherFailed(failure) => {
                self.is_opening = false;
                self.lose_other(now, failure)
            }
            Input::OtherBroken => {
                self.stalled -= 1;
                self.lose_other(now, TakeoverFailure::MayHaveRun)
            }
        }
    }

    fn break_off(&mut self, what: &'static str) -> Output {
        self.broken = Some(what);
        self.recovery = None;
        self.resumptions = 0;
        if self.has_other() {
            return Output::Read;
        }
        self.resume(what)
    }

    fn accept_denial(&mut self, now: MonoTime, lasting: bool) -> Output {
        if let Some(what) = self.broken.filter(|_| !self.has_other()) {
            return Output::Truncate(what);
        }
        if !lasting {
            self.backoff.pause(now);
        }
        Output::Read
    }

    fn lose_other(&mut self, now: MonoTime, failure: TakeoverFailure) -> Output {
        if self.has_other() {
            self.pause_after(now, failure);
            return Output::Read;
        }
        self.responded = None;
        let Some(what) = self.broken else {
            if !self.trust_resumed() {
                self.pause_after(now, failure);
            }
            return Output::Read;
        };
        match failure {
            TakeoverFailure::MayHaveRun => self.resume(what),
            _ if self.resumptions == 0 => self.resume(what),
            TakeoverFailure::Unsent => {
                self.pause_after(now, failure);
                Output::Read
            }
            TakeoverFailure::Rejected => Output::Truncate(what),
        }
    }

    /// Others are asked again after a pause, unless backend servers rejected the request.
    fn pause_after(&mut self, now: MonoTime, failure: TakeoverFailure) {
        if !self.is_opening && failure != TakeoverFailure::Rejected {
            self.backoff.pause(now);
        }
    }

    const fn has_other(&self) -> bool {
        self.is_opening || self.stalled > 0
    }

    const fn forget_others(&mut self) {
        self.is_opening = false;
        self.stalled = 0;
        self.responded = None;
    }

    /// The caller decides how long it waits for an event: silence alone never ends the answer.
    fn elapse(&mut self, now: MonoTime) -> Output {
        if now >= self.deadline {
            return Output::Truncate(self.broken.unwrap_or(DEADLINE));
        }
        if self.next_ask().is_some_and(|at| at <= now) {
            self.is_patient = true;
            self.responded = None;
            self.backoff.end();
            if self.has_other() {
                self.recovery = self.observe();
            }
            return Output::TakeRetry;
        }
        Output::Read
    }

    fn resume(&mut self, what: &'static str) -> Output {
        if self.resumptions == MAX_ATTEMPTS {
            return Output::Truncate(what);
        }
        self.resumptions += 1;
        self.backoff.end();
        Output::TakeRetry
    }

    /// When another one is to be asked: all that were asked have been silent for too long, and the
    /// pause after a request that nobody took is over.
    fn next_ask(&self) -> Option<MonoTime> {
        if self.is_opening {
            return None;
        }
        let paused = self.backoff.until();
        if self.broken.is_some() && paused.is_some() {
            return paused;
        }
        let max_silence = self.max_silence?;
        let silent_at = self.progress.after(max_silence);
        if let Some(until) = paused {
            return Some(until.max(silent_at));
        }
        if self.stalled > 0 {
            return Some(self.responded?.after(max_silence).max(silent_at));
        }
        let is_waiting = self.is_patient || self.broken.is_some();
        (!is_waiting).then_some(silent_at)
    }

    /// Records progress. The other backend servers are given up once the silent one has recovered: a
    /// single event does not show that, and no attempt may be left for its next silence.
    fn accept_event(&mut self, now: MonoTime, numbered: bool) -> Output {
        self.progress = now;
        let recovery = self.recovery.as_mut();
        let is_recovered = recovery.is_none_or(|recovery| recovery.record(now) || !numbered);
        if !is_recovered {
            return Output::Read;
        }
        self.recovery = None;
        self.is_patient = false;
        self.backoff = Backoff::new();
        if self.has_other() {
            self.forget_others();
            return Output::DropOther;
        }
        Output::Read
    }

    /// Starts to observe a silent backend server.
    fn observe(&self) -> Option<Recovery> {
        let silent = self.max_silence.filter(|_| self.broken.is_none());
        silent.map(|max_silence| Recovery::new(max_silence, self.progress))
    }

    /// Allows another silence if the silent backend server has gone on; returns whether it has.
    fn trust_resumed(&mut self) -> bool {
        let recovery = self.recovery.take();
        let has_resumed = recovery.is_some_and(|recovery| recovery.has_resumed());
        self.is_patient &= !has_resumed;
        has_resumed
    }
}
