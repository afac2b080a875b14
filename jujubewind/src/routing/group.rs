//! Reserving several engines at once for a prompt that exceeds one engine's memory.

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::scheduler::PART_TTL;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// What the entry does next for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the agent to hold memory for a part; asking again renews it.
    Reserve {
        /// The agent.
        node: NodeId,
        /// The part's memory.
        amount: Tokens,
        /// How long the group is predicted to last.
        span: Millis,
    },
    /// Tell the agent to let go of the part, whether or not it granted it.
    Release {
        /// The agent.
        node: NodeId,
    },
    /// Every part is held; the engines stand in the order of the parts.
    Ready {
        /// The agents.
        nodes: Vec<NodeId>,
    },
    /// Nothing is held any longer.
    Failed(Refusal),
}

/// All-or-nothing reservation of several engines, in one order that all groups share.
///
/// Each group asks for its parts one after the other in the order of the agents' names, so two
/// groups can never hold what the other waits for. Each part expires by itself, so that a group
/// whose entry dies leaves nothing behind.
#[derive(Clone, Debug)]
pub struct Group {
    nodes: Vec<NodeId>,
    amount: Tokens,
    ttl: Millis,
    span: Millis,
    deadline: MonoTime,
    held: usize,
    next: MonoTime,
    renewal: MonoTime,
    over: bool,
}

impl Group {
    /// Starts reserving `amount` at each of `nodes` for about `span`; gives up at `deadline`.
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
            held: 0,
            next: MonoTime::ZERO,
            renewal: MonoTime::ZERO,
            over: false,
        }
    }

    /// The agent granted its part, or renewed it.
    pub fn granted(&mut self, now: MonoTime, node: &NodeId) -> Vec<Step> {
        if self.over {
            return vec![Step::Release { node: node.clone() }];
        }
        if self.nodes.get(self.held) != Some(node) {
            return Vec::new();
        }
        self.held += 1;
        self.next = now;
        if self.is_ready() {
            return vec![Step::Ready {
                nodes: self.nodes.clone(),
            }];
        }
        self.poll(now)
    }

    /// The agent refused its part; lack of memory is waited out, anything else ends the group.
    pub fn refused(&mut self, now: MonoTime, node: &NodeId, refusal: Refusal) -> Vec<Step> {
        if self.over {
            return Vec::new();
        }
        let again = now.after(Millis(refusal.retry.get().max(1)));
        let asked = self.nodes.get(self.held) == Some(node);
        if asked && refusal.reason == Reason::NoMemory && again < self.deadline {
            self.next = again;
            return Vec::new();
        }
        self.fail(refusal)
    }

    /// Lets go of everything, as the request was cancelled or has ended.
    pub fn cancel(&mut self) -> Vec<Step> {
        if self.over {
            return Vec::new();
        }
        self.fail(Refusal {
            reason: Reason::Cancelled,
            retry: Millis::ZERO,
        })
    }

    /// What is due at `now`: the next request, renewals, or giving up.
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
        if !self.is_ready() && now >= self.next {
            // An answer that is lost is asked for again; agents take a repetition as a renewal.
            self.next = now.after(Millis(self.ttl.get() / 3));
            steps.push(self.reserve(self.held));
        }
        steps
    }

    /// Whether every part is held.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.over && self.held == self.nodes.len()
    }

    /// Whether nothing is held and nothing will be.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over
    }

    fn renewals(&mut self, now: MonoTime) -> Vec<Step> {
        if self.held == 0 || now < self.renewal {
            return Vec::new();
        }
        self.renewal = now.after(Millis(self.ttl.get() / 3));
        (0..self.held).map(|part| self.reserve(part)).collect()
    }

    fn reserve(&self, part: usize) -> Step {
        Step::Reserve {
            node: self.nodes[part].clone(),
            amount: self.amount,
            span: self.span,
        }
    }

    /// The part asked for last is released too, as its grant may be under way.
    fn fail(&mut self, refusal: Refusal) -> Vec<Step> {
        self.over = true;
        let asked = self.nodes.iter().take(self.held + 1);
        let mut steps: Vec<Step> = asked
            .map(|node| Step::Release { node: node.clone() })
            .collect();
        self.held = 0;
        steps.push(Step::Failed(refusal));
        steps
    }
}
