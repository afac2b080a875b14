//! The decisions of the control task, without sockets or clocks.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::Counts;
use super::FleetChange;
use super::Outcome;
use super::Verdict;
use super::field::Field;
use crate::conviction::Fingerprint;
use crate::conviction::Suspect;
use crate::conviction::SuspectRegistry;
use crate::direct::Budget;
use crate::direct::BudgetLimits;
use crate::direct::Digest;
use crate::direct::Engine;
use crate::direct::Health;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::Ledger;
use crate::direct::Queue;
use crate::direct::Roster;
use crate::direct::Row;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::Table;
use crate::direct::plan;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::MonoTime;

/// What the decisions need to know from the start.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// This entry's failure domain.
    pub domain: DomainId,
    /// The shared retry budget of each service.
    pub budget: BudgetLimits,
}

/// The entry's shared state.
#[derive(Debug)]
pub struct Core {
    pub(super) settings: CoreSettings,
    started: MonoTime,
    table: Option<Rc<Table>>,
    pub(super) roster: Roster,
    pub(super) health: BTreeMap<ServerId, Health>,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    budgets: BTreeMap<ServiceId, Budget>,
    suspects: SuspectRegistry,
    peers: usize,
}

impl Core {
    /// The state of a process that started at `started`.
    #[must_use]
    pub fn new(settings: CoreSettings, started: MonoTime) -> Self {
        Self {
            settings,
            started,
            table: None,
            roster: Roster::default(),
            health: BTreeMap::new(),
            ledger: Ledger::default(),
            queue: Queue::default(),
            budgets: BTreeMap::new(),
            suspects: SuspectRegistry::default(),
            peers: 0,
        }
    }

    /// Puts a table in force.
    pub fn configure(&mut self, table: Rc<Table>) {
        self.table = Some(table);
    }

    /// Takes in news of backend servers; returns those whose connections are of no use any more.
    pub fn fleet(&mut self, now: MonoTime, news: FleetChange) -> Vec<ServerId> {
        let mut gone = Vec::new();
        match news {
            FleetChange::Servers(servers) => {
                self.roster.replaced(now, servers);
                self.health.retain(|id, _| self.roster.get(id).is_some());
            }
            FleetChange::Listed(server) => {
                let id = server.id.clone();
                if self.roster.listed(server) {
                    self.health.remove(&id);
                    gone.push(id);
                }
            }
            FleetChange::Removed(id) => {
                self.roster.removed(now, &id);
                if self.roster.get(&id).is_none() {
                    self.health.remove(&id);
                    gone.push(id);
                }
            }
            FleetChange::OutageStarted => self.roster.outage_began(now),
            FleetChange::OutageEnded => self.roster.outage_ended(now),
            FleetChange::Peers(peers) => self.peers = peers.len(),
            FleetChange::PeerListed(..) => self.peers += 1,
            FleetChange::PeerRemoved(peer) => {
                self.peers = self.peers.saturating_sub(1);
                self.ledger.forget(&peer);
            }
        }
        gone
    }

    /// A request asks for a backend server for the first time: it is counted, and refused at once if it
    /// cannot be served.
    pub fn arrive(&mut self, now: MonoTime, job: Job, print: Fingerprint) -> Option<Verdict> {
        self.budget(&job.service).request(now);
        if let crate::conviction::Verdict::Refuse(refusal) = self.suspects.verdict(now, print) {
            return Some(Verdict::Refuse(refusal));
        }
        self.ask(now, job)
    }

    /// A request asks for a backend server; `None` if it waits.
    ///
    /// Those that wait and should go before it are looked at first, by the next [`Core::poll`].
    pub fn ask(&mut self, now: MonoTime, job: Job) -> Option<Verdict> {
        if self.roster.ready(&job.service).next().is_none() {
            return Some(refuse(Reason::NoBackend, plan::LEAST_RETRY));
        }
        let mut field = Field::new(self.candidates(now, &job.service));
        if !self.is_bearable(&field, &job) {
            return Some(refuse(Reason::PromptTooLong, plan::LONGEST_RETRY));
        }
        if !self.queue.has_before(now, &job)
            && let Some(placement) = self.place(now, &field, &job)
        {
            return Some(self.go(now, &mut field, &job, placement));
        }
        let wait = self.wait(now, &field, &job);
        let retry = wait.clamp(plan::LEAST_RETRY, plan::LONGEST_RETRY);
        if now.after(wait) >= job.given_up() {
            return Some(refuse(Reason::QueueFull, retry));
        }
        if self.is_hopeless(now, &field, &job) {
            return Some(refuse(Reason::NoTime, retry));
        }
        self.queue.push(job);
        None
    }

