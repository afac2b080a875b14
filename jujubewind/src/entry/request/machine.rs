//! The state machine of one request.

use rand::Rng;

use super::Input;
use super::Output;
use super::Phase;
use super::Step;
use super::Target;
use super::doubts::Doubts;
use crate::chart::StateChart;
use crate::entry::Failure;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Chunk;
use crate::rpc::message::PullReply;
use crate::rpc::message::StartReply;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Tokens;

/// The chart of a request's life.
const CHART: &str = include_str!("../../../charts/request.yaml");
/// Pulls in a row without a usable answer, after which the agent counts as lost.
const MAX_STRIKES: u32 = 2;
/// When to come back after all agents failed.
const RETRY_FAILED: Millis = Millis(1_000);

/// One request's decisions; it never sends an attempt twice.
#[derive(Debug)]
pub struct Machine {
    chart: StateChart<Phase, Step>,
    phase: Phase,
    current: Option<(Target, AttemptId)>,
    excluded: Vec<NodeId>,
    attempts: u32,
    strikes: u32,
    offset: Tokens,
    doubts: Doubts,
    last: Refusal,
}

impl Machine {
    /// Makes the machine of a request that has just been admitted, with its first output.
    ///
    /// # Errors
    /// The chart of requests is faulty.
    pub fn new() -> crate::chart::Result<(Self, Output)> {
        let chart = StateChart::parse(CHART)?;
        let machine = Self {
            phase: chart.initial(),
            chart,
            current: None,
            excluded: Vec::new(),
            attempts: 0,
            strikes: 0,
            offset: Tokens::ZERO,
            doubts: Doubts::default(),
            last: Refusal {
                reason: Reason::NoBackend,
                retry: RETRY_FAILED,
            },
        };
        let first = Output::Place {
            excluded: Vec::new(),
        };
        Ok((machine, first))
    }

    /// Where the request stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// How many tokens the caller was given.
    #[must_use]
    pub fn written(&self) -> Tokens {
        self.offset
    }

    /// Takes one input and says what to do.
    pub fn step(&mut self, input: Input, rng: &mut impl Rng) -> Vec<Output> {
        match (self.phase, input) {
            (Phase::Ended, _) => Vec::new(),
            (_, Input::Fenced(attempt, reply)) => {
                self.doubts.settle(attempt, reply);
                Vec::new()
            }
            (_, Input::Expired) => self.give_up(Reason::DeadlinePassed, Millis::ZERO),
            (_, Input::Abandoned) => self.give_up(Reason::Cancelled, Millis::ZERO),
            (Phase::Placing, Input::Placed(Ok(target))) => self.start(target, rng),
            (Phase::Placing, Input::Placed(Err(refusal))) => self.unplaced(refusal),
            (Phase::Placing, Input::Retry(Ok(()))) => self.place(),
            (Phase::Placing, Input::Retry(Err(refusal))) => self.wait_or_give_up(&refusal),
            (Phase::Placing, Input::Waited) => self.waited(),
            (Phase::Starting, Input::Started(reply)) => self.started(reply),
            (Phase::Starting, Input::Unsent) => self.unsent(),
            (Phase::Streaming, Input::Pulled(reply)) => self.pulled(reply),
            _ => Vec::new(),
        }
    }

    fn place(&self) -> Vec<Output> {
        vec![Output::Place {
            excluded: self.excluded.clone(),
        }]
    }

    fn start(&mut self, target: Target, rng: &mut impl Rng) -> Vec<Output> {
        let attempt = AttemptId::random(rng);
        self.advance(Step::Placed);
        self.attempts += 1;
        self.strikes = 0;
        self.current = Some((target.clone(), attempt));
        vec![Output::Start {
            target,
            attempt,
            offset: self.offset,
        }]
    }

    fn ask_retry(&self) -> Output {
        Output::AskRetry {
            attempts: self.attempts,
            reason: self.last.reason,
        }
    }

    /// Half an answer is worth a wait within the request's time; nothing else is held back.
    fn wait_or_give_up(&mut self, refusal: &Refusal) -> Vec<Output> {
        let futile = refusal.retry == Millis::ZERO || refusal.reason == Reason::Convicted;
        if self.offset == Tokens::ZERO || futile {
            return self.give_up(refusal.reason, refusal.retry);
        }
        vec![Output::Wait(refusal.retry)]
    }

    /// After a wait all agents count as untried.
    fn waited(&mut self) -> Vec<Output> {
        self.excluded.clear();
        self.attempts = 1;
        vec![self.ask_retry()]
    }

