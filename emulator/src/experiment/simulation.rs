//! One simulation run: events between clients, entries and agents.

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
use super::event_queue::EventQueue;
use super::fleet;
use super::fleet::Fleet;
use super::links;
use super::links::DOMAINS;
use super::policy::CAPACITY;
use super::worker::AttemptEvent;
use crate::engine::core::Prompt;

/// The interval at which agents check deadlines and entries poll groups.
pub(super) const TICK: Millis = Millis(50);
/// Ticks between two load reports.
const TICKS_PER_REPORT: u64 = 20;
/// Attempt ids reserved for each request.
const IDS_PER_REQUEST: u128 = 16;

/// A simulation event; requests and engines are given by index.
#[derive(Debug)]
pub(super) enum Event {
    /// A request arrives at its entry.
    Arrive(usize),
    /// Engines receive a request for a quote.
    Quote(usize, Vec<usize>),
    /// The entry has the quotes of a request and picks engines.
    Pick(usize, Vec<Offer>),
    /// An engine receives an attempt.
    Start(usize, usize),
    /// The entry receives a refusal from an agent.
    Refused(usize, Refusal),
    /// A step of an engine ends.
    Step(usize),
    /// The periodic tick with this number.
    Tick(u64),
}

/// The routing state of one request.
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
    pub(super) queue: EventQueue<Event>,
    /// The scheduled step end of each engine.
    step_ends: Vec<MonoTime>,
    pub(super) pending: Vec<Pending>,
    outcomes: Vec<Outcome>,
    budgets: Vec<RetryBudget>,
    pub(super) rng: StdRng,
    /// Requests without a final outcome.
    unfinished: usize,
}

/// Runs until every request is answered or refused and returns their outcomes.
#[must_use]
pub fn simulate(run: &Run, arrivals: &[Arrival]) -> Vec<Outcome> {
    let mut simulation = Simulation::new(run, arrivals);
    while simulation.unfinished > 0 {
        let Some((now, event)) = simulation.queue.pop() else {
            break;
        };
        simulation.handle(now, event);
    }
    simulation.outcomes
}

impl<'a> Simulation<'a> {
    fn new(run: &'a Run, arrivals: &'a [Arrival]) -> Self {
        let mut queue = EventQueue::new();
        for (id, arrival) in arrivals.iter().enumerate() {
            queue.push(links::client_arrival(arrival.at), Event::Arrive(id));
        }
        queue.push(MonoTime::ZERO, Event::Tick(0));
        Self {
            run,
            arrivals,
            fleet: Fleet::new(run.policy, run.site, &run.routing),
            queue,
            step_ends: vec![MonoTime::NEVER; run.site.engines()],
            pending: (0..arrivals.len())
                .map(|id| pending(&arrivals[id]))
                .collect(),
            outcomes: vec![Outcome::default(); arrivals.len()],
            budgets: vec![RetryBudget::new(run.retry.clone()); DOMAINS],
            rng: StdRng::seed_from_u64(run.seed),
            unfinished: arrivals.len(),
        }
    }

    fn handle(&mut self, now: MonoTime, event: Event) {
        match event {
            Event::Arrive(id) => {
                self.budgets[self.arrivals[id].entry].record_request();
                self.route(now, id);
            }
            Event::Quote(id, engines) => self.collect_quotes(now, id, &engines),
            Event::Pick(id, offers) => self.pick_engines(now, id, &offers),
            Event::Start(id, engine) => self.start(now, id, engine),
            Event::Refused(id, refusal) => self.handle_refusal(now, id, &refusal),
            Event::Step(engine) => {
                if self.step_ends[engine] == now {
                    self.step_ends[engine] = MonoTime::NEVER;
                    self.advance(now, engine);
                }
            }
            Event::Tick(count) => self.tick(now, count),
        }
    }

