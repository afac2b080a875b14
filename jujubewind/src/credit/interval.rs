//! The intervals to which limits apply.

use crate::store::Key;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::MonoTime;

crate::quantity! {
    /// The number of an interval: wall-clock time divided by the interval's length.
    ///
    /// Clocks may differ between VMs. Each interval has its own account and a process draws from
    /// the account of the interval it names, so none is overspent.
    pub struct IntervalId(u64), "";
}

/// One interval of one catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The catalogue entry.
    pub entry: EntryId,
    /// The number of the interval.
    pub id: IntervalId,
    /// The credit that may be spent in it.
    pub limit: Credit,
    /// The end of the interval on this process's clock.
    pub ends: MonoTime,
}

impl Interval {
    /// Returns the store key of the interval's account.
    #[must_use]
    pub fn store_key(&self) -> Key {
        Key::new("credit", &format!("{}/{}", self.entry, self.id))
    }
}