    /// A first placement that is refused ends the request with the refusal of the agents asked.
    fn unplaced(&mut self, refusal: Refusal) -> Vec<Output> {
        let refusal = if refusal.reason == Reason::NoBackend {
            self.last.clone()
        } else {
            refusal
        };
        self.wait_or_give_up(&refusal)
    }

    fn started(&mut self, reply: Option<StartReply>) -> Vec<Output> {
        match reply {
            Some(StartReply::Accepted { .. }) => {
                self.doubt();
                self.advance(Step::Accepted);
                self.pull()
            }
            Some(StartReply::Refused(refusal)) => {
                self.last = refusal;
                self.retry(false)
            }
            None => {
                self.doubt();
                self.retry(true)
            }
        }
    }

    fn unsent(&mut self) -> Vec<Output> {
        self.last = Refusal {
            reason: Reason::BackendDown,
            retry: RETRY_FAILED,
        };
        self.retry(false)
    }

    fn pulled(&mut self, reply: Option<PullReply>) -> Vec<Output> {
        match reply {
            Some(PullReply::Chunk(chunk)) => self.chunk(chunk),
            Some(PullReply::Refused(refusal)) => {
                self.settle();
                self.last = refusal;
                self.retry(false)
            }
            Some(reply @ (PullReply::Unknown | PullReply::EngineFailed { .. })) => {
                if reply != PullReply::Unknown {
                    self.doubts.confirm();
                }
                self.last = Refusal {
                    reason: Reason::BackendDown,
                    retry: RETRY_FAILED,
                };
                self.retry(false)
            }
            None => self.strike(),
        }
    }

    fn chunk(&mut self, chunk: Chunk) -> Vec<Output> {
        let ours = self
            .current
            .as_ref()
            .is_some_and(|(_, id)| *id == chunk.attempt);
        if !ours || chunk.offset != self.offset {
            let mut outputs = vec![Output::Dropped];
            outputs.extend(self.strike());
            return outputs;
        }
        self.strikes = 0;
        self.offset = self
            .offset
            .saturating_add(Tokens(chunk.tokens.len() as u64));
        let mut outputs = Vec::new();
        if !chunk.tokens.is_empty() || chunk.end.is_some() {
            self.doubts.confirm();
        }
        if !chunk.tokens.is_empty() {
            outputs.push(Output::Emit(chunk.tokens));
        }
        match chunk.end {
            Some((finish, count)) if count == self.offset => {
                self.advance(Step::Finish);
                self.current = None;
                outputs.push(Output::Finish(finish, count));
            }
            Some(_) => outputs.extend(self.retry(true)),
            None => outputs.extend(self.pull()),
        }
        outputs
    }

    fn pull(&self) -> Vec<Output> {
        let Some((target, attempt)) = self.current.clone() else {
            return Vec::new();
        };
        vec![Output::Pull {
            target,
            attempt,
            offset: self.offset,
        }]
    }

    fn strike(&mut self) -> Vec<Output> {
        self.strikes += 1;
        if self.strikes < MAX_STRIKES {
            return self.pull();
        }
        self.last = Refusal {
            reason: Reason::BackendDown,
            retry: RETRY_FAILED,
        };
        self.retry(true)
    }

    /// Leaves the current agent for another, fencing the attempt if it may still run.
    fn retry(&mut self, fence: bool) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some((target, attempt)) = self.current.take() {
            self.excluded.push(target.node.clone());
            if fence {
                outputs.push(Output::Cancel { target, attempt });
            }
        }
        self.advance(Step::Retry);
        outputs.push(self.ask_retry());
        outputs
    }

    fn give_up(&mut self, reason: Reason, retry: Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some((target, attempt)) = self.current.take() {
            if self.phase == Phase::Starting {
                self.doubts.raise(attempt);
            }
            outputs.push(Output::Cancel { target, attempt });
        }
        self.advance(Step::GiveUp);
        outputs.push(Output::Fail(Failure {
            reason,
            ran: self.doubts.ran(),
            retry,
        }));
        outputs
    }

    /// Notes that the current attempt may have run.
    fn doubt(&mut self) {
        if let Some((_, attempt)) = self.current {
            self.doubts.raise(attempt);
        }
    }

    /// Notes that the agent says the current attempt never ran.
    fn settle(&mut self) {
        if let Some((_, attempt)) = self.current {
            self.doubts.clear(attempt);
        }
    }

    fn advance(&mut self, step: Step) {
        if let Some(phase) = self.chart.next(self.phase, step) {
            self.phase = phase;
        }
    }
}
