//! Placement of a prompt on one or more engines.

use super::Candidate;
use super::Helper;
use super::Job;
use super::Placement;
use super::limits::MAX_HELPERS;
use super::limits::MAX_RESERVED_PREFILL;
use super::limits::MIN_PART;
use super::limits::PART_COST;
use super::limits::RESERVABLE_PERMILLE;
use super::scored::Scored;
use crate::direct::Engine;
use crate::scheduler::Work;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::Tokens;

/// The possible placements of one prompt.
#[derive(Debug)]
pub struct EnginePlan<'a> {
    engine: &'a Engine,
    job: &'a Job,
    prefill: Work,
    /// The candidates, the preferred ones first.
    candidates: Vec<Scored<'a>>,
}

/// A set of engines and its cost.
#[derive(Debug)]
struct EngineSet<'a> {
    primary: Scored<'a>,
    helpers: Vec<Scored<'a>>,
    /// Memory reserved on each helper.
    reserved: Vec<Tokens>,
    part: Work,
    /// The predicted time to the first event.
    first_token: Work,
    cost: Work,
    /// The total value of requests on engines whose room the part exceeds.
    disrupted: u64,
}

impl<'a> EnginePlan<'a> {
    /// Scores the candidates; those that the job excludes are used only if there are no others.
    #[must_use]
    pub fn new(
        engine: &'a Engine,
        job: &'a Job,
        candidates: &'a [Candidate],
        domain: &DomainId,
    ) -> Self {
        let score = |candidate| Scored::new(engine, job, candidate, domain);
        let is_excluded = |candidate: &&Candidate| job.excluded.contains(&candidate.server.id);
        let eligible = candidates
            .iter()
            .filter(|candidate| !is_excluded(candidate));
        let mut scored: Vec<Scored<'a>> = eligible.map(score).collect();
        if scored.is_empty() {
            scored = candidates.iter().map(score).collect();
        }
        scored.sort_by_key(Scored::rank);
        Self {
            engine,
            job,
            prefill: engine.prefill_time(job.prompt),
            candidates: scored,
        }
    }

    /// The cheapest placement that keeps every request there within its `max_gap`.
    #[must_use]
    pub fn undisruptive(&self) -> Option<Placement> {
        let fits = |scored: &Scored<'a>, part: Work| scored.room >= part;
        let best = self.sets(fits).min_by_key(|set| set.cost)?;
        Some(best.placement())
    }

    /// The earliest possible first token, whatever the placement disrupts.
    #[must_use]
    pub fn earliest_first_token(&self) -> Option<Work> {
        self.sets(|_, _| true).map(|set| set.first_token).min()
    }

    /// The placement that disrupts the least value, of those that disrupt less than `max_disrupted`
    /// and produce the first token within `left`.
    #[must_use]
    pub fn least_disruptive(&self, left: Work, max_disrupted: u64) -> Option<Placement> {
        let is_allowed =
            |set: &EngineSet<'a>| set.first_token <= left && set.disrupted < max_disrupted;
        let sets = self.sets(|_, _| true).filter(is_allowed);
        let best = sets.min_by_key(|set| (set.disrupted, set.cost))?;
        Some(best.placement())
    }

    /// The mean wait on the least loaded engines, as many as would prefill the prompt.
    #[must_use]
    pub fn mean_wait(&self) -> Work {
        let mut waits: Vec<Work> = self.candidates.iter().map(|scored| scored.wait).collect();
        waits.sort_unstable();
        waits.truncate(self.max_parts());
        let count = u64::try_from(waits.len().max(1)).unwrap_or(u64::MAX);
        Work(waits.into_iter().sum::<Work>().get() / count)
    }

    /// Whether half of the engines, `others` that take no request now included, could prefill the
    /// prompt within `latency_target` if they did nothing else.
    ///
    /// A longer prompt would delay all other requests for longer than its own latency target.
    #[must_use]
    pub fn fits_fleet(&self, latency_target: Millis, others: usize) -> bool {
        let engines = self.candidates.len() + others;
        let engines = u64::try_from(engines.div_ceil(2)).unwrap_or(u64::MAX);
        self.prefill.get()
            <= Work::from_millis(latency_target)
                .get()
                .saturating_mul(engines)
    }

    /// The engine sets among candidates that `fits` accepts, one for each number of parts.
    fn sets(
        &self,
        fits: impl Fn(&Scored<'a>, Work) -> bool,
    ) -> impl Iterator<Item = EngineSet<'a>> {
        (1..=self.max_parts()).filter_map(move |parts| self.set(parts, &fits))
    }

