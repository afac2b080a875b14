//! The agent's decisions, apart from sockets and clocks.

mod suspects;

use std::collections::BTreeMap;

use super::Attempt;
use super::Command;
use super::EngineEvent;
use super::Phase;
use super::Quarantine;
use super::attempt::Ending;
use super::attempt::Step;
use super::cached_blocks::CachedBlocks;
use super::calls::Calls;
use super::listing::Listing;
use crate::chart::StateChart;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Call;
use crate::rpc::message::Cancel;
use crate::rpc::message::CancelReply;
use crate::rpc::message::Finish;
use crate::rpc::message::Hold;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::Quote;
use crate::rpc::message::QuoteReply;
use crate::rpc::message::Start;
use crate::rpc::message::StartReply;
use crate::scheduler;
use crate::scheduler::Action;
use crate::scheduler::Job;
use crate::scheduler::Scheduler;
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
/// When to come back to an agent whose engine is gone.
const RETRY_DOWN: Millis = Millis(500);
/// When to come back to a fleet whose agent is leaving.
const RETRY_LEAVING: Millis = Millis(100);
/// Clock drift and network delay allowed for when an attempt's age is compared with our uptime.
const AGE_MARGIN: Millis = Millis(1_000);

/// All attempts of one agent and what it knows of its backend server.
#[derive(Debug)]
pub struct Core {
    settings: AgentSettings,
    incarnation: Incarnation,
    chart: StateChart<Phase, Step>,
    scheduler: Scheduler,
    cached: CachedBlocks,
    attempts: BTreeMap<AttemptId, Attempt>,
    calls: Calls,
    fenced: BTreeMap<AttemptId, MonoTime>,
    quarantine: Quarantine,
    engine: Option<Incarnation>,
    down: bool,
    strays: Vec<String>,
    leaving: bool,
}

