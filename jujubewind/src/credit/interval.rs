//! The intervals that limits are counted in.

use crate::store::Key;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::MonoTime;

crate::quantity! {
    /// The number of an interval: wall-clock time divided by the interval's length.
    ///
    /// Clocks may differ between VMs; each interval has its own record, so that they spend from the
    /// record that they name and none is overspent.
    pub struct IntervalId(u64), "";
}

/// One interval of one catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The catalogue entry.
    pub entry: EntryId,
    /// Which interval.
    pub id: IntervalId,
    /// What may be spent in it.
    pub limit: Credit,
    /// When it ends, by this process's clock.
    pub ends: MonoTime,
}

impl Interval {
    /// The key of the interval's account.
    #[must_use]
    pub fn store_key(&self) -> Key {
        Key::new("credit", &format!("{}/{}", self.entry, self.id))
    }
}
