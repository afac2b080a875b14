//! The pace of requests to one backend server.

use super::Share;
use super::limits::WINDOW;
use super::recent_sends::RecentSends;
use crate::types::Millis;
use crate::types::MonoTime;

const MICROS_PER_MILLI: u64 = 1_000;

/// When this entry may send to a server, by its share of the server's limit.
///
/// Requests are spaced by the generic cell rate algorithm, so that neither a pause of the process
/// nor a time without callers lets more than the share's burst through at once.
#[derive(Clone, Debug, Default)]
pub struct SendPace {
    recent: RecentSends,
    limited: Option<Limited>,
}

/// The state while the server's limit is in force.
#[derive(Clone, Copy, Debug)]
struct Limited {
    /// `None` if other entries have all of the limit.
    share: Option<Share>,
    /// When the next request would be sent at even intervals.
    due: MonoTime,
}

impl SendPace {
    /// Counts a request to the server.
    pub fn record(&mut self, now: MonoTime) {
        self.recent.record(now);
        if let Some(limited) = &mut self.limited
            && let Some(share) = limited.share
        {
            limited.due = step(limited.due, now, &share);
        }
    }

    /// Applies the server's limit. What was sent in the last window counts against the share, but
    /// holds nothing up for longer than a window.
    pub fn limit(&mut self, now: MonoTime, share: Option<Share>) {
        let due = share.map_or(now, |share| self.due(now, &share));
        self.limited = Some(Limited { share, due });
    }

    /// Lifts the server's limit.
    pub fn lift(&mut self) {
        self.limited = None;
    }

    /// Whether the server's limit is in force.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.limited.is_some()
    }

    /// The share of the limit in force.
    #[must_use]
    pub fn share(&self) -> Option<Share> {
        self.limited.and_then(|limited| limited.share)
    }

    /// The time until a request may be sent, zero if it may now; `None` if this entry has no share
    /// of the server's limit.
    #[must_use]
    pub fn wait(&self, now: MonoTime) -> Option<Millis> {
        let Some(limited) = self.limited else {
            return Some(Millis::ZERO);
        };
        let share = limited.share?;
        let early = limited.due.micros().saturating_sub(share.lead_micros());
        Some(now.until(MonoTime::from_micros(early)))
    }

    /// Forgets old requests; returns whether nothing is left to know.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.recent.expire(now);
        self.recent.is_empty() && self.limited.is_none()
    }

    /// When the next request is due after those of the last window, and no earlier than by the share
    /// until now or, if there was none, as the holders' first requests are spread.
    fn due(&self, now: MonoTime, share: &Share) -> MonoTime {
        let sent = self.recent.times();
        let due = sent.fold(MonoTime::ZERO, |due, sent| step(due, sent, share));
        let soonest = now.micros().saturating_add(share.lead_micros());
        let latest = soonest.saturating_add(WINDOW.get() * MICROS_PER_MILLI);
        let replayed = due.micros().min(latest);
        let known = match self.limited {
            Some(limited) if limited.share.is_some() => {
                let next = soonest.saturating_add(share.interval_micros());
                limited.due.micros().min(next)
            }
            _ => soonest.saturating_add(share.offset_micros()),
        };
        MonoTime::from_micros(replayed.max(known))
    }
}

/// When the next request is due after one that was sent at `sent`.
fn step(due: MonoTime, sent: MonoTime, share: &Share) -> MonoTime {
    let from = due.max(sent).micros();
    MonoTime::from_micros(from.saturating_add(share.interval_micros()))
}
