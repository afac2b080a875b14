//! The departure of a backend server.

use super::limits::MAX_ABSENCE;
use crate::direct::BootTime;
use crate::types::Incarnation;

/// When a backend server left the list or restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    pub(super) at: BootTime,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Restart,
    /// The incarnation is missing from the list.
    Absence(Option<Incarnation>),
}

impl Departure {
    pub(super) const fn restart(at: BootTime) -> Self {
        let kind = Kind::Restart;
        Self { at, kind }
    }

    pub(super) const fn absence(at: BootTime, started: Option<Incarnation>) -> Self {
        let kind = Kind::Absence(started);
        Self { at, kind }
    }

    /// Whether the listing of this incarnation shows that it never left.
    pub(super) fn is_undone(&self, listed: Option<Incarnation>) -> bool {
        matches!(self.kind, Kind::Absence(started) if started == listed)
    }

    /// Whether the listing of this incarnation shows that the absent one has ended.
    pub(super) fn is_followed(&self, listed: Option<Incarnation>) -> bool {
        matches!(self.kind, Kind::Absence(started) if started != listed)
    }

    /// Whether it need no longer be expected back.
    pub(super) fn is_certain(&self, now: BootTime) -> bool {
        match self.kind {
            Kind::Restart => true,
            Kind::Absence(_) => now.since(self.at) >= MAX_ABSENCE,
        }
    }
}
