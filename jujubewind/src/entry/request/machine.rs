//! The state machine of one request.

use rand::Rng;

use super::Input;
use super::Output;
use super::Phase;
use super::Step;
use super::Target;
use super::uncertain_attempts::UncertainAttempts;
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

/// The state chart of a request.
const CHART: &str = include_str!("../../../charts/request.yaml");
/// Consecutive pulls without a usable answer after which the agent is considered down.
const MAX_FAILED_PULLS: u32 = 2;
/// Retry delay after all agents failed.
const BACKEND_DOWN_DELAY: Millis = Millis(1_000);

/// The state machine of one request; it never sends an attempt twice.
#[derive(Debug)]
pub struct Machine {
    chart: StateChart<Phase, Step>,
    phase: Phase,
    current: Option<(Target, AttemptId)>,
    excluded: Vec<NodeId>,
    attempts: u32,
    failed_pulls: u32,
    offset: Tokens,
    uncertain: UncertainAttempts,
    last_refusal: Refusal,
}

impl Machine {
    /// Creates the state machine of an admitted request, and its first output.
    ///
    /// # Errors
    /// The state chart of requests is invalid.
    pub fn new() -> crate::chart::Result<(Self, Output)> {
        let chart = StateChart::parse(CHART)?;
        let machine = Self {
            phase: chart.initial(),
            chart,
            current: None,
            excluded: Vec::new(),
            attempts: 0,
            failed_pulls: 0,
            offset: Tokens::ZERO,
            uncertain: UncertainAttempts::default(),
            last_refusal: Refusal {
                reason: Reason::NoBackend,
                retry: BACKEND_DOWN_DELAY,
            },
        };
        let first = Output::Place {
            excluded: Vec::new(),
        };
        Ok((machine, first))
    }

    /// The state of the request.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The number of tokens sent to the caller.
    #[must_use]
    pub fn written(&self) -> Tokens {
        self.offset
    }

    /// Handles one input and returns the actions to take.
    pub fn step(&mut self, input: Input, rng: &mut impl Rng) -> Vec<Output> {
        match (self.phase, input) {
            (Phase::Ended, _) => Vec::new(),
            (_, Input::Fenced(attempt, reply)) => {
                self.uncertain.apply(attempt, reply);
                Vec::new()
            }
            (_, Input::Expired) => self.give_up(Reason::DeadlinePassed, Millis::ZERO),
            (_, Input::Abandoned) => self.give_up(Reason::Cancelled, Millis::ZERO),
            (Phase::Placing, Input::Placed(Ok(target))) => self.start(target, rng),
            (Phase::Placing, Input::Placed(Err(refusal))) => self.handle_no_placement(refusal),
            (Phase::Placing, Input::Retry(Ok(()))) => self.place(),
            (Phase::Placing, Input::Retry(Err(refusal))) => self.wait_or_give_up(&refusal),
            (Phase::Placing, Input::Waited) => self.resume_after_wait(),
            (Phase::Starting, Input::Started(reply)) => self.handle_start_reply(reply),
            (Phase::Starting, Input::Unsent) => self.handle_unsent(),
            (Phase::Streaming, Input::Pulled(reply)) => self.handle_pull_reply(reply),
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
        self.failed_pulls = 0;
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
            reason: self.last_refusal.reason,
        }
    }

    /// Waits for a retry if part of the answer was already sent and a retry can succeed; otherwise
    /// the request fails at once.
    fn wait_or_give_up(&mut self, refusal: &Refusal) -> Vec<Output> {
        let futile = refusal.retry == Millis::ZERO || refusal.reason == Reason::Convicted;
        if self.offset == Tokens::ZERO || futile {
            return self.give_up(refusal.reason, refusal.retry);
        }
        vec![Output::Wait(refusal.retry)]
    }

    /// Asks for a retry after a wait, with all agents counted as untried.
    fn resume_after_wait(&mut self) -> Vec<Output> {
        self.excluded.clear();
        self.attempts = 1;
        vec![self.ask_retry()]
    }