impl Core {
    /// Makes the core of an agent that starts now.
    ///
    /// # Errors
    /// The chart of attempts is faulty.
    pub fn new(settings: AgentSettings, incarnation: Incarnation) -> crate::chart::Result<Self> {
        let mut parameters =
            scheduler::Settings::for_engine(settings.memory, settings.slots as usize);
        parameters.ttl = settings.orphan;
        Ok(Self {
            scheduler: Scheduler::new(parameters, settings.cost.clone()),
            cached: CachedBlocks::default(),
            settings,
            incarnation,
            chart: StateChart::parse(CHART)?,
            attempts: BTreeMap::new(),
            calls: Calls::default(),
            fenced: BTreeMap::new(),
            quarantine: Quarantine::default(),
            engine: None,
            down: false,
            strays: Vec::new(),
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
        let attempts = self.attempts.values().filter(|a| a.is_open());
        attempts.count() + self.calls.open()
    }

    /// Whether an answer is whole but its end was not fetched yet.
    #[must_use]
    pub fn unread(&self) -> bool {
        self.attempts.values().any(Attempt::is_unread)
    }

    /// The engine memory that is reserved.
    #[must_use]
    pub fn reserved(&self) -> Tokens {
        self.scheduler.ledger().used()
    }

    /// What is known of the engine's prefix cache.
    pub fn cached(&mut self) -> &mut CachedBlocks {
        &mut self.cached
    }

    /// Estimates when a request would get its first token.
    #[must_use]
    pub fn quote(&self, now: MonoTime, ask: &Quote) -> QuoteReply {
        if let Some(refusal) = self.refusal(ask) {
            return QuoteReply::Refused(refusal);
        }
        match self.scheduler.quote(now, &self.job(ask)) {
            Ok(estimate) => QuoteReply::Estimate {
                first: estimate.first,
                total: estimate.total,
                cached: estimate.cached,
            },
            Err(refusal) if refusal.reason == Reason::PromptTooLong => QuoteReply::TooLong {
                ceiling: self.scheduler.ledger().ceiling(true),
            },
            Err(refusal) => QuoteReply::Refused(refusal),
        }
    }

    /// Holds memory for a part of a group, or says why not; the engine must then be asked too.
    pub fn hold(&mut self, now: MonoTime, ask: &Hold) -> Option<Refusal> {
        let id = ask.envelope.attempt;
        if self.leaving && !self.scheduler.holds(id) {
            return Some(refusal(Reason::Leaving, RETRY_LEAVING));
        }
        if !self.settings.models.contains(&ask.model) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if self.fenced.contains_key(&id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        if !self.quarantine.is_empty() && !self.scheduler.holds(id) {
            return Some(refusal(Reason::QueueFull, RETRY_FULL));
        }
        self.scheduler.hold(now, id, ask.amount, ask.span).err()
    }

    /// Notes that the engine would not hold a part, which may be asked for again.
    pub fn unhold(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        self.scheduler.unhold(id);
        self.schedule(now)
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
            let refusal = refusal(Reason::Cancelled, Millis::ZERO);
            return (StartReply::Refused(refusal), Vec::new());
        }
        if let Some(refusal) = self.refusal(&start.quote) {
            return (StartReply::Refused(refusal), Vec::new());
        }
        let job = self.job(&start.quote);
        if start.quote.alone {
            self.quarantine.push(id);
        } else if let Err(refusal) = self.scheduler.admit(now, job) {
            return (StartReply::Refused(refusal), Vec::new());
        }
        self.attempts.insert(id, Attempt::new(start, now));
        (accepted, self.schedule(now))
    }

    /// Answers with what there is of an answer, or `None` if the asker must wait.
    pub fn pull(&mut self, now: MonoTime, ask: &Pull) -> Option<PullReply> {
        let Some(attempt) = self.attempts.get_mut(&ask.envelope.attempt) else {
            return Some(PullReply::Unknown);
        };
        attempt.touched = now;
        self.scheduler.renew(now, attempt.id());
        attempt.reply(ask.offset)
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
        if self.calls.sent(id) {
            return (CancelReply::Ran, Vec::new());
        }
        let Some(attempt) = self.attempts.get(&id) else {
            let known = uptime > ask.age.saturating_add(AGE_MARGIN);
            let reply = if known {
                CancelReply::NotRun
            } else {
                CancelReply::Unknown
            };
            self.scheduler.cancel(now, id);
            return (reply, self.schedule(now));
        };
        let waiting = attempt.phase == Phase::Waiting;
        let unrun = self.scheduler.cancel(now, id) || waiting;
        let ending = Ending::Refused(refusal(Reason::Cancelled, Millis::ZERO));
        let mut commands = self.finish(now, id, Step::Cancel, ending);
        commands.extend(self.schedule(now));
        let reply = if unrun {
            CancelReply::NotRun
        } else {
            CancelReply::Ran
        };
        (reply, commands)
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
        if self.open() >= self.settings.slots as usize {
            return Some(refusal(Reason::QueueFull, RETRY_FULL));
        }
        if self.fenced.contains_key(&id) || !self.calls.begin(id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        None
    }

    /// Notes that a call is over.
    pub fn end_call(&mut self, now: MonoTime, id: AttemptId) {
        self.calls.end(now, id);
    }

    /// Takes news from the engine.
    pub fn engine(&mut self, now: MonoTime, id: AttemptId, event: EngineEvent) -> Vec<Command> {
        if !self.attempts.contains_key(&id) {
            return vec![Command::Stop(id)];
        }
        let mut commands = match event {
            EngineEvent::Token { offset, text } => return self.token(now, id, offset, text),
            EngineEvent::End { finish, count } => self.whole(now, id, finish, count),
            EngineEvent::Failed { life } => self.failed(now, id, life),
            EngineEvent::Refused => {
                self.scheduler.ended(now, id);
                self.finish(now, id, Step::Fail, Ending::Failed { crash: None })
            }
            EngineEvent::Paused { handle } => self.paused(now, id, handle),
            EngineEvent::Stopped => {
                self.scheduler.ended(now, id);
                Vec::new()
            }
        };
        commands.extend(self.schedule(now));
        commands
    }

    fn token(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        offset: Tokens,
        text: String,
    ) -> Vec<Command> {
        let kept = self.attempts.get_mut(&id).and_then(|attempt| {
            let kept = attempt.push(offset, text);
            kept.then(|| attempt.written())
        });
        match kept {
            Some(written) => {
                self.scheduler.progress(now, id, written);
                vec![Command::Wake(id)]
            }
            None => self.broken(now, id),
        }
    }

    fn whole(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        finish: Finish,
        count: Tokens,
    ) -> Vec<Command> {
        let next = self.attempts.get(&id).map(Attempt::next_offset);
        if next != Some(count) {
            return self.broken(now, id);
        }
        self.scheduler.ended(now, id);
        self.finish(now, id, Step::End, Ending::Whole(finish, count))
    }

    /// Ends an attempt whose tokens have a gap or a wrong count.
    fn broken(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        self.scheduler.cancel(now, id);
        let mut commands = self.finish(now, id, Step::Fail, Ending::Failed { crash: None });
        commands.extend(self.schedule(now));
        commands
    }

    fn paused(&mut self, now: MonoTime, id: AttemptId, handle: String) -> Vec<Command> {
        match self.attempts.get_mut(&id) {
            Some(attempt) if attempt.is_open() => {
                attempt.export = Some(handle);
                self.scheduler.paused(now, id);
                Vec::new()
            }
            _ => vec![Command::Drop(handle)],
        }
    }

    /// Lets time pass: expiry, deadlines, and work that can go on.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Command> {
        self.attempts
            .retain(|_, a| a.is_open() || now < a.touched.after(LINGER));
        self.calls.prune(now);
        self.fenced.retain(|_, until| now < *until);
        let mut commands = self.expire_quarantine(now);
        commands.extend(self.schedule(now));
        commands
    }

    /// Compares what the engine lists with what is held here; a new engine start number means
    /// that it lost all it had.
    pub fn reconcile(&mut self, now: MonoTime, listing: &Listing) -> Vec<Command> {
        self.down = false;
        if self
            .engine
            .replace(listing.incarnation)
            .is_some_and(|old| old != listing.incarnation)
        {
            self.scheduler.restarted(now);
            self.cached = CachedBlocks::default();
        }
        self.scheduler.reconcile(now, &listing.sequences);
        let mut commands = self.drop_stray_exports(&listing.exports);
        commands.extend(self.schedule(now));
        commands
    }

    /// Drops exports that nobody here knows in two listings in a row: one may be on its way.
    fn drop_stray_exports(&mut self, exports: &[String]) -> Vec<Command> {
        let known: Vec<&String> = self
            .attempts
            .values()
            .filter_map(|a| a.export.as_ref())
            .collect();
        let strays: Vec<String> = exports
            .iter()
            .filter(|e| !known.contains(e))
            .cloned()
            .collect();
        let before = std::mem::replace(&mut self.strays, strays.clone());
        let twice = strays.into_iter().filter(|stray| before.contains(stray));
        twice.map(Command::Drop).collect()
    }

    /// Carries the scheduler's actions over to the attempts.
    fn schedule(&mut self, now: MonoTime) -> Vec<Command> {
        let mut commands = self.take_turn(now);
        let actions = self.scheduler.poll(now);
        for action in actions {
            commands.extend(self.act(now, action));
        }
        commands
    }

    fn act(&mut self, now: MonoTime, action: Action) -> Vec<Command> {
        match action {
            Action::Submit { attempt, priority } => self.submit(attempt, priority),
            Action::Pause { attempt } => vec![Command::Export(attempt)],
            Action::Resume { attempt, .. } => self.resume(attempt),
            Action::Cancel { attempt } => {
                let ending = Ending::Refused(refusal(Reason::Cancelled, Millis::ZERO));
                let mut commands = self.finish(now, attempt, Step::Cancel, ending);
                commands.push(Command::Stop(attempt));
                commands
            }
            Action::Release { attempt } => vec![Command::Release(attempt)],
            Action::Expire { attempt, refusal } => {
                self.finish(now, attempt, Step::Refuse, Ending::Refused(refusal))
            }
            Action::Lost { attempt } => self.lost(now, attempt),
        }
    }

    fn submit(&mut self, id: AttemptId, priority: u8) -> Vec<Command> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(phase) = self.chart.next(attempt.phase, Step::Submit) {
            attempt.phase = phase;
        }
        attempt.life = self.engine.filter(|_| !self.down);
        vec![Command::Submit(Box::new(attempt.start.clone()), priority)]
    }

    fn resume(&mut self, id: AttemptId) -> Vec<Command> {
        let attempt = self.attempts.get_mut(&id);
        let handle = attempt.and_then(|attempt| attempt.export.take());
        handle
            .map(|handle| Command::Import(id, handle))
            .into_iter()
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
        if self.down && !ask.alone {
            return Some(refusal(Reason::BackendDown, RETRY_DOWN));
        }
        let taken = if ask.alone {
            self.quarantine.is_full()
        } else {
            !self.quarantine.is_empty()
        };
        taken.then(|| refusal(Reason::QueueFull, RETRY_FULL))
    }

    fn job(&self, ask: &Quote) -> Job {
        Job {
            attempt: ask.envelope.attempt,
            org: ask.org.clone(),
            class: ask.class,
            prompt: ask.prompt,
            cached: self.cached.prefix(&ask.marks),
            output: ask.output,
            parts: ask.parts,
            remaining: ask.envelope.remaining,
        }
    }

    fn finish(&mut self, now: MonoTime, id: AttemptId, step: Step, ending: Ending) -> Vec<Command> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        let crashed = matches!(&ending, Ending::Failed { crash: Some(_) });
        let ending = match (attempt.phase, ending) {
            (Phase::Running, Ending::Refused(_)) => Ending::Failed { crash: None },
            (_, ending) => ending,
        };
        if let Some(phase) = self.chart.next(attempt.phase, step) {
            attempt.phase = phase;
            attempt.touched = now;
            attempt.end(ending);
        }
        let dropped = attempt.export.take().map(Command::Drop);
        let mut commands: Vec<Command> = dropped.into_iter().chain([Command::Wake(id)]).collect();
        if crashed {
            commands.extend(self.refuse_copies(now, id));
        }
        commands
    }
}

fn refusal(reason: Reason, retry: Millis) -> Refusal {
    Refusal { reason, retry }
}
