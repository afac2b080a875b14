//! The scheduling state machine of the control task, without I/O or clocks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use super::Counts;
use super::Outcome;
use super::content::Content;
use crate::conviction::Prints;
use crate::conviction::SoundParts;
use crate::conviction::SuspectRegistry;
use crate::direct::Budget;
use crate::direct::BudgetLimits;
use crate::direct::ColdLimit;
use crate::direct::ColdSpells;
use crate::direct::Engine;
use crate::direct::Health;
use crate::direct::JobId;
use crate::direct::Ledger;
use crate::direct::Notices;
use crate::direct::Preferences;
use crate::direct::Queue;
use crate::direct::Roster;
use crate::direct::SendPaces;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::Table;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::NodeId;

/// Settings of the scheduling state machine.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// This entry.
    pub node: NodeId,
    /// This entry's failure domain.
    pub domain: DomainId,
    /// The shared retry budget of each service.
    pub budget: BudgetLimits,
}

/// Servers, load, queued requests, retry budgets and suspects of one entry.
#[derive(Debug)]
pub struct Core {
    pub(super) settings: CoreSettings,
    started: MonoTime,
    table: Option<Rc<Table>>,
    pub(super) roster: Roster,
    pub(super) health: BTreeMap<ServerId, Health>,
    pub(super) notices: Notices,
    /// Whether servers left the list, or evacuations changed, since [`Core::take_delisted`] was called.
    pub(super) has_delisted: bool,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    budgets: BTreeMap<ServiceId, Budget>,
    pub(super) suspects: SuspectRegistry,
    pub(super) sound_parts: SoundParts,
    /// Open requests whose answer went on past its beginning.
    pub(super) progressed: BTreeSet<JobId>,
    /// What identifies the content of the queued requests.
    pub(super) queued_content: BTreeMap<JobId, Content>,
    pub(super) peers: BTreeSet<NodeId>,
    /// Whether the list of the other entries has been read.
    pub(super) has_peers_listed: bool,
    /// What this entry may send to servers that have named a limit.
    pub(super) paces: SendPaces,
    pub(super) cold: ColdSpells,
    /// Which servers this entry prefers, so that others find theirs free.
    pub(super) preferences: Preferences,
    /// Requests for which a server's limit left no room.
    pub(super) held: u64,
    /// Whether this process stops and queues no requests.
    pub(super) is_draining: bool,
}

impl Core {
    /// Creates the state of a process that started at `started`.
    #[must_use]
    pub fn new(settings: CoreSettings, started: MonoTime) -> Self {
        let suspects = SuspectRegistry::of(&settings.node);
        let preferences = Preferences::new(&settings.node);
        Self {
            settings,
            started,
            table: None,
            roster: Roster::default(),
            health: BTreeMap::new(),
            notices: Notices::default(),
            has_delisted: false,
            ledger: Ledger::default(),
            queue: Queue::default(),
            budgets: BTreeMap::new(),
            suspects,
            sound_parts: SoundParts::default(),
            progressed: BTreeSet::new(),
            queued_content: BTreeMap::new(),
            peers: BTreeSet::new(),
            has_peers_listed: false,
            paces: SendPaces::default(),
            cold: ColdSpells::default(),
            preferences,
            held: 0,
            is_draining: false,
        }
    }

    /// Replaces the configuration table.
    pub fn configure(&mut self, now: MonoTime, table: Rc<Table>) {
        self.table = Some(table);
        self.refresh_all_limits(now);
    }

    /// Records that a request's first token arrived.
    pub fn mark_prefilled(&mut self, job: JobId) {
        self.ledger.mark_prefilled(job);
    }

