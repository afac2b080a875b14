//! The agent's decisions, apart from sockets and clocks.

use std::collections::BTreeMap;

use super::Attempt;
use super::EngineEvent;
use super::Phase;
use super::attempt::Step;
use crate::chart::StateChart;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Call;
use crate::rpc::message::Cancel;
use crate::rpc::message::CancelReply;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::Quote;
use crate::rpc::message::QuoteReply;
use crate::rpc::message::Start;
use crate::rpc::message::StartReply;
use crate::settings::AgentSettings;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// The chart of an attempt's life.
const CHART: &str = include_str!("../../charts/attempt.yaml");
/// How long an ended attempt can still be asked for its last tokens.
const LINGER: Millis = Millis(10_000);
/// When to come back to an agent that is full.
const RETRY_FULL: Millis = Millis(500);
/// When to come back to a fleet whose agent is leaving.
const RETRY_LEAVING: Millis = Millis(100);
/// Clock drift and network delay allowed for when an attempt's age is compared with our uptime.
const AGE_MARGIN: Millis = Millis(1_000);

/// What the shell around the core must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Give the attempt to the engine.
    Submit(Box<Start>),
    /// Take the attempt from the engine.
    Stop(AttemptId),
    /// Answer whoever waits for the attempt's tokens.
    Wake(AttemptId),
}

/// All attempts of one agent and what it knows of its engine.
#[derive(Debug)]
pub struct Core {
    settings: AgentSettings,
    incarnation: Incarnation,
    chart: StateChart<Phase, Step>,
    attempts: BTreeMap<AttemptId, Attempt>,
    calls: BTreeMap<AttemptId, Option<MonoTime>>,
    fenced: BTreeMap<AttemptId, MonoTime>,
    leaving: bool,
}

impl Core {
    /// Makes the core of an agent that starts now.
    ///
    /// # Errors
    /// The chart of attempts is faulty.
    pub fn new(settings: AgentSettings, incarnation: Incarnation) -> crate::chart::Result<Self> {
        Ok(Self {
            settings,
            incarnation,
            chart: StateChart::parse(CHART)?,
            attempts: BTreeMap::new(),
            calls: BTreeMap::new(),
            fenced: BTreeMap::new(),
            leaving: false,
        })
    }

    /// Refuses all new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// How many attempts and calls are not over.
    #[must_use]
    pub fn open(&self) -> usize {
        let attempts = self.attempts.values().filter(|a| a.phase != Phase::Ended);
        let calls = self.calls.values().filter(|ended| ended.is_none());
        attempts.count() + calls.count()
    }

    /// The engine memory held by attempts that are not over.
    #[must_use]
    pub fn reserved(&self) -> Tokens {
        let open = self.attempts.values().filter(|a| a.phase != Phase::Ended);
        open.map(|a| need(&a.start.quote)).sum()
    }

    /// Whether an answer is whole but its last tokens were not fetched yet.
    #[must_use]
    pub fn unread(&self) -> bool {
        let mut whole = self.attempts.values().filter(|a| a.finish.is_some());
        whole.any(|a| !a.read)
    }

    /// Estimates when a request would get its first token.
    #[must_use]
    pub fn quote(&self, ask: &Quote) -> QuoteReply {
        match self.refusal(ask) {
            Some(refusal) => QuoteReply::Refused(refusal),
            None => QuoteReply::Estimate {
                first: Millis(self.open() as u64),
                total: Millis(self.open() as u64),
                cached: Tokens::ZERO,
            },
        }
    }

    /// Takes or refuses a request; the same attempt again gets the same answer.
    pub fn start(&mut self, now: MonoTime, start: Start) -> (StartReply, Vec<Command>) {
        let id = start.quote.envelope.attempt;
        let accepted = StartReply::Accepted {
            incarnation: self.incarnation,
        };
        if self.attempts.contains_key(&id) {
            return (accepted, Vec::new());
        }
        if self.fenced.contains_key(&id) {
            return (refused(Reason::Cancelled, Millis::ZERO), Vec::new());
        }
        if let Some(refusal) = self.refusal(&start.quote) {
            return (StartReply::Refused(refusal), Vec::new());
        }
        let mut attempt = Attempt::new(start.clone(), now);
        attempt.ran = true;
        attempt.phase = self.next(attempt.phase, Step::Submit);
        self.attempts.insert(id, attempt);
        (accepted, vec![Command::Submit(Box::new(start))])
    }

    /// Answers with what there is of an answer, or `None` if the asker must wait.
    pub fn pull(&mut self, now: MonoTime, ask: &Pull) -> Option<PullReply> {
        let Some(attempt) = self.attempts.get_mut(&ask.envelope.attempt) else {
            return Some(PullReply::Unknown);
        };
        attempt.touched = now;
        let reply = attempt.reply(ask.offset);
        attempt.read |= matches!(&reply, Some(PullReply::Chunk(chunk)) if chunk.end.is_some());
        reply
    }

