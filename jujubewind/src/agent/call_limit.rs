//! The limit that a plain service names on its calls.

use crate::pace::NamedLimit;
use crate::pace::SendPace;
use crate::pace::ServerLimit;
use crate::pace::Share;
use crate::types::Millis;
use crate::types::MonoTime;

/// The service's limit and the pace of calls under it. An agent is the only process that calls its
/// service, so it has the whole limit.
#[derive(Clone, Debug, Default)]
pub struct CallLimit {
    limit: ServerLimit,
    pace: SendPace,
}

impl CallLimit {
    /// The time until a call may be sent; zero if it may now.
    #[must_use]
    pub fn wait(&self, now: MonoTime) -> Millis {
        self.pace.wait(now).unwrap_or_default()
    }

    /// Counts a call that is sent.
    pub fn record_call(&mut self, now: MonoTime) {
        self.pace.record(now);
    }

    /// Records what the response to a call names that was sent at `sent`.
    pub fn record_response(&mut self, now: MonoTime, sent: MonoTime, named: NamedLimit) {
        let before = self.limit.rate;
        match named {
            NamedLimit::Rate(rate) => self.limit = ServerLimit::new(Some(rate), now),
            NamedLimit::Absent => {
                self.limit.record_unlimited(now, sent);
            }
            NamedLimit::Unreadable => crate::event!(warn, "service_limit_not_read"),
        }
        if self.limit.rate == before {
            return;
        }
        if let Some(rate) = self.limit.rate {
            crate::event!(info, "service_limit_named", rate = rate);
            self.pace.limit(now, Some(Share::whole(rate)));
        } else {
            crate::event!(info, "service_limit_ended");
            self.pace.lift();
        }
    }
}
