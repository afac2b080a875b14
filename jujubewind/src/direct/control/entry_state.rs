//! State that the control task and the configuration watcher publish to request tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::Counts;
use super::departure::Departure;
use super::limits::DEPARTURE_MEMORY;
use crate::direct::BootTime;
use crate::direct::Freshness;
use crate::direct::Notices;
use crate::direct::ServerId;
use crate::direct::StalenessLimits;
use crate::direct::Table;
use crate::direct::TablePart;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::Revision;

/// The newest table, when it was last confirmed, and the process's readiness and counts.
#[derive(Debug, Default)]
pub struct EntryState {
    table: RefCell<Option<Rc<Table>>>,
    freshness: Cell<Freshness>,
    staleness_limits: Cell<StalenessLimits>,
    stopping: Cell<bool>,
    listed: Cell<bool>,
    counts: Cell<Counts>,
    notices: RefCell<Rc<Notices>>,
    /// When backend servers left the list or restarted.
    departures: RefCell<BTreeMap<ServerId, Departure>>,
    /// The newest version that this entry or a peer knows to have been in force.
    newest: Cell<Revision>,
    /// Until when confirmations may be of an older copy of the store.
    doubt_end: Cell<BootTime>,
    /// Whether the newest version cannot be read, so that nothing confirms the table.
    is_unreadable: Cell<bool>,
    /// Whether the table was confirmed although a newer one had been in force.
    is_disproved: Cell<bool>,
    /// Until when peers may still tell of a newer version than a starting entry has read.
    settles_at: Cell<Option<BootTime>>,
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
        if table.version >= self.newest.get() {
            self.newest.set(table.version);
            self.is_disproved.set(false);
        }
        *current = Some(Rc::new(table));
        true
    }

    /// Records that a backend server restarted.
    pub fn record_restart(&self, now: BootTime, server: ServerId) {
        self.insert_departure(server, Departure::restart(now));
    }

    /// Records that this incarnation of a backend server left the list.
    pub fn record_absence(&self, now: BootTime, server: ServerId, started: Option<Incarnation>) {
        self.insert_departure(server, Departure::absence(now, started));
    }

    /// Records that an incarnation of a backend server is listed, maybe again.
    pub fn record_listing(&self, now: BootTime, server: &ServerId, started: Option<Incarnation>) {
        let mut departures = self.departures.borrow_mut();
        let Some(departure) = departures.get(server) else {
            return;
        };
        if departure.is_undone(started) {
            departures.remove(server);
        } else if departure.is_followed(started) {
            departures.insert(server.clone(), Departure::restart(now));
        }
    }

    /// Whether a backend server restarted after `since`, or left the list and was not listed again
    /// soon.
    #[must_use]
    pub fn has_departed(&self, now: BootTime, since: BootTime, server: &ServerId) -> bool {
        let departures = self.departures.borrow();
        let departure = departures.get(server);
        departure.is_some_and(|one| one.at >= since && one.is_certain(now))
    }

    fn insert_departure(&self, server: ServerId, departure: Departure) {
        let mut departures = self.departures.borrow_mut();
        departures.retain(|_, known| departure.at.since(known.at) < DEPARTURE_MEMORY);
        departures.insert(server, departure);
    }

    /// Records that a version is or was in force. After the store was restored from an older copy,
    /// peers know of versions that it doesn't have.
    ///
    /// The table stays trusted up to its age, as it was the newest when it was confirmed; unless the
    /// entry is starting or the store was restored, so that an older copy may have confirmed it.
    pub fn learn_version(&self, now: BootTime, version: Revision) {
        if version <= self.newest.get() {
            return;
        }
        self.newest.set(version);
        if !self.is_settled(now) || now < self.doubt_end.get() {
            self.is_disproved.set(true);
        }
    }

    /// Records that the store was restored: until `end`, what it confirms may be out of date.
    pub fn doubt_confirmations(&self, end: BootTime) {
        self.doubt_end.set(end);
    }

    /// The newest version that this entry or a peer knows to have been in force.
    #[must_use]
    pub const fn newest(&self) -> Revision {
        self.newest.get()
    }

    /// Records the newest version that a peer vouches for; zero if it does not know yet.
    pub fn hear_peer(&self, now: BootTime, version: Revision) {
        if version > Revision::ZERO {
            self.learn_version(now, version);
            self.settles_at.set(None);
        }
    }

    /// Trusts the table only once a peer has told its newest version, or from `until` on.
    pub fn await_peers(&self, until: BootTime) {
        self.settles_at.set(Some(until));
    }

    /// Whether peers have had the time to tell of a newer version.
    #[must_use]
    pub fn is_settled(&self, now: BootTime) -> bool {
        self.settles_at.get().is_none_or(|until| now >= until)
    }

    /// Whether no newer version than that of the table is known.
    #[must_use]
    pub fn is_newest(&self) -> bool {
        let table = self.table.borrow();
        let version = table.as_ref().map_or(Revision::ZERO, |table| table.version);
        version >= self.newest.get()
    }

    /// The newest version that this entry can vouch for; zero while peers may know a newer one.
    #[must_use]
    pub fn vouched_version(&self, now: BootTime) -> Revision {
        if self.is_settled(now) {
            self.newest.get()
        } else {
            Revision::ZERO
        }
    }

    /// Records whether the newest version cannot be read. Until one can, the table ages, as after the
    /// loss of the store: it may list a key that the newest version takes away.
    pub fn set_unreadable(&self, is_unreadable: bool) {
        self.is_unreadable.set(is_unreadable);
    }

    /// Whether the newest version cannot be read.
    #[must_use]
    pub const fn is_unreadable(&self) -> bool {
        self.is_unreadable.get()
    }

    /// The number of items of a part of the configuration that cannot be read.
    #[must_use]
    pub fn unread(&self, part: TablePart) -> usize {
        if part == TablePart::Version {
            return usize::from(self.is_unreadable());
        }
        let table = self.table.borrow();
        table.as_ref().map_or(0, |table| table.unread.count(part))
    }

    /// Records that a read or watch that was sent at `sent` returned `version` as the newest, unless
    /// it cannot be read or a newer one is known to have been in force.
    pub fn confirm_version(&self, sent: BootTime, version: Revision) {
        if version >= self.newest.get() && !self.is_unreadable.get() {
            self.confirm(sent);
        }
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
        let is_fresh = self.is_confirmed(now, self.staleness_limits.get().keys);
        is_fresh && !self.is_disproved.get() && self.is_settled(now)
    }

    /// Whether the process may report that it is ready, unless it is stopping: it has read all that
    /// it needs, and its table is fresh enough and not an older copy.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        let is_fresh = self.is_confirmed(now, self.staleness_limits.get().ready);
        self.is_loaded(now) && is_fresh && !self.is_disproved.get()
    }

    /// Whether the table was confirmed less than `limit` ago.
    #[must_use]
    pub fn is_confirmed(&self, now: BootTime, limit: Millis) -> bool {
        self.freshness.get().is_within(now, limit)
    }

    /// Publishes the announcements of backend servers.
    pub fn set_notices(&self, notices: Notices) {
        *self.notices.borrow_mut() = Rc::new(notices);
    }

    /// The announcements of backend servers.
    #[must_use]
    pub fn notices(&self) -> Rc<Notices> {
        self.notices.borrow().clone()
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

    /// Whether a table and a list of backend servers have been read, and peers have had the time to
    /// tell of a newer table.
    #[must_use]
    pub fn is_loaded(&self, now: BootTime) -> bool {
        self.listed.get() && self.table.borrow().is_some() && self.is_settled(now)
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
