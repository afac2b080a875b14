//! The agent's decisions, apart from sockets and clocks.

mod intake;
mod news;
mod scheduling;
mod suspects;

use std::collections::BTreeMap;

use super::Attempt;
use super::Command;
use super::Phase;
use super::Quarantine;
use super::attempt::Ending;
use super::attempt::Step;
use super::cached_blocks::CachedBlocks;
use super::calls::Calls;
use crate::chart::StateChart;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::scheduler;
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
}

fn refusal(reason: Reason, retry: Millis) -> Refusal {
    Refusal { reason, retry }
}
