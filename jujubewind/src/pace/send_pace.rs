//! The pace of requests to one backend server.

use super::Share;
use super::limits::WINDOW;
use super::recent_sends::RecentSends;
use crate::limits::Bucket;
use crate::limits::Micros;
use crate::types::Millis;
use crate::types::MonoTime;

/// When this process may send to a server, by its share of the server's limit.
///
/// Neither a pause of the process nor a time without callers lets more than the share's burst
/// through at once.
#[derive(Clone, Debug, Default)]
pub struct SendPace {
    recent: RecentSends,
    limited: Option<Limited>,
}

/// The state while the server's limit is in force.
#[derive(Clone, Copy, Debug)]
struct Limited {
    /// `None` if other processes have all of the limit.
    share: Option<Share>,
    bucket: Bucket,
}

impl SendPace {
    /// Counts a request to the server.
    pub fn record(&mut self, now: MonoTime) {
        self.recent.record(now);
        if let Some(limited) = &mut self.limited
            && let Some(share) = limited.share
        {
            limited.bucket.take_request(now, share.rate);
        }
    }

    /// Applies the server's limit. What was sent in the last window counts against the share, but
    /// holds nothing up for longer than a window.
    pub fn limit(&mut self, now: MonoTime, share: Option<Share>) {
        let bucket = share.map(|share| self.bucket(now, &share));
        let bucket = bucket.unwrap_or_default();
        self.limited = Some(Limited { share, bucket });
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

    /// The time until a request may be sent, zero if it may now; `None` if this process has no share
    /// of the server's limit.
    #[must_use]
    pub fn wait(&self, now: MonoTime) -> Option<Millis> {
        let Some(limited) = self.limited else {
            return Some(Millis::ZERO);
        };
        let tolerance = limited.share?.tolerance();
        Some(limited.bucket.wait(now, tolerance))
    }

    /// Forgets old requests; returns whether nothing is left to know.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.recent.expire(now);
        self.recent.is_empty() && self.limited.is_none()
    }

    /// What the requests of the last window have taken, and no less than by the share until now or,
    /// if there was none, than spreads the holders' first requests.
    fn bucket(&self, now: MonoTime, share: &Share) -> Bucket {
        let mut replayed = Bucket::default();
        for sent in self.recent.times() {
            replayed.take_request(sent, share.rate);
        }
        let longest = share.tolerance().saturating_add(Micros::of(WINDOW));
        let known = match self.limited {
            Some(limited) if limited.share.is_some() => {
                let next = share.tolerance().saturating_add(share.interval());
                limited.bucket.with_debt_up_to(now, next)
            }
            _ => Bucket::with_debt(now, share.tolerance().saturating_add(share.offset())),
        };
        replayed.with_debt_up_to(now, longest).max(known)
    }
}
