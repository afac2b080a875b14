//! Reservation of several engines for a prompt that exceeds one engine's memory.

use std::cell::Cell;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;
use flume::TryRecvError;

use super::agent_clients::AgentClients;
use super::driver::Driver;
use super::request::Helpers;
use super::request::Target;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::routing::Group;
use crate::routing::Step;
use crate::rpc::message::Hold;
use crate::rpc::message::HoldReply;
use crate::timer::Clock;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// How often a group is polled.
const POLL_INTERVAL: Millis = Millis(50);

/// A reserved group of engines; dropping it releases all its parts.
#[derive(Debug)]
pub struct Reservation {
    lost: Rc<Cell<bool>>,
    _owner: Sender<()>,
}

/// The task that reserves, renews and releases the parts of one group.
struct ReservationTask {
    group: Group,
    targets: Vec<Target>,
    attempt: AttemptId,
    model: ModelId,
    deadline: MonoTime,
    clock: Clock,
    agents: AgentClients,
    lost: Rc<Cell<bool>>,
}

impl Reservation {
    /// Reserves either all engines of a group or none.
    ///
    /// # Errors
    /// An agent refuses permanently, or the deadline of the request has passed.
    pub async fn acquire(
        driver: &Driver,
        primary: &Target,
        helpers: &Helpers,
        attempt: AttemptId,
    ) -> Result<Self, Refusal> {
        let (ready, outcome) = flume::bounded(1);
        let (owner, alive) = flume::bounded(1);
        let lost = Rc::new(Cell::new(false));
        let task = ReservationTask::new(driver, primary, helpers, attempt, lost.clone());
        compio::runtime::spawn(task.run(ready, alive)).detach();
        let reservation = Self {
            lost,
            _owner: owner,
        };
        match outcome.recv_async().await {
            Ok(Ok(())) => Ok(reservation),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(cancelled()),
        }
    }

    /// Whether a part was lost after the group was complete.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }
}

impl ReservationTask {
    fn new(
        driver: &Driver,
        primary: &Target,
        helpers: &Helpers,
        attempt: AttemptId,
        lost: Rc<Cell<bool>>,
    ) -> Self {
        let mut targets = vec![primary.clone()];
        targets.extend(helpers.targets.iter().cloned());
        let nodes: Vec<NodeId> = targets.iter().map(|target| target.node.clone()).collect();
        let amount = Tokens(driver.job.memory().get().div_ceil(primary.parts()));
        Self {
            group: Group::new(&nodes, amount, helpers.span, driver.deadline),
            targets,
            attempt,
            model: driver.job.model.clone(),
            deadline: driver.deadline,
            clock: driver.clock,
            agents: driver.agents.clone(),
            lost,
        }
    }

    /// Runs until the group fails or its [`Reservation`] is dropped.
    async fn run(mut self, ready: Sender<Result<(), Refusal>>, owner: Receiver<()>) {
        let mut steps = self.group.poll(self.clock.now());
        loop {
            while let Some(step) = steps.pop() {
                steps.extend(self.perform(step, &ready).await);
            }
            if self.group.is_over() {
                return;
            }
            if owner.try_recv() == Err(TryRecvError::Disconnected) {
                steps = self.group.cancel();
                continue;
            }
            compio::time::sleep(POLL_INTERVAL.duration()).await;
            steps = self.group.poll(self.clock.now());
        }
    }

    async fn perform(&mut self, step: Step, ready: &Sender<Result<(), Refusal>>) -> Vec<Step> {
        match step {
            Step::Reserve { node, amount, span } => self.reserve(node, amount, span).await,
            Step::Release { node } => {
                self.release(&node);
                Vec::new()
            }
            Step::Ready { .. } => {
                let _ = ready.try_send(Ok(()));
                Vec::new()
            }
            Step::Failed(refusal) => {
                self.lost.set(true);
                let _ = ready.try_send(Err(refusal));
                Vec::new()
            }
        }
    }

    async fn reserve(&mut self, node: NodeId, amount: Tokens, span: Millis) -> Vec<Step> {
        let Some(target) = self.target(&node) else {
            return Vec::new();
        };
        let message = Hold {
            envelope: self.agents.envelope(self.attempt, self.remaining()),
            model: self.model.clone(),
            amount,
            span,
        };
        let reply = self.agents.hold(&target, message).await;
        let now = self.clock.now();
        match reply {
            HoldReply::Held => self.group.handle_grant(now, &node),
            HoldReply::Refused(refusal) => self.group.handle_refusal(now, &node, refusal),
        }
    }

    fn release(&self, node: &NodeId) {
        let Some(target) = self.target(node) else {
            return;
        };
        let (agents, attempt, remaining) = (self.agents.clone(), self.attempt, self.remaining());
        let work = async move {
            agents
                .cancel(&target, attempt, Millis::ZERO, remaining)
                .await;
        };
        compio::runtime::spawn(work).detach();
    }

    fn target(&self, node: &NodeId) -> Option<Target> {
        let found = self.targets.iter().find(|target| target.node == *node);
        found.cloned()
    }

    fn remaining(&self) -> Millis {
        self.deadline.since(self.clock.now())
    }
}

fn cancelled() -> Refusal {
    Refusal {
        reason: Reason::Cancelled,
        retry: Millis::ZERO,
    }
}
