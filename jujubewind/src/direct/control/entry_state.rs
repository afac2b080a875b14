//! What the control task and the follower of the configuration publish to the tasks of requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use super::Counts;
use crate::direct::BootTime;
use crate::direct::Freshness;
use crate::direct::StalenessLimits;
use crate::direct::Table;
use crate::types::Millis;

/// The newest table, the proof that it is the newest, and whether the process is stopping.
#[derive(Debug, Default)]
pub struct EntryState {
    table: RefCell<Option<Rc<Table>>>,
    freshness: Cell<Freshness>,
    staleness_limits: Cell<StalenessLimits>,
    stopping: Cell<bool>,
    listed: Cell<bool>,
    counts: Cell<Counts>,
}

impl EntryState {
    /// The newest table.
    #[must_use]
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Puts a table in force unless a newer one is; says whether it is in force now.
    pub fn install_table(&self, table: Table) -> bool {
        let mut current = self.table.borrow_mut();
        let newer = |known: &Rc<Table>| known.version >= table.version;
        if current.as_ref().is_some_and(newer) {
            return false;
        }
        *current = Some(Rc::new(table));
        true
    }

    /// Notes that the table was the newest when a question was asked at `asked`.
    pub fn confirm(&self, asked: BootTime) {
        let mut freshness = self.freshness.get();
        freshness.renew(asked);
        self.freshness.set(freshness);
    }

    /// The age of the newest proof.
    #[must_use]
    pub fn table_age(&self, now: BootTime) -> Option<Millis> {
        self.freshness.get().age(now)
    }

    /// Sets for how long a proof is trusted.
    pub fn set_staleness_limits(&self, staleness_limits: StalenessLimits) {
        self.staleness_limits.set(staleness_limits);
    }

    /// Whether the newest proof is trusted for a request with a key.
    #[must_use]
    pub fn is_trusted(&self, now: BootTime) -> bool {
        self.is_confirmed(now, self.staleness_limits.get().keys)
    }

    /// Whether the newest proof is young enough for callers to be sent here.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.is_confirmed(now, self.staleness_limits.get().ready)
    }

    /// Whether the newest proof is younger than `limit`.
    #[must_use]
    pub fn is_confirmed(&self, now: BootTime, limit: Millis) -> bool {
        self.freshness.get().is_within(now, limit)
    }

    /// Publishes what the control task counts.
    pub fn set_counts(&self, counts: Counts) {
        self.counts.set(counts);
    }

    /// What the control task counted last.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Notes that backend servers have been listed once.
    pub fn mark_listed(&self) {
        self.listed.set(true);
    }

    /// Whether a table and a list of backend servers have been read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.listed.get() && self.table.borrow().is_some()
    }

    /// Notes that the process has been asked to stop.
    pub fn mark_stopping(&self) {
        self.stopping.set(true);
    }

    /// Whether the process has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }
}
