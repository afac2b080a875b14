//! Admitting, queueing and refusing requests.

use std::collections::BTreeMap;

use super::Core;
use super::Verdict;
use super::candidate_set::CandidateSet;
use super::content::Content;
use crate::conviction::Prints;
use crate::direct::Domains;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::ServiceId;
use crate::direct::plan;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

impl Core {
    /// Admits a new request: counts it towards the retry budget, refuses it if its content is
    /// convicted of crashing servers, and otherwise places or queues it.
    pub fn admit(&mut self, now: MonoTime, job: Job, prints: impl Into<Prints>) -> Option<Verdict> {
        self.budget(&job.service).request(now);
        let content = Content {
            prints: prints.into(),
            is_retry: false,
        };
        self.admit_content(now, job, content)
    }

    /// Admits a request that was admitted before, unless a part of its prompt has been convicted
    /// since or it was a trial.
    pub fn readmit(&mut self, now: MonoTime, job: Job, prints: Prints) -> Option<Verdict> {
        let content = Content {
            prints,
            is_retry: true,
        };
        self.admit_content(now, job, content)
    }

    fn admit_content(&mut self, now: MonoTime, job: Job, content: Content) -> Option<Verdict> {
        let trial = match self.check_content(now, &content) {
            Ok(trial) => trial,
            Err(refusal) => return Some(Verdict::Refuse(refusal)),
        };
        let id = job.id;
        let verdict = self.place_or_queue(now, job);
        match &verdict {
            None => drop(self.queued_content.insert(id, content)),
            Some(verdict) => self.begin_trial(now, &content.prints, &trial, verdict),
        }
        verdict
    }

    /// Places, refuses or queues a request; `None` if it is queued.
    ///
    /// It is not placed ahead of queued requests that take precedence; the next [`Core::poll`]
    /// handles those first.
    pub fn place_or_queue(&mut self, now: MonoTime, job: Job) -> Option<Verdict> {
        if let Some(refusal) = self.unavailable(now, &job) {
            return Some(Verdict::Refuse(refusal));
        }
        if let Some(refusal) = self.hold(now, &job).refusal(now, &job) {
            self.held += 1;
            return Some(Verdict::Refuse(refusal));
        }
        let mut set = self.candidates(now, &job);
        self.held += u64::from(set.held() > 0);
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
        self.leave_queue(id);
        self.ledger.release(id);
    }

    /// Tries to place the queued requests; returns a verdict for each that leaves the queue.
    pub fn poll(&mut self, now: MonoTime) -> Vec<(JobId, Verdict)> {
        let mut verdicts = Vec::new();
        let mut sets: BTreeMap<(ServiceId, Option<Domains>), CandidateSet> = BTreeMap::new();
        for job in self.queue.order(now) {
            let set = sets
                .entry((job.service.clone(), job.domains.clone()))
                .or_insert_with(|| self.candidates(now, &job));
            let content = self.queued_content.get(&job.id);
            let trial = content.map_or(Ok(Vec::new()), |one| self.check_content(now, one));
            let verdict = if let Err(refusal) = &trial {
                Verdict::Refuse(refusal.clone())
            } else if let Some(refusal) = self.unavailable(now, &job) {
                Verdict::Refuse(refusal)
            } else if let Some(placement) = self.place(now, set, &job) {
                self.assign(now, set, &job, placement)
            } else if now >= job.queue_deadline() || self.is_infeasible(now, set, &job) {
                refuse(Reason::NoTime, plan::MIN_RETRY_DELAY)
            } else {
                continue;
            };
            if let Some(content) = self.leave_queue(job.id) {
                self.begin_trial(now, &content.prints, &trial.unwrap_or_default(), &verdict);
            }
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
            self.leave_queue(id);
            (id, refuse(Reason::Stopping, plan::MIN_RETRY_DELAY))
        };
        waiting.into_iter().map(refuse).collect()
    }

    fn leave_queue(&mut self, id: JobId) -> Option<Content> {
        self.queue.remove(id);
        self.queued_content.remove(&id)
    }
}

fn refuse(reason: Reason, retry: Millis) -> Verdict {
    Verdict::Refuse(Refusal { reason, retry })
}
