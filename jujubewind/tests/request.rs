//! One request's machine against agents that lose, cross, refuse and die, replayed by seed.

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
const ANSWER: u64 = 40;
const AGENTS: u64 = 4;
/// Outputs after which a request that has not ended counts as stuck.
const PATIENCE: usize = 5_000;

/// What an agent knows of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Queued,
    Ran,
    Fenced,
}

/// The agents, the faults and what the caller saw.
struct World {
    rng: StdRng,
    faults: f64,
    fates: BTreeMap<AttemptId, Fate>,
    fences: VecDeque<(AttemptId, CancelReply)>,
    emitted: Vec<String>,
    last: Option<Output>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let faults = rng.random_range(0.0..0.5);
        Self {
            rng,
            faults,
            fates: BTreeMap::new(),
            fences: VecDeque::new(),
            emitted: Vec::new(),
            last: None,
        }
    }

    fn fault(&mut self) -> bool {
        let share = self.faults;
        self.rng.random_bool(share)
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
            Output::AskRetry { .. } if self.fault() => {
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
                self.last = Some(end);
                None
            }
        }
    }

    fn place(&mut self, excluded: &[NodeId]) -> Result<Target, Refusal> {
        let free: Vec<NodeId> = (0..AGENTS)
            .map(node)
            .filter(|node| !excluded.contains(node))
            .collect();
        if free.is_empty() || self.fault() {
            return Err(refusal(Reason::NoBackend));
        }
        let chosen = free[self.rng.random_range(0..free.len())].clone();
        Ok(Target::single(chosen, ([127, 0, 0, 1], 1).into()))
    }

    fn start(&mut self, attempt: AttemptId) -> Input {
        assert!(
            !self.fates.contains_key(&attempt),
            "an attempt is sent once"
        );
        match self.rng.random_range(0..6) {
            0 => Input::Unsent,
            1 => Input::Started(Some(StartReply::Refused(refusal(Reason::QueueFull)))),
            2 if self.fault() => Input::Started(None),
            3 if self.fault() => {
                self.fates.insert(attempt, Fate::Ran);
                Input::Started(None)
            }
            _ => {
                self.fates.insert(attempt, Fate::Queued);
                let incarnation = Incarnation(1);
                Input::Started(Some(StartReply::Accepted { incarnation }))
            }
        }
    }

    fn pull(&mut self, attempt: AttemptId, offset: Tokens) -> Option<PullReply> {
        if self.fault() {
            return self.faulty_pull(attempt, offset);
        }
        self.fates.insert(attempt, Fate::Ran);
        let count = self.rng.random_range(0..8);
        let end = (offset.get() + count).min(ANSWER);
        Some(chunk(attempt, offset.get(), end))
    }

    fn faulty_pull(&mut self, attempt: AttemptId, offset: Tokens) -> Option<PullReply> {
        let queued = self.fates.get(&attempt) == Some(&Fate::Queued);
        match self.rng.random_range(0..7) {
            0 => None,
            1 => Some(foreign(offset)),
            2 => Some(chunk(attempt, offset.get() + 1, ANSWER)),
            3 if queued => Some(PullReply::Refused(refusal(Reason::DeadlinePassed))),
            4 => Some(PullReply::Unknown),
            5 => {
                self.fates.insert(attempt, Fate::Ran);
                Some(cut_short(attempt, offset))
            }
            _ => {
                self.fates.insert(attempt, Fate::Ran);
                Some(PullReply::EngineFailed { crash: None })
            }
        }
    }

    /// The fence's answer comes later, or never.
    fn cancel(&mut self, attempt: AttemptId) {
        let reply = match self.fates.get(&attempt) {
            Some(Fate::Ran) => CancelReply::Ran,
            _ => CancelReply::NotRun,
        };
        if reply == CancelReply::NotRun {
            self.fates.insert(attempt, Fate::Fenced);
        }
        if !self.fault() {
            self.fences.push_back((attempt, reply));
        }
    }
}

fn node(number: u64) -> NodeId {
    format!("agent-{number}").parse().expect("a name")
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
        end: (to == ANSWER).then_some((Finish::Length, Tokens(ANSWER))),
    })
}

/// The answer to somebody else's request.
fn foreign(offset: Tokens) -> PullReply {
    PullReply::Chunk(Chunk {
        attempt: AttemptId::from_number(7),
        offset,
        tokens: vec!["not yours".to_owned()],
        end: None,
    })
}

/// An end that counts tokens which never came.
fn cut_short(attempt: AttemptId, offset: Tokens) -> PullReply {
    PullReply::Chunk(Chunk {
        attempt,
        offset,
        tokens: Vec::new(),
        end: Some((Finish::Length, Tokens(ANSWER + 1))),
    })
}

/// Runs one request to its final answer.
fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut machine, first) = Machine::new().expect("the chart is sound");
    let mut outputs = VecDeque::from([first]);
    for _ in 0..PATIENCE {
        let Some(output) = outputs.pop_front() else {
            return world;
        };
        let input = world.perform(output);
        let fenced = world
            .fences
            .pop_front()
            .map(|(id, reply)| Input::Fenced(id, reply));
        for input in input.into_iter().chain(fenced) {
            outputs.extend(machine.step(input, &mut rng));
        }
    }
    panic!("seed {seed}: the request never ends");
}

#[test]
fn an_answer_has_no_gap_and_no_repeat_whatever_is_lost_or_crossed() {
    let whole: Vec<String> = (0..ANSWER).map(token).collect();
    let mut finished = 0;

    for seed in 0..SEEDS {
        let world = run(seed);

        assert_eq!(
            world.emitted[..],
            whole[..world.emitted.len()],
            "seed {seed}"
        );
        if let Some(Output::Finish(_, count)) = world.last {
            assert_eq!(
                (world.emitted.len() as u64, count),
                (ANSWER, Tokens(ANSWER)),
                "seed {seed}"
            );
            finished += 1;
        }
    }

    assert!(
        finished > SEEDS / 2,
        "only {finished} answers came to their end"
    );
}

#[test]
fn not_run_is_said_only_when_no_agent_ever_ran_it() {
    let mut said = 0;

    for seed in 0..SEEDS {
        let world = run(seed);

        let Some(Output::Fail(failure)) = &world.last else {
            continue;
        };
        if failure.ran == Ran::NotRun {
            let ran = world.fates.values().any(|fate| *fate == Fate::Ran);
            assert!(!ran, "seed {seed}");
            said += 1;
        }
    }

    assert!(said > 0, "no history said it");
}

#[test]
fn a_request_ends_once_and_half_an_answer_is_not_given_up_for_the_budget() {
    for seed in 0..SEEDS {
        let world = run(seed);

        let Some(last) = &world.last else {
            panic!("seed {seed}: no final answer");
        };
        if let Output::Fail(failure) = last {
            let half = !world.emitted.is_empty();
            assert!(
                !half || failure.reason != Reason::RetryBudget,
                "seed {seed}"
            );
        }
    }
}
