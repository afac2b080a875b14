//! Decides from which of two backend servers a stream is read on.

use super::limits::MAX_ATTEMPTS;
use super::recovery::Recovery;
use crate::types::Millis;
use crate::types::MonoTime;

/// The caller's or the route's timeout has passed.
pub const DEADLINE: &str = "deadline";

/// What happened to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Nothing arrived for as long as `Handover::wait` told.
    Elapsed,
    /// The backend server sent an event.
    Event {
        /// Whether it has an id, so that it can be told from the other one's events.
        numbered: bool,
    },
    /// The backend server completed the stream.
    Ended,
    /// The attempt at the backend server failed, for this cause.
    Broken(&'static str),
    /// The request may be sent to another backend server.
    RetryGranted,
    /// The request may not be sent again.
    RetryDenied,
    /// The head of the other backend server's response has arrived.
    OtherResponded,
    /// Another backend server has sent an event.
    OtherBegan,
    /// The other backend server will not respond.
    OtherFailed {
        /// Whether the request was sent to it and may have run.
        sent: bool,
    },
    /// Another backend server's response failed before an event.
    OtherBroken,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Read from the backend servers that there are.
    Read,
    /// Find out whether the request may be sent again.
    TakeRetry,
    /// Send the rest of the request to another backend server as well.
    AskOther,
    /// Give up the other backend servers and read on.
    DropOther,
    /// Give up the backend server, if it is still there, and go on with the other one that began.
    Switch,
    /// End the answer, which is complete.
    End,
    /// End the answer, which is not complete, for this cause.
    Truncate(&'static str),
}

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
        let left = self.deadline.since(now);
        let silence = self.next_ask().map(|at| at.since(now));
        silence.map_or(left, |silence| silence.min(left))
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
            Input::RetryDenied => {
                let broken = self.broken.filter(|_| !self.has_other());
                broken.map_or(Output::Read, Output::Truncate)
            }
            Input::OtherResponded => {
                self.is_opening = false;
                self.stalled += 1;
                self.responded = Some(now);
                Output::Read
            }
            Input::OtherBegan => {
                self.progress = now;
                self.is_patient = false;
                self.forget_others();
                self.recovery = None;
                self.broken = None;
                Output::Switch
            }
            Input::OtherFailed { sent } => {
                self.is_opening = false;
                self.lose_other(sent)
            }
            Input::OtherBroken => {
                self.stalled -= 1;
                self.lose_other(true)
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

    fn lose_other(&mut self, sent: bool) -> Output {
        if self.has_other() {
            return Output::Read;
        }
        self.responded = None;
        match self.broken {
            None => {
                self.trust_resumed();
                Output::Read
            }
            Some(what) if self.resumptions > 0 && !sent => Output::Truncate(what),
            Some(what) => self.resume(what),
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
            return Output::TakeRetry;
        }
        Output::Read
    }

    fn resume(&mut self, what: &'static str) -> Output {
        if self.resumptions == MAX_ATTEMPTS {
            return Output::Truncate(what);
        }
        self.resumptions += 1;
        Output::TakeRetry
    }

    /// When all that were asked have been silent for too long.
    fn next_ask(&self) -> Option<MonoTime> {
        let max_silence = self.max_silence?;
        let quiet_since = if self.has_other() {
            self.responded?.max(self.progress)
        } else if self.is_patient || self.broken.is_some() {
            return None;
        } else {
            self.progress
        };
        Some(quiet_since.after(max_silence))
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

    /// Allows another silence if the silent backend server has gone on.
    fn trust_resumed(&mut self) {
        let recovery = self.recovery.take();
        if recovery.is_some_and(|recovery| recovery.has_resumed()) {
            self.is_patient = false;
        }
    }
}
