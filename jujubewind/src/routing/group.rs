//! Reservation of several engines at once, for a prompt that exceeds the memory of one.

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::scheduler::PART_TTL;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// An action of the entry for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reserve memory for a part at the agent, or renew the reservation.
    Reserve {
        /// The agent.
        node: NodeId,
        /// The memory of the part.
        amount: Tokens,
        /// Predicted duration of the group's work.
        span: Millis,
    },
    /// Release the part at the agent, whether or not it was granted.
    Release {
        /// The agent.
        node: NodeId,
    },
    /// All parts are reserved.
    Ready {
        /// The agents, in the order of the parts.
        nodes: Vec<NodeId>,
    },
    /// The reservation failed and all parts are released.
    Failed(Refusal),
}

/// All-or-nothing reservation of several engines, in a lock order that all groups share.
///
/// Each group reserves its parts one after the other, ordered by the agents' names, so two groups
/// never deadlock. Each part has a time to live, so that no reservation outlives a crashed entry.
#[derive(Clone, Debug)]
pub struct Group {
    nodes: Vec<NodeId>,
    amount: Tokens,
    ttl: Millis,
    span: Millis,
    deadline: MonoTime,
    reserved: usize,
    next_request: MonoTime,
    next_renewal: MonoTime,
    over: bool,
}

impl Group {
    /// Starts to reserve `amount` at each of `nodes` for about `span`; gives up at `deadline`.
    #[must_use]
    pub fn new(nodes: &[NodeId], amount: Tokens, span: Millis, deadline: MonoTime) -> Self {
        let mut nodes = nodes.to_vec();
        nodes.sort();
        nodes.dedup();
        Self {
            nodes,
            amount,
            ttl: PART_TTL,
            span,
            deadline,
            reserved: 0,
            next_request: MonoTime::ZERO,
            next_renewal: MonoTime::ZERO,
            over: false,
        }
    }

    /// Handles the grant or renewal of the agent's part.
    pub fn handle_grant(&mut self, now: MonoTime, node: &NodeId) -> Vec<Step> {
        if self.over {
            return vec![Step::Release { node: node.clone() }];
        }
        if self.nodes.get(self.reserved) != Some(node) {
            return Vec::new();
        }
        self.reserved += 1;
        self.next_request = now;
        if self.is_ready() {
            return vec![Step::Ready {
                nodes: self.nodes.clone(),
            }];
        }
        self.poll(now)
    }

    /// Handles the refusal of the agent's part: retries if memory is short, else fails the group.
    pub fn handle_refusal(&mut self, now: MonoTime, node: &NodeId, refusal: Refusal) -> Vec<Step> {
        if self.over {
            return Vec::new();
        }
        let again = now.after(Millis(refusal.retry.get().max(1)));
        let is_current = self.nodes.get(self.reserved) == Some(node);
        if is_current && refusal.reason == Reason::NoMemory && again < self.deadline {
            self.next_request = again;
            return Vec::new();
        }
        self.fail(refusal)
    }

    /// Releases all parts, as the request was cancelled or has ended.
    pub fn cancel(&mut self) -> Vec<Step> {
        if self.over {
            return Vec::new();
        }
        self.fail(Refusal {
            reason: Reason::Cancelled,
            retry: Millis::ZERO,
        })
    }

    /// Returns the actions due at `now`: the next request, renewals, or the release of all parts.
    pub fn poll(&mut self, now: MonoTime) -> Vec<Step> {
        if self.over {
            return Vec::new();
        }
        if !self.is_ready() && now >= self.deadline {
            return self.fail(Refusal {
                reason: Reason::NoMemory,
                retry: self.ttl,
            });
        }
        let mut steps = self.renewals(now);
        if !self.is_ready() && now >= self.next_request {
            // Repeats the request in case its answer is lost; agents treat it as a renewal.
            self.next_request = now.after(Millis(self.ttl.get() / 3));
            steps.push(self.reserve(self.reserved));
        }
        steps
    }

    /// Whether all parts are reserved.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.over && self.reserved == self.nodes.len()
    }

    /// Whether the reservation has failed or was cancelled.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over
    }

    fn renewals(&mut self, now: MonoTime) -> Vec<Step> {
        if self.reserved == 0 || now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now.after(Millis(self.ttl.get() / 3));
        (0..self.reserved).map(|part| self.reserve(part)).collect()
    }

    fn reserve(&self, part: usize) -> Step {
        Step::Reserve {
            node: self.nodes[part].clone(),
            amount: self.amount,
            span: self.span,
        }
    }

    /// Releases all parts, including the last one requested, as its grant may still arrive.
    fn fail(&mut self, refusal: Refusal) -> Vec<Step> {
        self.over = true;
        let asked = self.nodes.iter().take(self.reserved + 1);
        let mut steps: Vec<Step> = asked
            .map(|node| Step::Release { node: node.clone() })
            .collect();
        self.reserved = 0;
        steps.push(Step::Failed(refusal));
        steps
    }
}
