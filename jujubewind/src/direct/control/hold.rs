//! Whether the limits of backend servers leave room for a request.

use crate::direct::Job;
use crate::direct::plan;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// Whether the limits of a service's servers leave room for a request.
///
/// This answers a load beyond the limits that all servers of a service have named: a request waits
/// for a place that comes in its time, and is refused at once if none does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hold {
    /// They do not hold it back.
    Free,
    /// There is a place for it after this time.
    Wait(Millis),
    /// Only other entries have shares in the limits, with a place for a request each so often.
    Elsewhere(Millis),
}

impl Hold {
    /// Why the request is refused, if there is no place for it in its time.
    pub(super) fn refusal(self, now: MonoTime, job: &Job) -> Option<Refusal> {
        let retry = match self {
            Self::Wait(wait) if now.after(wait) >= job.queue_deadline() => wait,
            Self::Elsewhere(period) => period.min(plan::MAX_RETRY_DELAY),
            Self::Free | Self::Wait(_) => return None,
        };
        Some(Refusal {
            reason: Reason::QueueFull,
            retry: retry.max(plan::MIN_RETRY_DELAY),
        })
    }
}
