//! Requests that wait at the entry for room.

use super::Job;
use super::limits::LENGTH;
use crate::direct::JobId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Job>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let place = self.waiting.iter().position(|job| job.id == id)?;
        Some(self.waiting.swap_remove(place))
    }

    /// The requests in the order in which they should go: those that can still meet their aim first, of these
    /// the higher rank and then the one whose aim ends first, where a long prompt counts as later; then the
    /// others as they came.
    #[must_use]
    pub fn order(&self, now: MonoTime) -> Vec<Job> {
        let mut order = self.waiting.clone();
        order.sort_by_key(|job| place(now, job));
        order
    }

    /// Whether a request waits that go before `job`.
    #[must_use]
    pub fn has_before(&self, now: MonoTime, job: &Job) -> bool {
        self.before(now, job).next().is_some()
    }

    /// The waiting requests for the same service that go before `job`.
    pub fn before<'a>(&'a self, now: MonoTime, job: &'a Job) -> impl Iterator<Item = &'a Job> {
        let own = place(now, job);
        let same = move |other: &&Job| other.service == job.service;
        self.waiting
            .iter()
            .filter(same)
            .filter(move |other| place(now, other) <= own)
    }

    /// All waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter()
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// What decides about a request's turn; the least goes first.
fn place(now: MonoTime, job: &Job) -> (bool, u8, MonoTime) {
    let ends = job.aim_ends();
    if ends <= now {
        return (true, job.priority, job.arrived);
    }
    let length = Millis(job.prompt.get() / LENGTH);
    (false, job.priority, ends.after(length))
}
