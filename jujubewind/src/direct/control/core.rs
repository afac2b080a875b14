//! The scheduling state machine of the control task, without I/O or clocks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use super::Counts;
use super::Outcome;
use super::Verdict;
use super::candidate_set::CandidateSet;
use crate::conviction::Fingerprint;
use crate::conviction::SuspectRegistry;
use crate::direct::Budget;
use crate::direct::BudgetLimits;
use crate::direct::Engine;
use crate::direct::Health;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::Ledger;
use crate::direct::Notices;
use crate::direct::Queue;
use crate::direct::Roster;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::Table;
use crate::direct::plan;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::DomainId;
use crate::types::Millis;
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
    /// Whether servers left the list since [`Core::take_delisted`] was called.
    pub(super) has_delisted: bool,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    budgets: BTreeMap<ServiceId, Budget>,
    pub(super) suspects: SuspectRegistry,
    pub(super) peers: BTreeSet<NodeId>,
    /// Whether this process stops and queues no requests.
    is_draining: bool,
}

impl Core {
    /// Creates the state of a process that started at `started`.
    #[must_use]
    pub fn new(settings: CoreSettings, started: MonoTime) -> Self {
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
            suspects: SuspectRegistry::default(),
            peers: BTreeSet::new(),
            is_draining: false,
        }
    }

    /// Replaces the configuration table.
    pub fn configure(&mut self, table: Rc<Table>) {
        self.table = Some(table);
    }

    /// Admits a new request: counts it towards the retry budget, refuses it if its content is
    /// convicted of crashing servers, and otherwise places or queues it.
    pub fn admit(&mut self, now: MonoTime, job: Job, fingerprint: Fingerprint) -> Option<Verdict> {
        self.budget(&job.service).request(now);
        if let crate::conviction::Verdict::Refuse(refusal) = self.suspects.verdict(now, fingerprint)
        {
            return Some(Verdict::Refuse(refusal));
        }
        self.place_or_queue(now, job)
    }

    /// Places, refuses or queues a request; `None` if it is queued.
    ///
    /// It is not placed ahead of queued requests that take precedence; the next [`Core::poll`]
    /// handles those first.
    pub fn place_or_queue(&mut self, now: MonoTime, job: Job) -> Option<Verdict> {
        if let Some(refusal) = self.unavailable(now, &job.service) {
            return Some(Verdict::Refuse(refusal));
        }
        let mut set = CandidateSet::new(self.candidates(now, &job.service));
        if !self.fits_fleet(&set, &job) {
            return Some(refuse(Reason::PromptTooLong, plan::MAX_RETRY_DELAY));
        }
        if !self.queue.has_before(now, &job)
            && let Some(placement) = self.place(now, &set, &job)
        {
            return Some(self.assign(now, &mut set, &job, placement));
        }
        if self.is_draining {
            return Some(refuse(Reason::Stopping, plan::MIN_RETRY_DELAY));
        }
        let wait = self.estimated_wait(now, &set, &job);
        let retry = wait.clamp(plan::MIN_RETRY_DELAY, plan::MAX_RETRY_DELAY);
        if now.after(wait) >= job.queue_deadline() {
            return Some(refuse(Reason::QueueFull, retry));
        }
        if self.is_infeasible(now, &set, &job) {
            return Some(refuse(Reason::NoTime, retry));
        }
        self.queue.push(job);
        None
    }

    /// Removes a request that was cancelled before it was sent, and releases its assignments.
    pub fn withdraw(&mut self, id: JobId) {
        self.queue.remove(id);
        self.ledger.release(id);
    }

    /// Tries to place the queued requests; returns a verdict for each that leaves the queue.
    pub fn poll(&mut self, now: MonoTime) -> Vec<(JobId, Verdict)> {
        let mut verdicts = Vec::new();
        let mut sets: BTreeMap<ServiceId, CandidateSet> = BTreeMap::new();
        for job in self.queue.order(now) {
            let set = sets
                .entry(job.service.clone())
                .or_insert_with(|| CandidateSet::new(self.candidates(now, &job.service)));
            let verdict = if let Some(refusal) = self.unavailable(now, &job.service) {
                Verdict::Refuse(refusal)
            } else if let Some(placement) = self.place(now, set, &job) {
                self.assign(now, set, &job, placement)
            } else if now >= job.queue_deadline() || self.is_infeasible(now, set, &job) {
                refuse(Reason::NoTime, plan::MIN_RETRY_DELAY)
            } else {
                continue;
            };
            self.queue.remove(job.id);
            verdicts.push((job.id, verdict));
        }
        verdicts
    }

    /// Refuses the queued requests, and from now on those that cannot be placed at once: a process
    /// that stops may end before their turn comes, and other entries can still serve them.
    pub fn drain(&mut self) -> Vec<(JobId, Verdict)> {
        self.is_draining = true;
        let waiting: Vec<JobId> = self.queue.iter().map(|job| job.id).collect();
        let refuse = |id| {
            self.queue.remove(id);
            (id, refuse(Reason::Stopping, plan::MIN_RETRY_DELAY))
        };
        waiting.into_iter().map(refuse).collect()
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
        fingerprint: Fingerprint,
        outcome: Outcome,
    ) {
        self.ledger.release(job);
        let health = self.health.entry(server.clone()).or_default();
        match outcome {
            Outcome::Served => {
                health.record_success();
                self.suspects.record_completion(fingerprint);
            }
            Outcome::Unreachable => health.record_unreachable(now),
            Outcome::Faulty | Outcome::Malformed | Outcome::Silent | Outcome::Broken => {
                let crash = self.roster.crash_identity(server);
                if let Some(crash) = crash.filter(|_| outcome == Outcome::Broken) {
                    self.suspects.record_crash(now, fingerprint, &crash, false);
                    let crashes = self.suspects.crashes(now, fingerprint);
                    crate::event!(
                        info,
                        "crash_recorded",
                        server = server,
                        print = fingerprint,
                        crashes = crashes
                    );
                }
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

    /// Drops expired suspects, rows of load and servers; returns the dropped servers.
    pub fn expire(&mut self, now: MonoTime) -> Vec<ServerId> {
        self.suspects.expire(now);
        self.ledger.expire(now);
        let gone = self.roster.expire(now);
        let roster = &self.roster;
        self.notices
            .expire(now, |id, started| roster.lists(id, started));
        self.notices.expire_delistings(now, roster.is_readable());
        self.note_removals(now, &gone);
        gone.iter().map(|server| server.id.clone()).collect()
    }

    /// Whether servers left the list since the last call.
    pub fn take_delisted(&mut self) -> bool {
        std::mem::take(&mut self.has_delisted)
    }

    /// Whether requests are queued.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// The number of servers, live peers and queued requests.
    #[must_use]
    pub fn counts(&self, now: MonoTime) -> Counts {
        Counts {
            servers: self.roster.len(),
            peers: self.ledger.live_peers(now),
            waiting: self.queue.len(),
        }
    }

    pub(super) fn entry_count(&self, now: MonoTime) -> usize {
        self.peers.len().max(self.ledger.live_peers(now)) + 1
    }

    fn budget(&mut self, service: &ServiceId) -> &mut Budget {
        let (limits, started) = (self.settings.budget.clone(), self.started);
        let new = || Budget::new(limits, started);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    pub(super) fn engine(&self, service: &ServiceId) -> Option<&Engine> {
        let service = self.table.as_ref()?.service(service)?;
        service.engine.as_ref()
    }
}

fn refuse(reason: Reason, retry: Millis) -> Verdict {
    Verdict::Refuse(Refusal { reason, retry })
}
