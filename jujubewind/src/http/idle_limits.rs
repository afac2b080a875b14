//! The limits on the time for which a connection may be idle.

use crate::types::Millis;
use crate::types::MonoTime;

/// Decides until when a connection may be idle: for the longest limit in force since it became
/// idle, because its caller may rely on any of them.
#[derive(Clone, Debug)]
pub struct IdleLimits {
    current: Millis,
    /// Earlier limits that an idle connection may still rely on, with the end of each.
    earlier: Vec<(MonoTime, Millis)>,
}

impl IdleLimits {
    /// Creates a history that begins with `limit`.
    #[must_use]
    pub const fn new(limit: Millis) -> Self {
        Self {
            current: limit,
            earlier: Vec::new(),
        }
    }

    /// The limit in force.
    #[must_use]
    pub const fn current(&self) -> Millis {
        self.current
    }

    /// Replaces the limit in force.
    pub fn set(&mut self, now: MonoTime, limit: Millis) {
        if limit == self.current {
            return;
        }
        self.earlier.push((now, self.current));
        self.current = limit;
        let longest = self.longest_since(MonoTime::ZERO);
        self.earlier.retain(|(end, _)| now.since(*end) < longest);
    }

    /// The time at which a connection that has been idle since `since` is closed, unless the limit
    /// is raised before.
    #[must_use]
    pub fn expiry(&self, since: MonoTime) -> MonoTime {
        since.after(self.longest_since(since))
    }

    fn longest_since(&self, since: MonoTime) -> Millis {
        let earlier = self.earlier.iter().filter(|(end, _)| *end >= since);
        let limits = earlier.map(|(_, limit)| *limit);
        limits.fold(self.current, Millis::max)
    }
}
