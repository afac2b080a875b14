//! The state machine of one request, against agents that lose, mix up or refuse messages and crash.
//! The faults of each run are drawn from a seed, so a run can be replayed.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubewind::entry::Ran;
use jujubewind::entry::request::Input;
use jujubewind::entry::request::Machine;
use jujubewind::entry::request::Output;
use jujubewind::entry::request::Target;
use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::rpc::message::CancelReply;
use jujubewind::rpc::message::Chunk;
use jujubewind::rpc::message::Finish;
use jujubewind::rpc::message::PullReply;
use jujubewind::rpc::message::StartReply;
use jujubewind::types::AttemptId;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::NodeId;
use jujubewind::types::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 3_000;
const ANSWER_TOKENS: u64 = 40;
const AGENTS: u64 = 4;
/// Processed outputs after which a request that has not ended counts as stuck.
const MAX_OUTPUTS: usize = 5_000;

/// The state of an attempt at its agent.
#[derive(Clone, Copy, PartialEq)]
enum AttemptState {
    Queued,
    Ran,
    Fenced,
}

/// The agents, their faults and what the caller received.
struct World {
    rng: StdRng,
    fault_rate: f64,
    attempts: BTreeMap<AttemptId, AttemptState>,
    cancel_replies: VecDeque<(AttemptId, CancelReply)>,
    emitted: Vec<String>,
    final_output: Option<Output>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let fault_rate = rng.random_range(0.0..0.5);
        Self {
            rng,
            fault_rate,
            attempts: BTreeMap::new(),
            cancel_replies: VecDeque::new(),
            emitted: Vec::new(),
            final_output: None,
        }
    }

    fn draw_fault(&mut self) -> bool {
        let rate = self.fault_rate;
        self.rng.random_bool(rate)
    }

    fn perform(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Place { excluded } => Some(Input::Placed(self.place(&excluded))),
            Output::Start { attempt, .. } => Some(self.start(attempt)),
            Output::Pull {
                attempt, offset, ..
            } => Some(Input::Pulled(self.pull(attempt, offset))),
            Output::Cancel { attempt, .. } => {
                self.cancel(attempt);
                None
            }
            Output::AskRetry { .. } if self.draw_fault() => {
                Some(Input::Retry(Err(refusal(Reason::RetryBudget))))
            }
            Output::AskRetry { .. } => Some(Input::Retry(Ok(()))),
            Output::Wait(_) => Some(Input::Waited),
            Output::Dropped => None,
            Output::Emit(tokens) => {
                self.emitted.extend(tokens);
                None
            }
            end @ (Output::Finish(..) | Output::Fail(_)) => {
                self.final_output = Some(end);
                None
            }
        }
    }

    fn place(&mut self, excluded: &[NodeId]) -> Result<Target, Refusal> {
        let free: Vec<NodeId> = (0..AGENTS)
            .map(node)
            .filter(|node| !excluded.contains(node))
            .collect();
        if free.is_empty() || self.draw_fault() {
            return Err(refusal(Reason::NoBackend));
        }
        let chosen = free[self.rng.random_range(0..free.len())].clone();
        Ok(Target::single(chosen, ([127, 0, 0, 1], 1).into()))
    }

    fn start(&mut self, attempt: AttemptId) -> Input {
        assert!(
            !self.attempts.contains_key(&attempt),
            "each attempt is started only once"
        );
        match self.rng.random_range(0..6) {
            0 => Input::Unsent,
            1 => Input::Started(Some(StartReply::Refused(refusal(Reason::QueueFull)))),
            2 if self.draw_fault() => Input::Started(None),
            3 if self.draw_fault() => {
                self.attempts.insert(attempt, AttemptState::Ran);
                Input::Started(None)
            }
            _ => {
                self.attempts.insert(attempt, AttemptState::Queued);
                let incarnation = Incarnation(1);
                Input::Started(Some(StartReply::Accepted { incarnation }))
            }
        }
    }

    fn pull(&mut self, attempt: AttemptId, offset: Tokens) -> Option<PullReply> {
        if self.draw_fault() {
            return self.faulty_pull(attempt, offset);
        }
        self.attempts.insert(attempt, AttemptState::Ran);
        let count = self.rng.random_range(0..8);
        let end = (offset.get() + count).min(ANSWER_TOKENS);
        Some(chunk(attempt, offset.get(), end))
    }

    fn faulty_pull(&mut self, attempt: AttemptId, offset: Tokens) -> Option<PullReply> {
        let queued = self.attempts.get(&attempt) == Some(&AttemptState::Queued);
        match self.rng.random_range(0..7) {
            0 => None,
            1 => Some(foreign_chunk(offset)),
            2 => Some(chunk(attempt, offset.get() + 1, ANSWER_TOKENS)),
            3 if queued => Some(PullReply::Refused(refusal(Reason::DeadlinePassed))),
            4 => Some(PullReply::Unknown),
            5 => {
                self.attempts.insert(attempt, AttemptState::Ran);
                Some(truncated_chunk(attempt, offset))
            }
            _ => {
                self.attempts.insert(attempt, AttemptState::Ran);
                Some(PullReply::EngineFailed { crash: None })
            }
        }
    }

    /// The reply to the cancellation arrives later or never.
    fn cancel(&mut self, attempt: AttemptId) {
        let reply = match self.attempts.get(&attempt) {
            Some(AttemptState::Ran) => CancelReply::Ran,
            _ => CancelReply::NotRun,
        };
        if reply == CancelReply::NotRun {
            self.attempts.insert(attempt, AttemptState::Fenced);
        }
        if !self.draw_fault() {
            self.cancel_replies.push_back((attempt, reply));
        }
    }
}

