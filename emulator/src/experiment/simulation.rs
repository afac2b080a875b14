//! One run: events between clients, entries and agents.

use std::sync::Arc;

use jujubewind::refusal::Refusal;
use jujubewind::retry::RetryBudget;
use jujubewind::routing::Group;
use jujubewind::routing::Offer;
use jujubewind::scheduler::Job;
use jujubewind::types::AttemptId;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::NodeId;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Arrival;
use super::Outcome;
use super::Policy;
use super::Run;
use super::fleet;
use super::fleet::Fleet;
use super::links;
use super::links::DOMAINS;
use super::policy::CAPACITY;
use super::queue::Queue;
use super::worker::Notice;
use crate::engine::core::Prompt;

/// The time between two looks of an agent at its deadlines, and of an entry at its groups.
pub(super) const TICK: Millis = Millis(50);
/// Ticks between two load reports.
const REPORT: u64 = 20;
/// Attempt numbers of one request.
const ATTEMPTS: u128 = 16;

/// What happens at one time.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Ask(usize, Vec<usize>),
    Pick(usize, Vec<Offer>),
    Start(usize, usize),
    Refused(usize, Refusal),
    Step(usize),
    Tick(u64),
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) attempt: u128,
    pub(super) tried: Vec<NodeId>,
    pub(super) parts: u64,
    pub(super) group: Option<Group>,
}

/// The state of one run.
pub(super) struct Simulation<'a> {
    pub(super) run: &'a Run,
    pub(super) arrivals: &'a [Arrival],
    pub(super) fleet: Fleet,
    pub(super) queue: Queue<Event>,
    due: Vec<MonoTime>,
    pub(super) pending: Vec<Pending>,
    outcomes: Vec<Outcome>,
    budgets: Vec<RetryBudget>,
    pub(super) rng: StdRng,
    open: usize,
}

/// Runs `arrivals` to their ends and tells what became of each.
#[must_use]
pub fn simulate(run: &Run, arrivals: &[Arrival]) -> Vec<Outcome> {
    let mut simulation = Simulation::new(run, arrivals);
    while simulation.open > 0 {
        let Some((now, event)) = simulation.queue.pop() else {
            break;
        };
        simulation.handle(now, event);
    }
    simulation.outcomes
}

impl<'a> Simulation<'a> {
    fn new(run: &'a Run, arrivals: &'a [Arrival]) -> Self {
        let mut queue = Queue::new();
        for (id, arrival) in arrivals.iter().enumerate() {
            queue.push(links::to_client(arrival.at), Event::Arrive(id));
        }
        queue.push(MonoTime::ZERO, Event::Tick(0));
        Self {
            run,
            arrivals,
            fleet: Fleet::new(run.policy, run.site, &run.routing),
            queue,
            due: vec![MonoTime::NEVER; run.site.engines()],
            pending: (0..arrivals.len())
                .map(|id| pending(&arrivals[id]))
                .collect(),
            outcomes: vec![Outcome::default(); arrivals.len()],
            budgets: vec![RetryBudget::new(run.retry.clone()); DOMAINS],
            rng: StdRng::seed_from_u64(run.seed),
            open: arrivals.len(),
        }
    }

    fn handle(&mut self, now: MonoTime, event: Event) {
        match event {
            Event::Arrive(id) => {
                self.budgets[self.arrivals[id].entry].record_request();
                self.route(now, id);
            }
            Event::Ask(id, engines) => self.ask(now, id, &engines),
            Event::Pick(id, offers) => self.pick(now, id, &offers),
            Event::Start(id, engine) => self.start(now, id, engine),
            Event::Refused(id, refusal) => self.refused(now, id, &refusal),
            Event::Step(engine) => {
                if self.due[engine] == now {
                    self.due[engine] = MonoTime::NEVER;
                    self.advance(now, engine);
                }
            }
            Event::Tick(count) => self.tick(now, count),
        }
    }

    fn tick(&mut self, now: MonoTime, count: u64) {
        if count.is_multiple_of(REPORT) {
            self.fleet.report();
        }
        for engine in 0..self.fleet.workers.len() {
            self.advance(now, engine);
        }
        self.poll_groups(now);
        self.queue.push(now.after(TICK), Event::Tick(count + 1));
    }

