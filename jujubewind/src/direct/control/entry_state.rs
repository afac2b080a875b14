//! State that the control task and the configuration watcher publish to request tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use super::Counts;
use crate::direct::BootTime;
use crate::direct::Freshness;
use crate::direct::StalenessLimits;
use crate::direct::Table;
use crate::types::Millis;

/// The newest table, when it was last confirmed, and the process's readiness and counts.
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

    /// Installs a table unless the installed one is as new or newer; returns whether it was
    /// installed.
    pub fn install_table(&self, table: Table) -> bool {
        let mut current = self.table.borrow_mut();
        let is_current = |known: &Rc<Table>| known.version >= table.version;
        if current.as_ref().is_some_and(is_current) {
            return false;
        }
        *current = Some(Rc::new(table));
        true
    }

    /// Records that a read or watch that was sent at `sent` returned the newest table.
    pub fn confirm(&self, sent: BootTime) {
        let mut freshness = self.freshness.get();
        freshness.renew(sent);
        self.freshness.set(freshness);
    }

    /// The time since the table was last confirmed to be the newest; `None` if it never was.
    #[must_use]
    pub fn table_age(&self, now: BootTime) -> Option<Millis> {
        self.freshness.get().age(now)
    }

    /// Sets the limits on how stale the table may become.
    pub fn set_staleness_limits(&self, staleness_limits: StalenessLimits) {
        self.staleness_limits.set(staleness_limits);
    }

    /// Whether the table is fresh enough to authorize a request by its API key.
    #[must_use]
    pub fn is_trusted(&self, now: BootTime) -> bool {
        self.is_confirmed(now, self.staleness_limits.get().keys)
    }

    /// Whether the table is fresh enough for the process to report that it is ready.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.is_confirmed(now, self.staleness_limits.get().ready)
    }

    /// Whether the table was confirmed less than `limit` ago.
    #[must_use]
    pub fn is_confirmed(&self, now: BootTime, limit: Millis) -> bool {
        self.freshness.get().is_within(now, limit)
    }

    /// Publishes the control task's counts.
    pub fn set_counts(&self, counts: Counts) {
        self.counts.set(counts);
    }

    /// The last counts of the control task.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Records that the list of backend servers has been read.
    pub fn mark_listed(&self) {
        self.listed.set(true);
    }

    /// Whether a table and a list of backend servers have been read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.listed.get() && self.table.borrow().is_some()
    }

    /// Records that the process has been asked to stop.
    pub fn mark_stopping(&self) {
        self.stopping.set(true);
    }

    /// Whether the process has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }
}
