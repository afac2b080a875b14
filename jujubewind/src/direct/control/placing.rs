//! Where the control task places requests.

use std::rc::Rc;

use super::Core;
use super::Verdict;
use super::field::Field;
use crate::direct::Assignment;
use crate::direct::Candidate;
use crate::direct::EnginePlan;
use crate::direct::Job;
use crate::direct::Placement;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::place_plain;
use crate::direct::plan;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

impl Core {
    /// The servers that may take a request; those in quarantine only if there are no others.
    pub(super) fn candidates(&self, now: MonoTime, service: &ServiceId) -> Vec<Candidate> {
        let health = |id: &ServerId| self.health.get(id);
        let usable = |id: &ServerId| health(id).is_none_or(|health| health.is_usable(now));
        let candidate = |server: &Rc<Server>| Candidate {
            server: server.clone(),
            load: self.ledger.load(now, &server.id),
        };
        let listed = || self.roster.ready(service);
        let sound: Vec<Candidate> = listed()
            .filter(|server| usable(&server.id))
            .map(candidate)
            .collect();
        if sound.is_empty() {
            return listed().map(candidate).collect();
        }
        sound
    }

    /// A place for a request, if it should go now.
    pub(super) fn place(&self, now: MonoTime, field: &Field, job: &Job) -> Option<Placement> {
        let domain = &self.settings.domain;
        let engine = self.engine(&job.service);
        let Some(engine) = engine.filter(|_| job.prompt > Tokens::ZERO) else {
            return self.place_plain(field, job);
        };
        let plan = EnginePlan::new(engine, job, field.candidates(), domain);
        if let Some(placement) = plan.calm() {
            return Some(placement);
        }
        let left = Work::between(now, job.aim_ends().min(job.reading_ends(engine)));
        let slack = left.saturating_sub(plan.soonest()?);
        if slack == Work::ZERO {
            let left = Work::between(now, job.reading_ends(engine));
            return plan.forced(left, job.value() / plan::LATE_PART);
        }
        let waited = Work::between(job.arrived, now);
        let patience = waited.saturating_add(slack).get();
        let share = waited.get().saturating_mul(1_000 - plan::FORCE_SHARE) / patience;
        let worth = job.value() * (plan::FORCE_SHARE + share) / 1_000;
        plan.forced(left, worth)
    }

    /// Whether the fleet could read the prompt in time without stopping everyone else.
    pub(super) fn is_bearable(&self, field: &Field, job: &Job) -> bool {
        let Some(engine) = self.engine(&job.service) else {
            return true;
        };
        let plan = EnginePlan::new(engine, job, field.candidates(), &self.settings.domain);
        plan.is_bearable(job.latency_target)
    }

    /// Whether no placement would bring the first token in time to be of use, however long the request waits.
    pub(super) fn is_hopeless(&self, now: MonoTime, field: &Field, job: &Job) -> bool {
        let engine = self.engine(&job.service);
        let Some(engine) = engine.filter(|_| job.prompt > Tokens::ZERO) else {
            return false;
        };
        let plan = EnginePlan::new(engine, job, field.candidates(), &self.settings.domain);
        let left = Work::between(now, job.reading_ends(engine));
        plan.soonest().is_some_and(|soonest| soonest > left)
    }

    /// Takes a request's assignments at the servers of its placement.
    pub(super) fn go(
        &mut self,
        now: MonoTime,
        field: &mut Field,
        job: &Job,
        placement: Placement,
    ) -> Verdict {
        let assignment = Assignment {
            job: job.id,
            read: placement.part,
            since: now,
            until: self.read_by(now, &placement.primary.id, placement.part),
            memory: job.prompt.saturating_add(job.output),
            leads: true,
            max_gap: job.max_gap,
            value: job.value(),
        };
        let mut aside = Tokens::ZERO;
        for helper in &placement.helpers {
            let part = Assignment {
                leads: false,
                memory: helper.memory,
                until: self.read_by(now, &helper.server.id, placement.part),
                max_gap: None,
                ..assignment.clone()
            };
            aside = aside.saturating_add(helper.memory);
            self.ledger.take(&helper.server.id, part);
        }
        let memory = assignment.memory.saturating_sub(aside);
        let assignment = Assignment {
            memory,
            ..assignment
        };
        self.ledger.take(&placement.primary.id, assignment);
        field.refresh(now, &self.ledger, &placement);
        Verdict::Go(placement)
    }

    /// When a part that is sent to a server now should have been read, after what is to be read there before it.
    fn read_by(&self, now: MonoTime, server: &ServerId, part: Work) -> MonoTime {
        let ahead = self.ledger.load(now, server).backlog;
        let alone = ahead.saturating_add(part);
        now.after(alone.scaled(plan::READ_SLOWER).millis())
    }

    /// How long a request would wait: for what is read at the engines that are free first, as many as read it,
    /// and for its share of what goes before it.
    pub(super) fn wait(&self, now: MonoTime, field: &Field, job: &Job) -> Millis {
        let Some(engine) = self.engine(&job.service) else {
            return Millis::ZERO;
        };
        let domain = &self.settings.domain;
        let plan = EnginePlan::new(engine, job, field.candidates(), domain);
        let ahead = self.queue.before(now, job);
        let waiting: Work = ahead.map(|other| engine.prefill_time(other.prompt)).sum();
        let entries = u64::try_from(self.entries(now)).unwrap_or(u64::MAX);
        let count = u64::try_from(field.candidates().len().max(1)).unwrap_or(u64::MAX);
        let share = Work(waiting.get().saturating_mul(entries) / count);
        plan.free_after().saturating_add(share).millis()
    }

    /// A plain call avoids the servers that failed it, if there are others.
    fn place_plain(&self, field: &Field, job: &Job) -> Option<Placement> {
        let fresh = |candidate: &&Candidate| !job.excluded.contains(&candidate.server.id);
        let others: Vec<Candidate> = field.candidates().iter().filter(fresh).cloned().collect();
        let domain = &self.settings.domain;
        if others.is_empty() {
            return place_plain(field.candidates(), domain);
        }
        place_plain(&others, domain)
    }
}