    /// Releases a request's assignments and records its outcome.
    pub fn finish(
        &mut self,
        now: MonoTime,
        job: JobId,
        server: &ServerId,
        prints: impl Into<Prints>,
        outcome: Outcome,
    ) {
        let prints = prints.into();
        self.ledger.release(job);
        let has_progressed = self.progressed.remove(&job);
        let health = self.health.entry(server.clone()).or_default();
        match outcome {
            Outcome::Served => {
                health.record_success();
                self.clear(now, prints.request);
                self.record_sound_parts(now, &prints);
            }
            Outcome::Ended => health.record_success(),
            Outcome::Unreachable => health.record_unreachable(now),
            Outcome::Faulty | Outcome::Malformed | Outcome::Silent | Outcome::Broken => {
                if health.record_failure(now) {
                    crate::event!(
                        warn,
                        "server_passed_over",
                        server = server,
                        outcome = outcome
                    );
                }
            }
            Outcome::Refused | Outcome::Abandoned => {}
        }
        match outcome {
            Outcome::Broken => self.record_crash(now, server, &prints, has_progressed),
            Outcome::Served | Outcome::Faulty => self.record_alive(now, server),
            _ => {}
        }
    }

    /// Quarantines a backend server that failed as a helper.
    pub fn quarantine(&mut self, now: MonoTime, server: &ServerId) {
        self.health
            .entry(server.clone())
            .or_default()
            .record_unreachable(now);
    }

    /// Takes one retry from a service's budget; returns whether it was granted.
    pub fn take_retry(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let entries = self.entry_count(now);
        self.budget(service).take(now, entries)
    }

    /// Whether any incarnation of a backend server is listed.
    pub(super) fn lists_any(&self, id: &ServerId) -> bool {
        self.roster.get(id).is_some()
    }

    /// Whether an incarnation of a backend server is listed.
    pub(super) fn lists(&self, id: &ServerId, started: Option<Incarnation>) -> bool {
        self.roster.lists(id, started)
    }

    /// The incarnation of a backend server that was removed, if it is known.
    pub(super) fn removed(&self, id: &ServerId) -> Option<Incarnation> {
        self.roster.removed(id)
    }

    /// Gives a retry that was granted at `taken` back to a service's budget.
    pub fn give_back(&mut self, service: &ServiceId, taken: MonoTime) {
        self.budget(service).give_back(taken);
    }

    /// Drops expired suspects, rows of load and servers; returns the dropped servers.
    pub fn expire(&mut self, now: MonoTime) -> Vec<ServerId> {
        self.suspects.set_entries(self.entry_count(now));
        self.suspects.expire(now);
        self.sound_parts.expire(now);
        self.ledger.expire(now);
        let gone = self.roster.expire(now);
        let roster = &self.roster;
        let lapsed = self
            .notices
            .expire(now, |id, started| roster.lists(id, started));
        for server in lapsed {
            crate::event!(info, "server_limit_lapsed", server = server);
            self.paces.lift(&server);
        }
        self.paces.expire(now);
        self.notices.expire_delistings(now, roster.is_readable());
        for server in self.cold.expire(now) {
            crate::event!(info, "server_warm", server = server);
            self.refresh_limit(now, &server);
        }
        self.note_removals(now, &gone);
        for server in &gone {
            self.preferences.remove(&server.id);
        }
        gone.iter().map(|server| server.id.clone()).collect()
    }

    /// Whether servers left the list, or evacuations changed, since the last call.
    pub fn take_delisted(&mut self) -> bool {
        std::mem::take(&mut self.has_delisted)
    }

    /// Whether requests are queued.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// The number of servers, live peers, queued requests and servers with a limit.
    #[must_use]
    pub fn counts(&self, now: MonoTime) -> Counts {
        Counts {
            servers: self.roster.len(),
            peers: self.ledger.live_peers(now),
            waiting: self.queue.len(),
            limited: self.paces.limited().count(),
            cold: self.cold.len(),
            evacuated: self.notices.evacuated().len(),
        }
    }

    pub(super) fn entry_count(&self, now: MonoTime) -> usize {
        self.peers.len().max(self.ledger.live_peers(now)) + 1
    }

    pub(super) fn budget(&mut self, service: &ServiceId) -> &mut Budget {
        let (limits, started) = (self.settings.budget.clone(), self.started);
        let new = || Budget::new(limits, started);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    pub(super) fn cold_limit(&self, service: &ServiceId) -> Option<ColdLimit> {
        self.table.as_ref()?.service(service)?.cold
    }

    pub(super) fn engine(&self, service: &ServiceId) -> Option<&Engine> {
        let service = self.table.as_ref()?.service(service)?;
        service.engine.as_ref()
    }
}