    /// Fences an attempt and says whether it ever ran; `uptime` is this process's age.
    pub fn cancel(
        &mut self,
        now: MonoTime,
        uptime: Millis,
        ask: &Cancel,
    ) -> (CancelReply, Vec<Command>) {
        let id = ask.envelope.attempt;
        let until = now.after(ask.envelope.remaining).after(LINGER);
        self.fenced.insert(id, until);
        if self.calls.contains_key(&id) {
            return (CancelReply::Ran, Vec::new());
        }
        let Some(attempt) = self.attempts.get(&id) else {
            let known = uptime > ask.age.saturating_add(AGE_MARGIN);
            let reply = if known {
                CancelReply::NotRun
            } else {
                CancelReply::Unknown
            };
            return (reply, Vec::new());
        };
        let reply = if attempt.ran {
            CancelReply::Ran
        } else {
            CancelReply::NotRun
        };
        (reply, self.finish(now, id, Step::Cancel))
    }

    /// Decides whether a call may be sent to the plain service; `None` means it is being sent now.
    ///
    /// The same attempt is never sent twice.
    pub fn begin_call(&mut self, call: &Call) -> Option<Refusal> {
        let id = call.envelope.attempt;
        if self.leaving {
            return Some(refusal(Reason::Leaving, RETRY_LEAVING));
        }
        if !self.settings.models.contains(&call.service) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if call.envelope.remaining == Millis::ZERO {
            return Some(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        if self.fenced.contains_key(&id) || self.calls.contains_key(&id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        if self.open() >= self.settings.slots as usize {
            return Some(refusal(Reason::QueueFull, RETRY_FULL));
        }
        self.calls.insert(id, None);
        None
    }

    /// Notes that a call is over.
    pub fn end_call(&mut self, now: MonoTime, id: AttemptId) {
        self.calls.insert(id, Some(now));
    }

    /// Takes news from the engine.
    pub fn engine(&mut self, now: MonoTime, id: AttemptId, event: EngineEvent) -> Vec<Command> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return vec![Command::Stop(id)];
        };
        match event {
            EngineEvent::Token { offset, text } => {
                if attempt.push(offset, text) {
                    return vec![Command::Wake(id)];
                }
                attempt.failed = Some(false);
                self.finish(now, id, Step::Fail)
            }
            EngineEvent::End { finish, count } if count == attempt.next_offset() => {
                attempt.finish = Some((finish, count));
                self.finish(now, id, Step::End)
            }
            EngineEvent::End { .. } => {
                attempt.failed = Some(false);
                self.finish(now, id, Step::Fail)
            }
            EngineEvent::Failed { died } => {
                attempt.failed = Some(died);
                self.finish(now, id, Step::Fail)
            }
        }
    }

    /// Ends what nobody asks for any more or whose time is over, and forgets what ended long ago.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Command> {
        let orphan = self.settings.orphan;
        let expired: Vec<AttemptId> = self
            .attempts
            .values()
            .filter(|a| a.phase != Phase::Ended)
            .filter(|a| now >= a.deadline || now >= a.touched.after(orphan))
            .map(Attempt::id)
            .collect();
        let mut commands = Vec::new();
        for id in expired {
            commands.extend(self.finish(now, id, Step::Expire));
        }
        self.attempts
            .retain(|_, a| a.phase != Phase::Ended || now < a.touched.after(LINGER));
        self.calls
            .retain(|_, ended| ended.is_none_or(|at| now < at.after(LINGER)));
        self.fenced.retain(|_, until| now < *until);
        commands
    }

    /// Compares what the engine runs with what is held here, and stops what is not.
    #[must_use]
    pub fn reconcile(&self, listed: &[AttemptId]) -> Vec<Command> {
        listed
            .iter()
            .filter(|id| {
                self.attempts
                    .get(id)
                    .is_none_or(|a| a.phase == Phase::Ended)
            })
            .map(|id| Command::Stop(*id))
            .collect()
    }

    fn refusal(&self, ask: &Quote) -> Option<Refusal> {
        if self.leaving {
            return Some(refusal(Reason::Leaving, RETRY_LEAVING));
        }
        if !self.settings.models.contains(&ask.model) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if ask.envelope.remaining == Millis::ZERO {
            return Some(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        if need(ask) > self.settings.memory {
            return Some(refusal(Reason::PromptTooLong, Millis::ZERO));
        }
        if self.reserved().saturating_add(need(ask)) > self.settings.memory {
            return Some(refusal(Reason::NoMemory, RETRY_FULL));
        }
        if self.open() >= self.settings.slots as usize {
            return Some(refusal(Reason::QueueFull, RETRY_FULL));
        }
        None
    }

    fn finish(&mut self, now: MonoTime, id: AttemptId, step: Step) -> Vec<Command> {
        let phase = match self.attempts.get(&id) {
            Some(attempt) => self.next(attempt.phase, step),
            None => return Vec::new(),
        };
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        let was_running = attempt.phase == Phase::Running;
        attempt.phase = phase;
        attempt.touched = now;
        if matches!(step, Step::Cancel | Step::Expire) && attempt.failed.is_none() {
            attempt.failed = Some(false);
        }
        let mut commands = vec![Command::Wake(id)];
        if was_running && step != Step::End {
            commands.push(Command::Stop(id));
        }
        commands
    }

    fn next(&self, phase: Phase, step: Step) -> Phase {
        self.chart.next(phase, step).unwrap_or(phase)
    }
}

/// The engine memory that a request needs: its prompt and its longest answer.
fn need(ask: &Quote) -> Tokens {
    ask.prompt.saturating_add(ask.output)
}

fn refusal(reason: Reason, retry: Millis) -> Refusal {
    Refusal { reason, retry }
}

fn refused(reason: Reason, retry: Millis) -> StartReply {
    StartReply::Refused(refusal(reason, retry))
}
