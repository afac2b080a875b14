//! Draining a daemon before it exits.

use super::DrainEvent;
use super::DrainLimits;
use super::DrainPhase;
use super::OpenRequests;
use super::Result;
use crate::chart::StateChart;
use crate::refusal::Refusal;
use crate::types::MonoTime;

/// The state chart of the drain phases.
const CHART: &str = include_str!("../../charts/drain.yaml");

/// A drain in progress, without I/O. The caller reports the open requests and asks whether to
/// accept new ones and whether to exit.
#[derive(Clone, Debug)]
pub struct Drain {
    chart: StateChart<DrainPhase, DrainEvent>,
    phase: DrainPhase,
    limits: DrainLimits,
    started: MonoTime,
    last_busy: MonoTime,
}

impl Drain {
    /// Starts draining.
    ///
    /// # Errors
    /// Fails if the state chart is invalid.
    pub fn begin(now: MonoTime, limits: DrainLimits) -> Result<Self> {
        let chart = StateChart::parse(CHART)?;
        let mut drain = Self {
            phase: chart.initial(),
            chart,
            limits,
            started: now,
            last_busy: now,
        };
        drain.end_grace(now);
        Ok(drain)
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Whether the process may exit.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.phase == DrainPhase::Ended
    }

    /// Returns why new requests are refused; `None` while they are accepted.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        let refuses = self.phase != DrainPhase::Accepting;
        refuses.then_some(Refusal {
            reason: self.limits.reason,
            retry: self.limits.retry,
        })
    }

    /// Handles a repeated stop signal; the drain continues unchanged.
    pub fn stop_again(&mut self) {
        self.apply(DrainEvent::Stop);
    }

    /// Advances the phase according to the time and the open requests.
    pub fn tick(&mut self, now: MonoTime, requests: OpenRequests) -> DrainPhase {
        self.end_grace(now);
        if requests.open > 0 {
            self.last_busy = now;
        }
        if now.since(self.last_busy) >= self.limits.settle && requests.open == 0 {
            self.apply(DrainEvent::Quiet);
        }
        if requests.open > 0 && now > requests.deadline.after(self.limits.settle) {
            self.apply(DrainEvent::Expired);
        }
        self.phase
    }

    fn end_grace(&mut self, now: MonoTime) {
        if now.since(self.started) >= self.limits.grace {
            self.apply(DrainEvent::GraceOver);
        }
    }

    /// Applies an event; one without a transition in this phase changes nothing.
    fn apply(&mut self, event: DrainEvent) {
        if let Some(next) = self.chart.next(self.phase, event) {
            self.phase = next;
        }
    }
}