    pub(super) fn start(&mut self, now: MonoTime, id: usize, engine: usize) {
        let arrival = &self.arrivals[id];
        let job = self.job(now, id, engine);
        let group = self.pending[id].group.is_some();
        let group = group.then(|| self.attempt(id).to_string());
        let blocks: Arc<[u64]> = arrival.blocks.clone();
        let answer = arrival.answer.get();
        let prompt = Prompt::synthetic(id as u64, arrival.prompt, blocks, answer);
        self.outcomes[id].attempts += 1;
        self.outcomes[id].parts = self.pending[id].parts;
        let started = self.fleet.workers[engine].start(now, job, prompt, group);
        match started {
            Ok(()) => self.advance(now, engine),
            Err(refusal) => {
                self.pending[id].tried.push(fleet::node(engine));
                let back = links::across(now, self.arrivals[id].entry, engine);
                self.queue.push(back, Event::Refused(id, refusal));
            }
        }
    }

    pub(super) fn refused(&mut self, now: MonoTime, id: usize, refusal: &Refusal) {
        self.end_group(now, id);
        let attempts = u32::try_from(self.pending[id].attempt).unwrap_or(u32::MAX);
        let budget = &mut self.budgets[self.arrivals[id].entry];
        if self.run.policy == Policy::QuotesLaxity && budget.retry(now, attempts).is_ok() {
            self.route(now, id);
            return;
        }
        self.outcomes[id].refused = Some((links::to_client(now), refusal.reason));
        self.open -= 1;
    }

    pub(super) fn advance(&mut self, now: MonoTime, engine: usize) {
        let notices = self.fleet.workers[engine].advance(now);
        for notice in notices {
            self.notice(now, engine, &notice);
        }
        let next = self.fleet.workers[engine].core.next_event();
        if next < self.due[engine] {
            self.due[engine] = next;
            self.queue.push(next, Event::Step(engine));
        }
    }

    fn notice(&mut self, now: MonoTime, engine: usize, notice: &Notice) {
        let (Notice::First(attempt) | Notice::Done(attempt, _) | Notice::Ended(attempt, _)) =
            notice;
        let (id, seen) = self.seen(now, engine, *attempt);
        if self.outcomes[id].is_final() || *attempt != self.attempt(id) {
            return;
        }
        let outcome = &mut self.outcomes[id];
        match notice {
            Notice::First(_) => {
                outcome.first_token.get_or_insert(seen);
                return;
            }
            Notice::Done(_, cached) => {
                outcome.finished = Some(seen);
                outcome.cached = *cached;
            }
            Notice::Ended(_, reason) => outcome.refused = Some((seen, *reason)),
        }
        self.open -= 1;
        self.end_group(now, id);
    }

    fn seen(&self, now: MonoTime, engine: usize, attempt: AttemptId) -> (usize, MonoTime) {
        let number = u128::from_str_radix(&attempt.to_string(), 16).unwrap_or(0);
        let id = usize::try_from(number / ATTEMPTS).unwrap_or(0);
        let at = links::across(now, self.arrivals[id].entry, engine);
        (id, links::to_client(at))
    }

    pub(super) fn attempt(&self, id: usize) -> AttemptId {
        AttemptId::from_number(id as u128 * ATTEMPTS + self.pending[id].attempt)
    }

    pub(super) fn job(&mut self, now: MonoTime, id: usize, engine: usize) -> Job {
        let arrival = &self.arrivals[id];
        let cached = self.fleet.workers[engine].cached(now, &arrival.blocks);
        Job {
            attempt: self.attempt(id),
            org: arrival.org.clone(),
            class: arrival.class,
            prompt: arrival.prompt,
            cached,
            output: arrival.output,
            parts: self.pending[id].parts,
            remaining: self.deadline(id).since(now),
        }
    }

    pub(super) fn deadline(&self, id: usize) -> MonoTime {
        self.arrivals[id].at.after(self.arrivals[id].allowed)
    }
}

/// A prompt that would not leave the short work's memory free is spread over several engines.
fn pending(arrival: &Arrival) -> Pending {
    let whole = arrival.prompt.saturating_add(arrival.output).get();
    let part = CAPACITY.get() - CAPACITY.get() / 8;
    Pending {
        attempt: 0,
        tried: Vec::new(),
        parts: whole.div_ceil(part),
        group: None,
    }
}