    fn tick(&mut self, now: MonoTime, count: u64) {
        if count.is_multiple_of(TICKS_PER_REPORT) {
            self.fleet.publish_load();
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
        let group = group.then(|| self.attempt_id(id).to_string());
        let blocks: Arc<[u64]> = arrival.blocks.clone();
        let answer = arrival.answer.get();
        let prompt = Prompt::synthetic(id as u64, arrival.prompt, blocks, answer);
        self.outcomes[id].attempts += 1;
        self.outcomes[id].parts = self.pending[id].parts;
        let started = self.fleet.workers[engine].start(now, job, prompt, group);
        match started {
            Ok(()) => self.advance(now, engine),
            Err(refusal) => {
                self.pending[id].tried.push(fleet::node_id(engine));
                let back = links::agent_arrival(now, self.arrivals[id].entry, engine);
                self.queue.push(back, Event::Refused(id, refusal));
            }
        }
    }

    pub(super) fn handle_refusal(&mut self, now: MonoTime, id: usize, refusal: &Refusal) {
        self.end_group(now, id);
        let attempts = u32::try_from(self.pending[id].attempt).unwrap_or(u32::MAX);
        let budget = &mut self.budgets[self.arrivals[id].entry];
        if self.run.policy == Policy::QuotesLaxity && budget.retry(now, attempts).is_ok() {
            self.route(now, id);
            return;
        }
        self.outcomes[id].refused = Some((links::client_arrival(now), refusal.reason));
        self.unfinished -= 1;
    }

    pub(super) fn advance(&mut self, now: MonoTime, engine: usize) {
        let events = self.fleet.workers[engine].advance(now);
        for event in events {
            self.handle_attempt_event(now, engine, &event);
        }
        let next = self.fleet.workers[engine].core.next_event();
        if next < self.step_ends[engine] {
            self.step_ends[engine] = next;
            self.queue.push(next, Event::Step(engine));
        }
    }

    fn handle_attempt_event(&mut self, now: MonoTime, engine: usize, event: &AttemptEvent) {
        let (AttemptEvent::FirstToken(attempt)
        | AttemptEvent::Finished(attempt, _)
        | AttemptEvent::Failed(attempt, _)) = event;
        let (id, received) = self.client_receipt(now, engine, *attempt);
        if self.outcomes[id].is_final() || *attempt != self.attempt_id(id) {
            return;
        }
        let outcome = &mut self.outcomes[id];
        match event {
            AttemptEvent::FirstToken(_) => {
                outcome.first_token.get_or_insert(received);
                return;
            }
            AttemptEvent::Finished(_, cached) => {
                outcome.finished = Some(received);
                outcome.cached = *cached;
            }
            AttemptEvent::Failed(_, reason) => outcome.refused = Some((received, *reason)),
        }
        self.unfinished -= 1;
        self.end_group(now, id);
    }

    /// Returns the request of an attempt and when its client receives a message sent now.
    fn client_receipt(
        &self,
        now: MonoTime,
        engine: usize,
        attempt: AttemptId,
    ) -> (usize, MonoTime) {
        let number = u128::from_str_radix(&attempt.to_string(), 16).unwrap_or(0);
        let id = usize::try_from(number / IDS_PER_REQUEST).unwrap_or(0);
        let at = links::agent_arrival(now, self.arrivals[id].entry, engine);
        (id, links::client_arrival(at))
    }

    pub(super) fn attempt_id(&self, id: usize) -> AttemptId {
        AttemptId::from_number(id as u128 * IDS_PER_REQUEST + self.pending[id].attempt)
    }

    pub(super) fn job(&mut self, now: MonoTime, id: usize, engine: usize) -> Job {
        let arrival = &self.arrivals[id];
        let cached = self.fleet.workers[engine].cached_tokens(now, &arrival.blocks);
        Job {
            attempt: self.attempt_id(id),
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
        self.arrivals[id].at.after(self.arrivals[id].timeout)
    }
}

/// Creates the state of a request. It is split over several engines if it would take the memory
/// reserved for short requests.
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
