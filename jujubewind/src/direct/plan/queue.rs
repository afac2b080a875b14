//! Requests that are queued at the entry.

use super::Job;
use super::limits::TOKENS_PER_MILLI;
use crate::direct::JobId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The queued requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Job>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Removes a request.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let index = self.waiting.iter().position(|job| job.id == id)?;
        Some(self.waiting.swap_remove(index))
    }

    /// The requests in scheduling order: first those that can still meet their latency target, by
    /// priority and then by latency deadline, which is later for a long prompt; then the others, by
    /// priority and arrival.
    #[must_use]
    pub fn order(&self, now: MonoTime) -> Vec<Job> {
        let mut order = self.waiting.clone();
        order.sort_by_key(|job| sort_key(now, job));
        order
    }

    /// Whether queued requests for the same service go before `job`.
    #[must_use]
    pub fn has_before(&self, now: MonoTime, job: &Job) -> bool {
        self.before(now, job).next().is_some()
    }

    /// The queued requests for the same service that go before `job`.
    pub fn before<'a>(&'a self, now: MonoTime, job: &'a Job) -> impl Iterator<Item = &'a Job> {
        let own = sort_key(now, job);
        let same = move |other: &&Job| other.service == job.service;
        self.waiting
            .iter()
            .filter(same)
            .filter(move |other| sort_key(now, other) <= own)
    }

    /// All queued requests.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter()
    }

    /// The number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The sort key of a request; the least goes first.
fn sort_key(now: MonoTime, job: &Job) -> (bool, u8, MonoTime) {
    let deadline = job.latency_deadline();
    if deadline <= now {
        return (true, job.priority, job.arrived);
    }
    let delay = Millis(job.prompt.get() / TOKENS_PER_MILLI);
    (false, job.priority, deadline.after(delay))
}
