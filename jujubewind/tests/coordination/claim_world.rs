//! Several entries with calls of one key, a store, and a service that counts what it runs.

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

/// What a caller's machine waits for.
#[derive(Debug)]
pub enum Pending {
    /// Its call is on the way to the store.
    Store(Op),
    /// This input is on its way back.
    Input(Input),
    /// A time.
    Until(MonoTime),
    /// Its call is on the way to the service.
    Send(AttemptId),
    /// Nothing.
    Nothing,
}

/// One call at one entry.
pub struct Caller {
    machine: Claimant,
    pub attempt: AttemptId,
    pub pending: Pending,
    pub answers: Vec<Answer>,
    pub crashed: bool,
}

/// What strikes a history, in percent of the steps that it could strike.
#[derive(Clone, Copy)]
pub struct Faults {
    pub store: u32,
    pub send: u32,
    pub crash: u32,
}

/// All parts of a history.
pub struct World {
    pub now: MonoTime,
    pub store: FakeStore,
    pub callers: Vec<Caller>,
    /// Attempts in the order in which the service ran them.
    pub runs: Vec<AttemptId>,
    /// Sends that will reach the service later, their outcome already in doubt.
    stray: Vec<AttemptId>,
    pub sends: BTreeMap<AttemptId, u32>,
    pub faults: Faults,
}

pub const CALM: Faults = Faults {
    store: 0,
    send: 0,
    crash: 0,
};

pub fn call_key() -> CallKey {
    CallKey {
        org: "lublin".parse().expect("a name"),
        service: "payments".parse().expect("a name"),
        method: "transfer".to_owned(),
        key: "2026-12-03/17".to_owned(),
    }
}

/// What the service answers to an attempt: it names the attempt, so that a wrong answer shows.
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
            stray: Vec::new(),
            sends: BTreeMap::new(),
            faults,
        }
    }

    /// Adds a call with `body` and its time; its number is returned.
    pub fn add(&mut self, body: &[u8], time: Millis) -> usize {
        let number = self.callers.len();
        let attempt = AttemptId::from_number(number as u128 + 1);
        let holder = Holder {
            node: format!("entry-{number}").parse().expect("a name"),
            incarnation: Incarnation(1),
        };
        let draft = Draft::new(&call_key(), BodyHash::of(body), attempt, holder, LeaseId(1));
        self.callers.push(Caller {
            machine: Claimant::new(draft, self.now.after(time), Limits::default()),
            attempt,
            pending: Pending::Input(Input::Begin),
            answers: Vec::new(),
            crashed: false,
        });
        number
    }

    /// Gives caller `index` an input and notes what it wants.
    pub fn give(&mut self, index: usize, input: Input) {
        let now = self.now;
        let outputs = self.callers[index].machine.step(now, input);
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

    /// Carries caller `index` one step on, with faults drawn from `rng`.
    pub fn advance(&mut self, index: usize, rng: &mut StdRng) {
        match std::mem::replace(&mut self.callers[index].pending, Pending::Nothing) {
            Pending::Store(op) => {
                let fault = Fault::draw(rng, self.faults.store);
                let outcome = self.store.call(&op, fault);
                self.callers[index].pending = Pending::Input(Input::Store(outcome));
            }
            Pending::Input(input) => self.give(index, input),
            Pending::Until(until) => {
                self.now = self.now.max(until);
                self.give(index, Input::Tick);
            }
            Pending::Send(attempt) => {
                let outcome = self.send(attempt, rng);
                self.callers[index].pending = Pending::Input(Input::Dispatch(outcome));
            }
            Pending::Nothing => {}
        }
    }

    /// Runs one caller until it has nothing left to do.
    pub fn finish(&mut self, index: usize, rng: &mut StdRng) {
        while !matches!(self.callers[index].pending, Pending::Nothing) {
            self.advance(index, rng);
        }
    }

    /// Takes one random step of the whole history.
    pub fn tick(&mut self, rng: &mut StdRng) {
        self.now = self.now.after(Millis(rng.random_range(0..40)));
        if rng.random_ratio(1, 10) {
            self.store.deliver_late(rng);
        }
        if rng.random_ratio(1, 10) && !self.stray.is_empty() {
            let attempt = self.stray.swap_remove(0);
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
            2 => self.stray.push(attempt),
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
