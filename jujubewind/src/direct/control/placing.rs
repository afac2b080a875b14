//! Placement decisions of the control task.

use std::rc::Rc;

use super::Core;
use super::Verdict;
use super::candidate_set::CandidateSet;
use crate::direct::Assignment;
use crate::direct::Candidate;
use crate::direct::EnginePlan;
use crate::direct::Job;
use crate::direct::Placement;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::Spread;
use crate::direct::place_plain;
use crate::direct::plan;
use crate::pace::Share;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

impl Core {
    /// The servers that may take a request; quarantined ones only if there are no others. A server
    /// that asked for a pause gets nothing, and one with a limit no more than this entry's share.
    pub(super) fn candidates(&self, now: MonoTime, job: &Job) -> CandidateSet {
        let spread = self.spread(now, &job.service);
        let may_send = |server: &&Rc<Server>| self.notices.allow(now, server);
        let candidate = |server: &Rc<Server>| Candidate {
            server: server.clone(),
            load: self.ledger.load(now, &server.id),
            strained: self.notices.is_strained(now, &server.id),
            may_help: self.may_help(&server.id),
            spread: spread.cost(self.preferences.of(&server.id)),
        };
        let ready = self.permitted(now, job).filter(may_send);
        let mut candidates: Vec<Candidate> = ready.map(candidate).collect();
        let is_usable = |candidate: &Candidate| {
            let health = self.health.get(&candidate.server.id);
            health.is_none_or(|health| health.is_usable(now))
        };
        if candidates.iter().any(is_usable) {
            candidates.retain(is_usable);
        }
        CandidateSet::new(now, candidates, &self.paces)
    }

    /// Whether a server may prefill parts of prompts; one with a small limit spends it on prompts of
    /// its own.
    fn may_help(&self, server: &ServerId) -> bool {
        let carries_orders = |share: Share| share.carries_orders();
        !self.paces.is_limited(server) || self.paces.share(server).is_some_and(carries_orders)
    }

    /// The costs of servers that others prefer, by the work that each server has probably been sent by other
    /// entries and that does not show here yet.
    fn spread(&self, now: MonoTime, service: &ServiceId) -> Spread {
        let servers = u64::try_from(self.accepting(now, service).count()).unwrap_or(u64::MAX);
        let unseen = Work(self.ledger.unseen(now).get() / servers.max(1));
        Spread::new(unseen)
    }

    /// The placement of a request, if it should be sent now.
    ///
    /// A placement that disrupts other requests is allowed only up to a share of the request's
    /// value, which grows to the full value as its latency deadline approaches. Once the latency
    /// target can no longer be met, the request may disrupt a fixed part of its value.
    pub(super) fn place(&self, now: MonoTime, set: &CandidateSet, job: &Job) -> Option<Placement> {
        let domain = &self.settings.domain;
        let engine = self.engine(&job.service);
        let Some(engine) = engine.filter(|_| job.prompt > Tokens::ZERO) else {
            return self.place_plain(set, job);
        };
        let plan = EnginePlan::new(engine, job, set.candidates(), domain);
        if let Some(placement) = plan.undisruptive() {
            return Some(placement);
        }
        let left = Work::between(
            now,
            job.latency_deadline().min(job.first_token_deadline(engine)),
        );
        let slack = left.saturating_sub(plan.earliest_first_token()?);
        if slack == Work::ZERO {
            let left = Work::between(now, job.first_token_deadline(engine));
            return plan.least_disruptive(left, job.value() / plan::LATE_VALUE_DIVISOR);
        }
        let waited = Work::between(job.arrived, now);
        let available = waited.saturating_add(slack).get();
        let share = waited
            .get()
            .saturating_mul(1_000 - plan::INITIAL_DISRUPTION_PERMILLE)
            / available;
        let max_disrupted = job.value() * (plan::INITIAL_DISRUPTION_PERMILLE + share) / 1_000;
        plan.least_disruptive(left, max_disrupted)
    }

