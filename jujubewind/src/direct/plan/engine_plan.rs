//! Placing a prompt on engines.

use super::Candidate;
use super::Helper;
use super::Job;
use super::Placement;
use super::limits::FAR_COST;
use super::limits::LEAST_PART;
use super::limits::MOST_HELPERS;
use super::limits::PART_COST;
use super::limits::TICKET_READ;
use super::limits::TICKET_SHARE;
use super::limits::TIGHT_COST;
use super::limits::TIGHT_PAUSE;
use crate::direct::Engine;
use crate::scheduler::Work;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::Tokens;

/// One prompt and the engines that it may go to.
#[derive(Debug)]
pub struct EnginePlan<'a> {
    engine: &'a Engine,
    job: &'a Job,
    read: Work,
    /// Those with the least to wait for come first.
    order: Vec<Scored<'a>>,
}

/// A candidate with what decides about it.
#[derive(Clone, Copy, Debug)]
struct Scored<'a> {
    candidate: &'a Candidate,
    room: Work,
    wait: Work,
    /// What a part there costs besides the wait.
    extra: Work,
}

/// A set of engines and what it costs.
#[derive(Debug)]
struct Set<'a> {
    primary: Scored<'a>,
    others: Vec<Scored<'a>>,
    /// Memory set aside at each of the others.
    aside: Vec<Tokens>,
    part: Work,
    first_token: Work,
    cost: Work,
    /// The worth of what is disturbed.
    disturbed: u64,
}

impl<'a> EnginePlan<'a> {
    /// Weighs the candidates.
    #[must_use]
    pub fn new(
        engine: &'a Engine,
        job: &'a Job,
        candidates: &'a [Candidate],
        domain: &DomainId,
    ) -> Self {
        let score = |candidate| Scored::new(engine, job, candidate, domain);
        let avoided = |candidate: &&Candidate| job.excluded.contains(&candidate.server.id);
        let fresh = candidates.iter().filter(|candidate| !avoided(candidate));
        let mut order: Vec<Scored<'a>> = fresh.map(score).collect();
        if order.is_empty() {
            order = candidates.iter().map(score).collect();
        }
        order.sort_by_key(|scored| scored.wait.saturating_add(scored.extra));
        Self {
            engine,
            job,
            read: engine.prefill_time(job.prompt),
            order,
        }
    }

    /// The soonest placement that disturbs nobody.
    #[must_use]
    pub fn calm(&self) -> Option<Placement> {
        let fits = |scored: &Scored<'a>, part: Work| scored.room >= part;
        let best = self.sets(fits).min_by_key(|set| set.cost)?;
        Some(best.placement())
    }

    /// The soonest first token that any placement brings, whatever it disturbs.
    #[must_use]
    pub fn soonest(&self) -> Option<Work> {
        self.sets(|_, _| true).map(|set| set.first_token).min()
    }

    /// The placement that disturbs least, and less than `worth`, of those that bring the first token within
    /// `left`.
    #[must_use]
    pub fn forced(&self, left: Work, worth: u64) -> Option<Placement> {
        let helps = |set: &Set<'a>| set.first_token <= left && set.disturbed < worth;
        let sets = self.sets(|_, _| true).filter(helps);
        let best = sets.min_by_key(|set| (set.disturbed, set.cost))?;
        Some(best.placement())
    }

    /// The mean time until the engines are free that would read the prompt, those with the least to read.
    #[must_use]
    pub fn free_after(&self) -> Work {
        let mut waits: Vec<Work> = self.order.iter().map(|scored| scored.wait).collect();
        waits.sort_unstable();
        waits.truncate(self.most_parts());
        let count = u64::try_from(waits.len().max(1)).unwrap_or(u64::MAX);
        Work(waits.into_iter().sum::<Work>().get() / count)
    }

    /// Whether half of the engines could read the prompt within `aim` if they did nothing else.
    ///
    /// A longer prompt would hold up everyone else for longer than its own caller aims to wait.
    #[must_use]
    pub fn is_bearable(&self, latency_target: Millis) -> bool {
        let engines = u64::try_from(self.order.len().div_ceil(2)).unwrap_or(u64::MAX);
        self.read.get()
            <= Work::from_millis(latency_target)
                .get()
                .saturating_mul(engines)
    }

