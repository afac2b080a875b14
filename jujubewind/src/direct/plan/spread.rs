//! Costs that keep entries from choosing the same server.

use super::Preference;
use super::limits::MAX_SPREAD;
use super::limits::MIN_SPREAD;
use super::limits::SPREAD_WIDTH;
use crate::scheduler::Work;

/// The cost of a server that this entry leaves to others.
///
/// Under load, many entries place requests before they see each other's placements. Without these
/// costs all of them would choose the server that is the least loaded in everyone's view. With them
/// each entry prefers servers of its own, and turns to the others' as the work there grows by more
/// than what it cannot see yet.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Costs are below this.
    width: Work,
}

impl Spread {
    /// Costs for a placement; `unseen` is the work of each server that does not show in this entry's
    /// view yet.
    #[must_use]
    pub fn new(unseen: Work) -> Self {
        let width = Work(unseen.get().saturating_mul(SPREAD_WIDTH));
        Self {
            width: width.clamp(Work::from_millis(MIN_SPREAD), Work::from_millis(MAX_SPREAD)),
        }
    }

    /// The cost of a server.
    #[must_use]
    pub fn cost(&self, preference: Preference) -> Work {
        self.width.scaled(preference.permille())
    }
}
