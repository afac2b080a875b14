//! The agent's decision logic, free of sockets and clocks.

mod engine_events;
mod intake;
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
use super::call_limit::CallLimit;
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

/// The state chart of an attempt.
const CHART: &str = include_str!("../../charts/attempt.yaml");
/// How long the last tokens of an ended attempt can still be pulled.
const RETENTION: Millis = Millis(10_000);
/// Retry delay when the agent is full.
const FULL_RETRY_DELAY: Millis = Millis(500);
/// Retry delay when the engine is down.
const ENGINE_DOWN_RETRY_DELAY: Millis = Millis(500);
/// Retry delay when the agent is leaving; another agent can serve the request.
const LEAVING_RETRY_DELAY: Millis = Millis(100);
/// Allowance for clock drift and network delay when an attempt's age is compared with the uptime.
const AGE_MARGIN: Millis = Millis(1_000);

/// All attempts of one agent and the known state of its backend server.
#[derive(Debug)]
pub struct Core {
    settings: AgentSettings,
    incarnation: Incarnation,
    chart: StateChart<Phase, Step>,
    scheduler: Scheduler,
    cached: CachedBlocks,
    attempts: BTreeMap<AttemptId, Attempt>,
    calls: Calls,
    call_limit: CallLimit,
    fenced: BTreeMap<AttemptId, MonoTime>,
    quarantine: Quarantine,
    engine_incarnation: Option<Incarnation>,
    engine_down: bool,
    orphan_exports: Vec<String>,
    leaving: bool,
}

impl Core {
    /// Creates the core of an agent that starts now.
    ///
    /// # Errors
    /// The state chart of attempts is invalid.
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
            call_limit: CallLimit::default(),
            fenced: BTreeMap::new(),
            quarantine: Quarantine::default(),
            engine_incarnation: None,
            engine_down: false,
            orphan_exports: Vec::new(),
            leaving: false,
        })
    }

    /// Refuses all new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The number of attempts and calls that have not ended.
    #[must_use]
    pub fn open_count(&self) -> usize {
        let attempts = self.attempts.values().filter(|a| a.is_open());
        attempts.count() + self.calls.open_count()
    }

    /// Whether any output is complete but its end was not fetched yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.attempts.values().any(Attempt::is_unread)
    }

    /// The engine memory that is allocated.
    #[must_use]
    pub fn reserved(&self) -> Tokens {
        self.scheduler.ledger().used()
    }

    /// The view of the engine's prefix cache.
    pub fn cached_blocks(&mut self) -> &mut CachedBlocks {
        &mut self.cached
    }

    /// Advances time: handles expiry and deadlines and dispatches work.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Command> {
        self.attempts
            .retain(|_, a| a.is_open() || now < a.last_access.after(RETENTION));
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
