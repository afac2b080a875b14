//! Groups of engines in a simulation.

use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::routing::Group;
use jujubewind::routing::Step;
use jujubewind::scheduler::PART_TTL;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::NodeId;
use jujubewind::types::Tokens;

use super::fleet;
use super::simulation::Simulation;
use super::simulation::TICK;

impl Simulation<'_> {
    /// Starts to reserve the parts of a group.
    pub(super) fn begin_group(
        &mut self,
        now: MonoTime,
        id: usize,
        engines: &[usize],
        span: Millis,
    ) {
        let nodes: Vec<NodeId> = engines.iter().map(|&engine| fleet::node(engine)).collect();
        let deadline = self.deadline(id);
        let mut group = Group::new(&nodes, self.part(id), span, deadline);
        let steps = group.poll(now);
        self.pending[id].group = Some(group);
        self.carry_out(now, id, steps);
    }

    /// Lets every group do what is due.
    pub(super) fn poll_groups(&mut self, now: MonoTime) {
        for id in 0..self.pending.len() {
            if let Some(mut group) = self.pending[id].group.take() {
                let steps = group.poll(now);
                self.pending[id].group = Some(group);
                self.carry_out(now, id, steps);
            }
        }
    }

    /// Messages about groups take no time here; their answers come before the next tick.
    fn carry_out(&mut self, now: MonoTime, id: usize, steps: Vec<Step>) {
        let attempt = self.attempt(id);
        for step in steps {
            if self.attempt(id) != attempt {
                return;
            }
            match step {
                Step::Reserve { node, amount, span } => self.reserve(now, id, &node, amount, span),
                Step::Release { node } => self.release(now, id, &node),
                Step::Ready { nodes } => self.start(now, id, fleet::number(&nodes[0])),
                Step::Failed(refusal) => {
                    self.pending[id].group = None;
                    self.refused(now, id, &refusal);
                }
            }
        }
    }

    fn reserve(&mut self, now: MonoTime, id: usize, node: &NodeId, amount: Tokens, span: Millis) {
        let attempt = self.attempt(id);
        let worker = &mut self.fleet.workers[fleet::number(node)];
        let held = worker
            .scheduler
            .hold(now, attempt, amount, span)
            .and_then(|()| {
                let part = worker
                    .core
                    .reserve_part(now, &attempt.to_string(), amount, PART_TTL);
                part.map_err(|_| busy())
            });
        let Some(mut group) = self.pending[id].group.take() else {
            return;
        };
        let steps = match held {
            Ok(()) => group.handle_grant(now, node),
            Err(refusal) => group.handle_refusal(now, node, refusal),
        };
        self.pending[id].group = Some(group);
        self.carry_out(now, id, steps);
    }

    fn release(&mut self, now: MonoTime, id: usize, node: &NodeId) {
        let attempt = self.attempt(id);
        let engine = fleet::number(node);
        self.fleet.workers[engine].scheduler.cancel(now, attempt);
        self.advance(now, engine);
    }

    /// Gives back what the request's group holds.
    pub(super) fn end_group(&mut self, now: MonoTime, id: usize) {
        if let Some(mut group) = self.pending[id].group.take() {
            for step in group.cancel() {
                if let Step::Release { node } = step {
                    self.release(now, id, &node);
                }
            }
        }
    }

    fn part(&self, id: usize) -> Tokens {
        let arrival = &self.arrivals[id];
        let whole = arrival.prompt.saturating_add(arrival.output).get();
        Tokens(whole.div_ceil(self.pending[id].parts))
    }
}

fn busy() -> Refusal {
    Refusal {
        reason: Reason::NoMemory,
        retry: TICK,
    }
}