    /// A request is withdrawn before it was sent.
    pub fn withdraw(&mut self, id: JobId) {
        self.queue.remove(id);
        self.ledger.leave(id);
    }

    /// Looks at the waiting requests again.
    pub fn poll(&mut self, now: MonoTime) -> Vec<(JobId, Verdict)> {
        let mut verdicts = Vec::new();
        let mut fields: BTreeMap<ServiceId, Field> = BTreeMap::new();
        for job in self.queue.order(now) {
            let field = fields
                .entry(job.service.clone())
                .or_insert_with(|| Field::new(self.candidates(now, &job.service)));
            let verdict = if let Some(placement) = self.place(now, field, &job) {
                self.go(now, field, &job, placement)
            } else if now >= job.given_up() || self.is_hopeless(now, field, &job) {
                refuse(Reason::NoTime, plan::LEAST_RETRY)
            } else {
                continue;
            };
            self.queue.remove(job.id);
            verdicts.push((job.id, verdict));
        }
        verdicts
    }

    /// A request's first token came.
    pub fn mark_prefilled(&mut self, job: JobId) {
        self.ledger.mark_prefilled(job);
    }

    /// A request's stay at a backend server ended.
    pub fn finish(
        &mut self,
        now: MonoTime,
        job: JobId,
        server: &ServerId,
        print: Fingerprint,
        outcome: Outcome,
    ) {
        self.ledger.leave(job);
        let health = self.health.entry(server.clone()).or_default();
        match outcome {
            Outcome::Served => {
                health.succeeded();
                self.suspects.record_completion(print);
            }
            Outcome::Unreachable => health.unreachable(now),
            Outcome::Faulty | Outcome::Silent | Outcome::Broken => {
                let life = self.roster.life(server);
                if let Some(life) = life.filter(|_| outcome == Outcome::Broken) {
                    self.suspects.record_crash(now, print, &life, false);
                }
                if health.failed(now) {
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
    }

    /// A backend server failed as a helper: it is passed over for a while.
    pub fn pass_over(&mut self, now: MonoTime, server: &ServerId) {
        self.health
            .entry(server.clone())
            .or_default()
            .unreachable(now);
    }

    /// Takes one repeat of a service's budget.
    pub fn take_retry(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let entries = self.entries(now);
        self.budget(service).take(now, entries)
    }

    /// Takes in what a peer told.
    pub fn merge(&mut self, now: MonoTime, digest: Digest) {
        self.suspects.merge(now, &digest.suspects);
        self.ledger
            .merge(now, &digest.node, digest.stamp, digest.rows);
    }

    /// What peers should be told now: changed rows and suspects.
    pub fn news(&mut self, now: MonoTime, all: bool) -> (Vec<Row>, Vec<Suspect>) {
        let changed = self.ledger.take_changed(now);
        let rows = if all { self.ledger.rows(now) } else { changed };
        let entries = self.entries(now);
        let mut suspects = self.suspects.take_urgent(now, entries);
        if all {
            suspects.extend(self.suspects.take(now));
        }
        (rows, suspects)
    }

    /// Drops what is too old; returns servers that are gone.
    pub fn upkeep(&mut self, now: MonoTime) -> Vec<ServerId> {
        self.suspects.expire(now);
        self.roster.expire(now)
    }

    /// Whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// How many servers, peers and waiting requests there are.
    #[must_use]
    pub fn counts(&self, now: MonoTime) -> Counts {
        Counts {
            servers: self.roster.len(),
            peers: self.ledger.peers(now),
            waiting: self.queue.len(),
        }
    }

    pub(super) fn entries(&self, now: MonoTime) -> usize {
        self.peers.max(self.ledger.peers(now)) + 1
    }

    fn budget(&mut self, service: &ServiceId) -> &mut Budget {
        let (limits, started) = (self.settings.budget.clone(), self.started);
        let fresh = || Budget::new(limits, started);
        self.budgets.entry(service.clone()).or_insert_with(fresh)
    }

    pub(super) fn engine(&self, service: &ServiceId) -> Option<&Engine> {
        let service = self.table.as_ref()?.service(service)?;
        service.engine.as_ref()
    }
}

fn refuse(reason: Reason, retry: Millis) -> Verdict {
    Verdict::Refuse(Refusal { reason, retry })
}