    /// Whether the fleet can prefill the prompt within its latency target without blocking all
    /// other requests.
    pub(super) fn fits_fleet(&self, set: &CandidateSet, job: &Job) -> bool {
        let Some(engine) = self.engine(&job.service) else {
            return true;
        };
        let plan = EnginePlan::new(engine, job, set.candidates(), &self.settings.domain);
        plan.fits_fleet(job.latency_target, set.held())
    }

    /// Whether every placement now would miss the request's first token deadline.
    pub(super) fn is_infeasible(&self, now: MonoTime, set: &CandidateSet, job: &Job) -> bool {
        let engine = self.engine(&job.service);
        let Some(engine) = engine.filter(|_| job.prompt > Tokens::ZERO) else {
            return false;
        };
        let plan = EnginePlan::new(engine, job, set.candidates(), &self.settings.domain);
        let left = Work::between(now, job.first_token_deadline(engine));
        plan.earliest_first_token()
            .is_some_and(|earliest| earliest > left)
    }

    /// Records a request's assignments to the servers of its placement.
    pub(super) fn assign(
        &mut self,
        now: MonoTime,
        set: &mut CandidateSet,
        job: &Job,
        placement: Placement,
    ) -> Verdict {
        let assignment = Assignment {
            job: job.id,
            prefill: placement.part,
            started: now,
            prefill_due: self.prefill_due(now, &placement.primary.id, placement.part),
            memory: job.prompt.saturating_add(job.output),
            is_primary: true,
            max_gap: job.max_gap,
            value: job.value(),
        };
        let mut aside = Tokens::ZERO;
        for helper in &placement.helpers {
            let part = Assignment {
                is_primary: false,
                memory: helper.memory,
                prefill_due: self.prefill_due(now, &helper.server.id, placement.part),
                max_gap: None,
                ..assignment.clone()
            };
            aside = aside.saturating_add(helper.memory);
            self.ledger.assign(&helper.server.id, part);
            self.paces.record(now, &helper.server.id);
        }
        let memory = assignment.memory.saturating_sub(aside);
        let assignment = Assignment {
            memory,
            ..assignment
        };
        self.ledger.assign(&placement.primary.id, assignment);
        self.paces.record(now, &placement.primary.id);
        set.refresh(now, &self.ledger, &placement);
        set.hold(now, &self.paces);
        Verdict::Place(placement)
    }

    /// When a part that is sent to a server now should be prefilled, after the server's backlog.
    fn prefill_due(&self, now: MonoTime, server: &ServerId, part: Work) -> MonoTime {
        let ahead = self.ledger.load(now, server).backlog;
        let total = ahead.saturating_add(part);
        now.after(total.scaled(plan::SHARED_PREFILL_PERMILLE).millis())
    }

    /// The estimated queueing delay: the mean backlog of the least loaded engines, as many as would
    /// prefill the prompt, plus the queued prompts ahead of it divided among all candidates. Other
    /// entries are assumed to have as many prompts queued.
    pub(super) fn estimated_wait(&self, now: MonoTime, set: &CandidateSet, job: &Job) -> Millis {
        let Some(engine) = self.engine(&job.service) else {
            return Millis::ZERO;
        };
        let domain = &self.settings.domain;
        let plan = EnginePlan::new(engine, job, set.candidates(), domain);
        let ahead = self.queue.before(now, job);
        let waiting: Work = ahead.map(|other| engine.prefill_time(other.prompt)).sum();
        let entries = u64::try_from(self.entry_count(now)).unwrap_or(u64::MAX);
        let count = u64::try_from(set.candidates().len().max(1)).unwrap_or(u64::MAX);
        let share = Work(waiting.get().saturating_mul(entries) / count);
        plan.mean_wait().saturating_add(share).millis()
    }

    /// Places a call to a plain service, on a server that has not failed it if there is one.
    fn place_plain(&self, set: &CandidateSet, job: &Job) -> Option<Placement> {
        let not_excluded = |candidate: &&Candidate| !job.excluded.contains(&candidate.server.id);
        let others: Vec<Candidate> = set
            .candidates()
            .iter()
            .filter(not_excluded)
            .cloned()
            .collect();
        let domain = &self.settings.domain;
        if others.is_empty() {
            return place_plain(set.candidates(), domain);
        }
        place_plain(&others, domain)
    }
}
