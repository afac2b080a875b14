//! A candidate for a prompt, with its scores.

use super::Candidate;
use super::Job;
use super::limits::CROSS_DOMAIN_COST;
use super::limits::LATENCY_SENSITIVE_GAP;
use super::limits::MIXING_COST;
use super::limits::STRAINED_COST;
use crate::direct::Engine;
use crate::scheduler::Work;
use crate::types::DomainId;

/// A candidate with its scores.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored<'a> {
    pub(super) candidate: &'a Candidate,
    /// Prefill work that disrupts no request there.
    pub(super) room: Work,
    /// The expected time before a new part starts.
    pub(super) wait: Work,
    /// The cost of a part there besides the wait.
    pub(super) extra: Work,
}

impl<'a> Scored<'a> {
    pub(super) fn new(
        engine: &Engine,
        job: &Job,
        candidate: &'a Candidate,
        domain: &DomainId,
    ) -> Self {
        let pass = candidate.pass(engine);
        let is_sensitive = candidate.is_latency_sensitive(LATENCY_SENSITIVE_GAP);
        let job_is_sensitive = job
            .max_gap
            .is_some_and(|max_gap| max_gap <= LATENCY_SENSITIVE_GAP);
        let mixes = is_sensitive != job_is_sensitive;
        let mut extra = if mixes {
            Work::from_millis(MIXING_COST)
        } else {
            Work::ZERO
        };
        if job_is_sensitive {
            extra = extra.saturating_add(candidate.packing(engine));
        }
        if candidate.strained {
            extra = extra.saturating_add(Work::from_millis(STRAINED_COST));
        }
        if candidate.server.domain != *domain {
            extra = extra.saturating_add(Work::from_millis(CROSS_DOMAIN_COST));
        }
        Self {
            candidate,
            room: candidate.room(engine),
            wait: candidate.load.backlog.saturating_add(Work(pass.get() / 2)),
            extra,
        }
    }

    /// The order of preference; the spread decides among servers that are nearly as good.
    pub(super) fn rank(&self) -> Work {
        let cost = self.wait.saturating_add(self.extra);
        cost.saturating_add(self.candidate.spread)
    }

    pub(super) fn is_same_server(&self, other: &Self) -> bool {
        self.candidate.server.id == other.candidate.server.id
    }
}
