//! One request's use of one backend server.

use super::JobId;
use super::limits::OVERRUN_PERMILLE;
use super::limits::OVERRUN_WORK_PERMILLE;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// The capacity that a request occupies on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub job: JobId,
    /// Prefill work on this server; zero once the first token has arrived.
    pub prefill: Work,
    /// When it was sent.
    pub started: MonoTime,
    /// When its prefill should be done.
    pub prefill_due: MonoTime,
    /// Memory that it occupies there.
    pub memory: Tokens,
    /// Whether it decodes there; a helper only prefills a part of the prompt.
    pub is_primary: bool,
    /// The target for the longest gap between two of its events.
    pub max_gap: Option<Millis>,
    /// The value of serving it, see [`Job::value`](crate::direct::Job::value).
    pub value: u64,
}

impl Assignment {
    /// The prefill work that remains, estimated from the elapsed time.
    ///
    /// The first token arrives only once the whole prompt has been prefilled, but an engine is free
    /// as soon as it is done with its own part. After the predicted time a small remainder is
    /// assumed for a while, in case the prediction was too short.
    #[must_use]
    pub fn remaining(&self, now: MonoTime) -> Work {
        if now < self.prefill_due {
            return self.prefill.min(Work::between(now, self.prefill_due));
        }
        let overrun = Millis(self.prefill_due.since(self.started).get() * OVERRUN_PERMILLE / 1_000);
        if now < self.prefill_due.after(overrun) {
            return self.prefill.scaled(OVERRUN_WORK_PERMILLE);
        }
        Work::ZERO
    }
}
