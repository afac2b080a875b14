//! The dispatch of requests to groups of engines.

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
    /// Starts to reserve the parts of a request's group.
    pub(super) fn begin_group(
        &mut self,
        now: MonoTime,
        id: usize,
        engines: &[usize],
        span: Millis,
    ) {
        let nodes: Vec<NodeId> = engines
            .iter()
            .map(|&engine| fleet::node_id(engine))
            .collect();
        let deadline = self.deadline(id);
        let mut group = Group::new(&nodes, self.part_size(id), span, deadline);
        let steps = group.poll(now);
        self.pending[id].group = Some(group);
        self.execute(now, id, steps);
    }

    /// Polls every group and executes the steps that are due.
    pub(super) fn poll_groups(&mut self, now: MonoTime) {
        for id in 0..self.pending.len() {
            if let Some(mut group) = self.pending[id].group.take() {
                let steps = group.poll(now);
                self.pending[id].group = Some(group);
                self.execute(now, id, steps);
            }
        }
    }

    /// Executes the steps of a group. Its messages take no time in the simulation: replies arrive
    /// before the next tick.
    fn execute(&mut self, now: MonoTime, id: usize, steps: Vec<Step>) {
        let attempt = self.attempt_id(id);
        for step in steps {
            if self.attempt_id(id) != attempt {
                return;
            }
            match step {
                Step::Reserve { node, amount, span } => self.reserve(now, id, &node, amount, span),
                Step::Release { node } => self.release(now, id, &node),
                Step::Ready { nodes } => self.start(now, id, fleet::engine_number(&nodes[0])),
                Step::Failed(refusal) => {
                    self.pending[id].group = None;
                    self.handle_refusal(now, id, &refusal);
                }
            }
        }
    }

    fn reserve(&mut self, now: MonoTime, id: usize, node: &NodeId, amount: Tokens, span: Millis) {
        let attempt = self.attempt_id(id);
        let worker = &mut self.fleet.workers[fleet::engine_number(node)];
        let result = worker
            .scheduler
            .hold(now, attempt, amount, span)
            .and_then(|()| {
                let part = worker
                    .core
                    .reserve_part(now, &attempt.to_string(), amount, PART_TTL);
                part.map_err(|_| out_of_memory())
            });
        let Some(mut group) = self.pending[id].group.take() else {
            return;
        };
        let steps = match result {
            Ok(()) => group.handle_grant(now, node),
            Err(refusal) => group.handle_refusal(now, node, refusal),
        };
        self.pending[id].group = Some(group);
        self.execute(now, id, steps);
    }

    fn release(&mut self, now: MonoTime, id: usize, node: &NodeId) {
        let attempt = self.attempt_id(id);
        let engine = fleet::engine_number(node);
        self.fleet.workers[engine].scheduler.cancel(now, attempt);
        self.advance(now, engine);
    }

    /// Releases the parts that a request's group holds.
    pub(super) fn end_group(&mut self, now: MonoTime, id: usize) {
        if let Some(mut group) = self.pending[id].group.take() {
            for step in group.cancel() {
                if let Step::Release { node } = step {
                    self.release(now, id, &node);
                }
            }
        }
    }

    fn part_size(&self, id: usize) -> Tokens {
        let arrival = &self.arrivals[id];
        let whole = arrival.prompt.saturating_add(arrival.output).get();
        Tokens(whole.div_ceil(self.pending[id].parts))
    }
}

fn out_of_memory() -> Refusal {
    Refusal {
        reason: Reason::NoMemory,
        retry: TICK,
    }
}