    /// The sets of engines of those that `fits` allows, one for each number of parts.
    fn sets(&self, fits: impl Fn(&Scored<'a>, Work) -> bool) -> impl Iterator<Item = Set<'a>> {
        (1..=self.most_parts()).filter_map(move |parts| self.set(parts, &fits))
    }

    fn most_parts(&self) -> usize {
        let worth = self
            .read
            .get()
            .div_ceil(Work::from_millis(LEAST_PART).get().max(1));
        let worth = usize::try_from(worth).unwrap_or(usize::MAX);
        worth
            .clamp(1, MOST_HELPERS + 1)
            .min(self.order.len().max(1))
    }

    /// The first engines in order that make a set of `parts`.
    fn set(&self, parts: usize, fits: &impl Fn(&Scored<'a>, Work) -> bool) -> Option<Set<'a>> {
        let count = u64::try_from(parts).unwrap_or(u64::MAX);
        let part = Work(self.read.get() / count);
        let memory = self.job.prompt.saturating_add(self.job.output);
        let able = || self.order.iter().filter(|scored| fits(scored, part));
        let primary = self.primary(able(), memory)?;
        let rest = able().filter(|scored| !scored.is(&primary));
        let others: Vec<Scored<'a>> = rest.take(parts - 1).copied().collect();
        if others.len() + 1 < parts {
            return None;
        }
        let aside = self.aside(&primary, &others, memory)?;
        let all = || others.iter().chain([&primary]);
        let wait = all().map(|scored| scored.wait).max().unwrap_or_default();
        let first_token = wait.saturating_add(part);
        let held = aside.iter().any(|memory| *memory > Tokens::ZERO);
        if held && first_token > Work::from_millis(TICKET_READ) {
            return None;
        }
        let extra: Work = all().map(|scored| scored.extra).sum();
        let cost = first_token
            .saturating_add(Work(Work::from_millis(PART_COST).get() * count))
            .saturating_add(extra);
        let over = all().filter(|scored| scored.room < part);
        let disturbed = over.map(|scored| scored.candidate.load.value).sum();
        Some(Set {
            primary,
            others,
            aside,
            part,
            first_token,
            cost,
            disturbed,
        })
    }
}

/// How engines hold a prompt.
impl<'a> EnginePlan<'a> {
    /// The first engine that can hold all of it, else the one with the most memory.
    fn primary<'b>(
        &self,
        able: impl Iterator<Item = &'b Scored<'a>> + Clone,
        memory: Tokens,
    ) -> Option<Scored<'a>>
    where
        'a: 'b,
    {
        let with_slot = able.filter(|scored| scored.candidate.has_slot(self.engine));
        let free = |scored: &&Scored<'a>| scored.candidate.free(self.engine);
        let whole = with_slot.clone().find(|scored| free(scored) >= memory);
        whole.or_else(|| with_slot.max_by_key(free)).copied()
    }

    /// What the others set aside so that the lead holds the rest; none if all together cannot.
    fn aside(
        &self,
        primary: &Scored<'a>,
        others: &[Scored<'a>],
        memory: Tokens,
    ) -> Option<Vec<Tokens>> {
        let mut rest = memory.saturating_sub(primary.candidate.free(self.engine));
        if rest > Tokens::ZERO {
            let own = Tokens(primary.candidate.free(self.engine).get() * TICKET_SHARE / 1_000);
            rest = memory.saturating_sub(own);
        }
        let mut aside = Vec::with_capacity(others.len());
        for other in others {
            let free = other.candidate.free(self.engine).get() * TICKET_SHARE / 1_000;
            let taken = rest.min(Tokens(free));
            rest = rest.saturating_sub(taken);
            aside.push(taken);
        }
        (rest == Tokens::ZERO).then_some(aside)
    }
}

impl<'a> Scored<'a> {
    fn new(engine: &Engine, job: &Job, candidate: &'a Candidate, domain: &DomainId) -> Self {
        let pass = candidate.pass(engine);
        let tight = candidate.is_tight(TIGHT_PAUSE);
        let makes_tight = job.max_gap.is_some_and(|pause| pause <= TIGHT_PAUSE);
        let changes = tight != makes_tight;
        let mut extra = if changes {
            Work::from_millis(TIGHT_COST)
        } else {
            Work::ZERO
        };
        if makes_tight {
            extra = extra.saturating_add(candidate.packing(engine));
        }
        if candidate.server.domain != *domain {
            extra = extra.saturating_add(Work::from_millis(FAR_COST));
        }
        Self {
            candidate,
            room: candidate.room(engine),
            wait: candidate.load.backlog.saturating_add(Work(pass.get() / 2)),
            extra,
        }
    }

    fn is(&self, other: &Self) -> bool {
        self.candidate.server.id == other.candidate.server.id
    }
}

impl Set<'_> {
    fn placement(self) -> Placement {
        let helpers = self
            .others
            .iter()
            .zip(self.aside)
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