fn node(number: u64) -> NodeId {
    format!("agent-{number}").parse().expect("valid name")
}

fn refusal(reason: Reason) -> Refusal {
    let retry = Millis(10);
    Refusal { reason, retry }
}

fn token(index: u64) -> String {
    format!("t{index} ")
}

fn chunk(attempt: AttemptId, from: u64, to: u64) -> PullReply {
    PullReply::Chunk(Chunk {
        attempt,
        offset: Tokens(from),
        tokens: (from..to).map(token).collect(),
        end: (to == ANSWER_TOKENS).then_some((Finish::Length, Tokens(ANSWER_TOKENS))),
    })
}

/// A reply that belongs to another request.
fn foreign_chunk(offset: Tokens) -> PullReply {
    PullReply::Chunk(Chunk {
        attempt: AttemptId::from_number(7),
        offset,
        tokens: vec!["not yours".to_owned()],
        end: None,
    })
}

/// A final chunk whose token count exceeds the tokens sent.
fn truncated_chunk(attempt: AttemptId, offset: Tokens) -> PullReply {
    PullReply::Chunk(Chunk {
        attempt,
        offset,
        tokens: Vec::new(),
        end: Some((Finish::Length, Tokens(ANSWER_TOKENS + 1))),
    })
}

/// Runs one request to its final answer.
fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut machine, first) = Machine::new().expect("the chart is valid");
    let mut outputs = VecDeque::from([first]);
    for _ in 0..MAX_OUTPUTS {
        let Some(output) = outputs.pop_front() else {
            return world;
        };
        let input = world.perform(output);
        let fenced = world
            .cancel_replies
            .pop_front()
            .map(|(id, reply)| Input::Fenced(id, reply));
        for input in input.into_iter().chain(fenced) {
            outputs.extend(machine.step(input, &mut rng));
        }
    }
    panic!("seed {seed}: the request never ends");
}

#[test]
fn an_answer_has_no_gaps_or_repeats_if_messages_are_lost_or_mixed_up() {
    let expected: Vec<String> = (0..ANSWER_TOKENS).map(token).collect();
    let mut finished = 0;

    for seed in 0..SEEDS {
        let world = run(seed);

        assert_eq!(
            world.emitted[..],
            expected[..world.emitted.len()],
            "seed {seed}"
        );
        if let Some(Output::Finish(_, count)) = world.final_output {
            assert_eq!(
                (world.emitted.len() as u64, count),
                (ANSWER_TOKENS, Tokens(ANSWER_TOKENS)),
                "seed {seed}"
            );
            finished += 1;
        }
    }

    assert!(
        finished > SEEDS / 2,
        "only {finished} answers were completed"
    );
}

#[test]
fn not_run_is_reported_only_if_no_agent_ran_the_request() {
    let mut reported = 0;

    for seed in 0..SEEDS {
        let world = run(seed);

        let Some(Output::Fail(failure)) = &world.final_output else {
            continue;
        };
        if failure.ran == Ran::NotRun {
            let ran = world
                .attempts
                .values()
                .any(|state| *state == AttemptState::Ran);
            assert!(!ran, "seed {seed}");
            reported += 1;
        }
    }

    assert!(reported > 0, "no run reported it");
}

#[test]
fn a_request_ends_and_a_partial_answer_never_fails_for_lack_of_retry_budget() {
    for seed in 0..SEEDS {
        let world = run(seed);

        let Some(final_output) = &world.final_output else {
            panic!("seed {seed}: no final answer");
        };
        if let Output::Fail(failure) = final_output {
            let is_partial = !world.emitted.is_empty();
            assert!(
                !is_partial || failure.reason != Reason::RetryBudget,
                "seed {seed}"
            );
        }
    }
}