    /// Handles a refused placement. If no agent is left to ask, the refusal of the last agent tried
    /// is reported.
    fn handle_no_placement(&mut self, refusal: Refusal) -> Vec<Output> {
        let refusal = if refusal.reason == Reason::NoBackend {
            self.last_refusal.clone()
        } else {
            refusal
        };
        self.wait_or_give_up(&refusal)
    }

    fn handle_start_reply(&mut self, reply: Option<StartReply>) -> Vec<Output> {
        match reply {
            Some(StartReply::Accepted { .. }) => {
                self.mark_uncertain();
                self.advance(Step::Accepted);
                self.pull()
            }
            Some(StartReply::Refused(refusal)) => {
                self.last_refusal = refusal;
                self.retry(false)
            }
            None => {
                self.mark_uncertain();
                self.retry(true)
            }
        }
    }

    fn handle_unsent(&mut self) -> Vec<Output> {
        self.last_refusal = Refusal {
            reason: Reason::BackendDown,
            retry: BACKEND_DOWN_DELAY,
        };
        self.retry(false)
    }

    fn handle_pull_reply(&mut self, reply: Option<PullReply>) -> Vec<Output> {
        match reply {
            Some(PullReply::Chunk(chunk)) => self.handle_chunk(chunk),
            Some(PullReply::Refused(refusal)) => {
                self.mark_not_run();
                self.last_refusal = refusal;
                self.retry(false)
            }
            Some(reply @ (PullReply::Unknown | PullReply::EngineFailed { .. })) => {
                if reply != PullReply::Unknown {
                    self.uncertain.record_run();
                }
                self.last_refusal = Refusal {
                    reason: Reason::BackendDown,
                    retry: BACKEND_DOWN_DELAY,
                };
                self.retry(false)
            }
            None => self.handle_failed_pull(),
        }
    }

    fn handle_chunk(&mut self, chunk: Chunk) -> Vec<Output> {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|(_, id)| *id == chunk.attempt);
        if !is_current || chunk.offset != self.offset {
            let mut outputs = vec![Output::Dropped];
            outputs.extend(self.handle_failed_pull());
            return outputs;
        }
        self.failed_pulls = 0;
        self.offset = self
            .offset
            .saturating_add(Tokens(chunk.tokens.len() as u64));
        let mut outputs = Vec::new();
        if !chunk.tokens.is_empty() || chunk.end.is_some() {
            self.uncertain.record_run();
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

    fn handle_failed_pull(&mut self) -> Vec<Output> {
        self.failed_pulls += 1;
        if self.failed_pulls < MAX_FAILED_PULLS {
            return self.pull();
        }
        self.last_refusal = Refusal {
            reason: Reason::BackendDown,
            retry: BACKEND_DOWN_DELAY,
        };
        self.retry(true)
    }

    /// Gives up the current attempt and asks for a retry; cancels the attempt if it may still run.
    fn retry(&mut self, cancel: bool) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some((target, attempt)) = self.current.take() {
            self.excluded.push(target.node.clone());
            if cancel {
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
                self.uncertain.insert(attempt);
            }
            outputs.push(Output::Cancel { target, attempt });
        }
        self.advance(Step::GiveUp);
        outputs.push(Output::Fail(Failure {
            reason,
            ran: self.uncertain.ran(),
            retry,
        }));
        outputs
    }

    /// Records that the current attempt may have run.
    fn mark_uncertain(&mut self) {
        if let Some((_, attempt)) = self.current {
            self.uncertain.insert(attempt);
        }
    }

    /// Records that, according to the agent, the current attempt never ran.
    fn mark_not_run(&mut self) {
        if let Some((_, attempt)) = self.current {
            self.uncertain.remove(attempt);
        }
    }

    fn advance(&mut self, step: Step) {
        if let Some(phase) = self.chart.next(self.phase, step) {
            self.phase = phase;
        }
    }
}
