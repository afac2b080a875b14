//! A simulation of claims: several entries that handle calls with the same idempotency key, a
//! store, and a service that records the attempts it runs.

use std::collections::BTreeMap;

use jujubewind::claims::Answer;
use jujubewind::claims::BodyHash;
use jujubewind::claims::CallKey;
use jujubewind::claims::Claimant;
use jujubewind::claims::DispatchOutcome;
use jujubewind::claims::Draft;
use jujubewind::claims::Holder;
use jujubewind::claims::Input;
use jujubewind::claims::Limits;
use jujubewind::claims::Output;
use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::store::LeaseId;
use jujubewind::store::Op;
use jujubewind::types::AttemptId;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::fake_store::FakeStore;
use crate::fake_store::Fault;

/// What a call waits for.
#[derive(Debug)]
pub enum Pending {
    /// The store gets this operation next.
    Store(Op),
    /// This input is delivered next.
    Input(Input),
    /// This time is reached.
    Until(MonoTime),
    /// The service gets this attempt next.
    Send(AttemptId),
    /// The call has ended, or its entry crashed.
    Nothing,
}

/// One call at one entry.
pub struct Caller {
    claimant: Claimant,
    pub attempt: AttemptId,
    pub pending: Pending,
    pub answers: Vec<Answer>,
    pub crashed: bool,
}

/// The frequency of each kind of fault, in percent of the steps in which it could occur.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Faults of store operations; see [`Fault`].
    pub store: u32,
    /// Faults of dispatches to the service; see [`World::send`].
    pub send: u32,
    /// Crashes of an entry.
    pub crash: u32,
}

/// The state of a simulated history.
pub struct World {
    pub now: MonoTime,
    pub store: FakeStore,
    pub callers: Vec<Caller>,
    /// Attempts in the order in which the service ran them.
    pub runs: Vec<AttemptId>,
    /// Attempts that reach the service after their sender has given up on the answer.
    late_sends: Vec<AttemptId>,
    /// Dispatches that were permitted, by attempt.
    pub sends: BTreeMap<AttemptId, u32>,
    pub faults: Faults,
}

pub const NO_FAULTS: Faults = Faults {
    store: 0,
    send: 0,
    crash: 0,
};

pub fn call_key() -> CallKey {
    CallKey {
        org: "lublin".parse().expect("valid name"),
        service: "payments".parse().expect("valid name"),
        method: "transfer".to_owned(),
        key: "2026-12-03/17".to_owned(),
    }
}

/// The service's answer to an attempt. It names the attempt, so that a mixed-up answer is detected.
pub fn service_answer(attempt: AttemptId) -> Vec<u8> {
    attempt.to_string().into_bytes()
}

impl World {
    pub fn new(faults: Faults) -> Self {
        Self {
            now: MonoTime::from_millis(1),
            store: FakeStore::default(),
            callers: Vec::new(),
            runs: Vec::new(),
            late_sends: Vec::new(),
            sends: BTreeMap::new(),
            faults,
        }
    }

    /// Adds a call with `body` and `timeout`, and returns its index.
    pub fn add(&mut self, body: &[u8], timeout: Millis) -> usize {
        let number = self.callers.len();
        let attempt = AttemptId::from_number(number as u128 + 1);
        let holder = Holder {
            node: format!("entry-{number}").parse().expect("valid name"),
            incarnation: Incarnation(1),
        };
        let draft = Draft::new(&call_key(), BodyHash::of(body), attempt, holder, LeaseId(1));
        self.callers.push(Caller {
            claimant: Claimant::new(draft, self.now.after(timeout), Limits::default()),
            attempt,
            pending: Pending::Input(Input::Begin),
            answers: Vec::new(),
            crashed: false,
        });
        number
    }

    /// Passes an input to caller `index` and stores what it waits for next.
    pub fn handle(&mut self, index: usize, input: Input) {
        let now = self.now;
        let outputs = self.callers[index].claimant.step(now, input);
        for output in outputs {
            let pending = match output {
                Output::Store(op) => Pending::Store(op),
                Output::AskHolder(holder) => Pending::Input(Input::Holder {
                    alive: self.is_alive(&holder),
                }),
                Output::Dispatch(permit) => {
                    *self.sends.entry(permit.attempt()).or_default() += 1;
                    Pending::Send(permit.attempt())
                }
                Output::Wait(until) => Pending::Until(until),
                Output::Answer(answer) => {
                    self.callers[index].answers.push(answer);
                    continue;
                }
                Output::End => Pending::Nothing,
            };
            self.callers[index].pending = pending;
        }
    }

    /// Advances caller `index` by one step, with faults drawn from `rng`.
    pub fn advance(&mut self, index: usize, rng: &mut StdRng) {
        match std::mem::replace(&mut self.callers[index].pending, Pending::Nothing) {
            Pending::Store(op) => {
                let fault = Fault::draw(rng, self.faults.store);
                let outcome = self.store.call(&op, fault);
                self.callers[index].pending = Pending::Input(Input::Store(outcome));
            }
            Pending::Input(input) => self.handle(index, input),
            Pending::Until(until) => {
                self.now = self.now.max(until);
                self.handle(index, Input::Tick);
            }
            Pending::Send(attempt) => {
                let outcome = self.send(attempt, rng);
                self.callers[index].pending = Pending::Input(Input::Dispatch(outcome));
            }
            Pending::Nothing => {}
        }
    }

    /// Advances caller `index` until its call has ended.
    pub fn finish(&mut self, index: usize, rng: &mut StdRng) {
        while !matches!(self.callers[index].pending, Pending::Nothing) {
            self.advance(index, rng);
        }
    }

    /// Advances a random caller after a random delay.
    pub fn tick(&mut self, rng: &mut StdRng) {
        self.now = self.now.after(Millis(rng.random_range(0..40)));
        if rng.random_ratio(1, 10) {
            self.store.deliver_late(rng);
        }
        if rng.random_ratio(1, 10) && !self.late_sends.is_empty() {
            let attempt = self.late_sends.swap_remove(0);
            self.runs.push(attempt);
        }
        let index = rng.random_range(0..self.callers.len());
        if self.callers[index].crashed {
            return;
        }
        if rng.random_ratio(self.faults.crash, 100) {
            self.callers[index].crashed = true;
            self.callers[index].pending = Pending::Nothing;
            return;
        }
        self.advance(index, rng);
    }

    fn is_alive(&self, holder: &Holder) -> bool {
        let crashed = |(number, caller): (usize, &Caller)| {
            caller.crashed && holder.node.as_str() == format!("entry-{number}")
        };
        !self.callers.iter().enumerate().any(crashed)
    }

    /// Sends an attempt to the service. A fault refuses it, loses its answer, delays it until after
    /// the sender has given up, or loses it.
    fn send(&mut self, attempt: AttemptId, rng: &mut StdRng) -> DispatchOutcome {
        if !rng.random_ratio(self.faults.send, 100) {
            self.runs.push(attempt);
            return DispatchOutcome::Answered {
                status: 200,
                body: service_answer(attempt),
            };
        }
        match rng.random_range(0..4) {
            0 => return not_run(),
            1 => self.runs.push(attempt),
            2 => self.late_sends.push(attempt),
            _ => {}
        }
        DispatchOutcome::Unknown
    }
}

pub fn not_run() -> DispatchOutcome {
    DispatchOutcome::NotRun(Refusal {
        reason: Reason::QueueFull,
        retry: Millis(100),
    })
}
