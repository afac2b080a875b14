//! One request's claim on one backend server.

use super::JobId;
use super::limits::GRACE;
use super::limits::LEFT;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// What a request takes of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub job: JobId,
    /// What is still to be read there; zero once the first token has come.
    pub read: Work,
    /// When it was sent.
    pub since: MonoTime,
    /// When it should have been read.
    pub until: MonoTime,
    /// Memory it holds there.
    pub memory: Tokens,
    /// Whether it writes there, or will; otherwise it only reads a part of the prompt.
    pub leads: bool,
    /// The longest pause that it bears while it writes.
    pub max_gap: Option<Millis>,
    /// What it is worth to serve it well.
    pub value: u64,
}

impl Assignment {
    /// What is still to be read there, as far as time tells.
    ///
    /// A part of a prompt counts as unread until the whole prompt has been read, but an engine that is done with its
    /// part is free. Beyond the predicted time a little is kept back for a while, in case the prediction was wrong.
    #[must_use]
    pub fn unread(&self, now: MonoTime) -> Work {
        if now < self.until {
            return self.read.min(Work::between(now, self.until));
        }
        let grace = Millis(self.until.since(self.since).get() * GRACE / 1_000);
        if now < self.until.after(grace) {
            return self.read.scaled(LEFT);
        }
        Work::ZERO
    }
}