    fn max_parts(&self) -> usize {
        let parts = self
            .prefill
            .get()
            .div_ceil(Work::from_millis(MIN_PART).get().max(1));
        let parts = usize::try_from(parts).unwrap_or(usize::MAX);
        parts
            .clamp(1, MAX_HELPERS + 1)
            .min(self.candidates.len().max(1))
    }

    /// The set of the best `parts` engines that can hold the prompt, if there is one.
    fn set(
        &self,
        parts: usize,
        fits: &impl Fn(&Scored<'a>, Work) -> bool,
    ) -> Option<EngineSet<'a>> {
        let count = u64::try_from(parts).unwrap_or(u64::MAX);
        let part = Work(self.prefill.get() / count);
        let memory = self.job.prompt.saturating_add(self.job.output);
        let eligible = || self.candidates.iter().filter(|scored| fits(scored, part));
        let primary = self.primary(eligible(), memory)?;
        let may_help = |scored: &&Scored<'a>| scored.candidate.may_help;
        let others = eligible().filter(may_help);
        let rest = others.filter(|scored| !scored.is_same_server(&primary));
        let helpers: Vec<Scored<'a>> = rest.take(parts - 1).copied().collect();
        if helpers.len() + 1 < parts {
            return None;
        }
        let reserved = self.reserve(&primary, &helpers, memory)?;
        let all = || helpers.iter().chain([&primary]);
        let wait = all().map(|scored| scored.wait).max().unwrap_or_default();
        let decoding = self.first_pass(&primary, count);
        let first_token = wait.saturating_add(part).saturating_add(decoding);
        let holds_memory = reserved.iter().any(|memory| *memory > Tokens::ZERO);
        if holds_memory && first_token > Work::from_millis(MAX_RESERVED_PREFILL) {
            return None;
        }
        let extra: Work = all().map(|scored| scored.extra).sum();
        let cost = first_token
            .saturating_add(Work(Work::from_millis(PART_COST).get() * count))
            .saturating_add(extra);
        let over = all().filter(|scored| scored.room < part);
        let disrupted = over.map(|scored| scored.candidate.load.value).sum();
        Some(EngineSet {
            primary,
            helpers,
            reserved,
            part,
            first_token,
            cost,
            disrupted,
        })
    }
}

/// How a set of engines stores a prompt and begins the answer.
impl<'a> EnginePlan<'a> {
    /// The duration of the pass after the prefill, which ends with the first event.
    fn first_pass(&self, primary: &Scored<'a>, parts: u64) -> Work {
        let load = &primary.candidate.load;
        let own = Tokens(self.job.prompt.get() / parts);
        let context = load.memory.saturating_add(own);
        self.engine.pass_time(load.requests + 1, context)
    }

    /// The first engine with room for the whole prompt, else the one with the most free memory.
    fn primary<'b>(
        &self,
        eligible: impl Iterator<Item = &'b Scored<'a>> + Clone,
        memory: Tokens,
    ) -> Option<Scored<'a>>
    where
        'a: 'b,
    {
        let with_slot = eligible.filter(|scored| scored.candidate.has_slot(self.engine));
        let free = |scored: &&Scored<'a>| scored.candidate.free_memory(self.engine);
        let whole = with_slot.clone().find(|scored| free(scored) >= memory);
        whole.or_else(|| with_slot.max_by_key(free)).copied()
    }

    /// The memory to reserve on each helper so that the primary holds the rest; `None` if it does
    /// not fit.
    fn reserve(
        &self,
        primary: &Scored<'a>,
        helpers: &[Scored<'a>],
        memory: Tokens,
    ) -> Option<Vec<Tokens>> {
        let mut rest = memory.saturating_sub(primary.candidate.free_memory(self.engine));
        if rest > Tokens::ZERO {
            let own = Tokens(
                primary.candidate.free_memory(self.engine).get() * RESERVABLE_PERMILLE / 1_000,
            );
            rest = memory.saturating_sub(own);
        }
        let mut reserved = Vec::with_capacity(helpers.len());
        for helper in helpers {
            let free =
                helper.candidate.free_memory(self.engine).get() * RESERVABLE_PERMILLE / 1_000;
            let taken = rest.min(Tokens(free));
            rest = rest.saturating_sub(taken);
            reserved.push(taken);
        }
        (rest == Tokens::ZERO).then_some(reserved)
    }
}

impl EngineSet<'_> {
    fn placement(self) -> Placement {
        let helpers = self
            .helpers
            .iter()
            .zip(self.reserved)
            .map(|(scored, memory)| Helper {
                server: scored.candidate.server.clone(),
                memory,
            });
        Placement {
            primary: self.primary.candidate.server.clone(),
            helpers: helpers.collect(),
            part: self.part,
            first_token: self.first_token,
        }
    }
}
