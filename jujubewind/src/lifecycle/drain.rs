//! The decisions of a stop.

use super::DrainEvent;
use super::DrainLimits;
use super::DrainPhase;
use super::OpenRequests;
use super::Result;
use crate::chart::StateChart;
use crate::refusal::Refusal;
use crate::types::MonoTime;

/// The phases of a stop and what leads from one to the next.
const CHART: &str = include_str!("../../charts/drain.yaml");

/// A stop under way: feed it the load, ask it whether to take a request and whether to end.
#[derive(Clone, Debug)]
pub struct Drain {
    chart: StateChart<DrainPhase, DrainEvent>,
    phase: DrainPhase,
    limits: DrainLimits,
    began: MonoTime,
    busy: MonoTime,
}

impl Drain {
    /// Begins a stop.
    ///
    /// # Errors
    /// The chart is faulty.
    pub fn begin(now: MonoTime, limits: DrainLimits) -> Result<Self> {
        let chart = StateChart::parse(CHART)?;
        let mut drain = Self {
            phase: chart.initial(),
            chart,
            limits,
            began: now,
            busy: now,
        };
        drain.end_grace(now);
        Ok(drain)
    }

    /// How far the stop has come.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Whether the process may end.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.phase == DrainPhase::Ended
    }

    /// Why a new request is refused; `None` while it is taken.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        let refuses = self.phase != DrainPhase::Accepting;
        refuses.then_some(Refusal {
            reason: self.limits.reason,
            retry: self.limits.retry,
        })
    }

    /// Takes in another stop signal; the stop under way goes on unchanged.
    pub fn stop_again(&mut self) {
        self.step(DrainEvent::Stop);
    }

    /// Moves on as time and load allow.
    pub fn tick(&mut self, now: MonoTime, load: OpenRequests) -> DrainPhase {
        self.end_grace(now);
        if load.open > 0 {
            self.busy = now;
        }
        if now.since(self.busy) >= self.limits.settle && load.open == 0 {
            self.step(DrainEvent::Quiet);
        }
        if load.open > 0 && now > load.deadline.after(self.limits.settle) {
            self.step(DrainEvent::Expired);
        }
        self.phase
    }

    fn end_grace(&mut self, now: MonoTime) {
        if now.since(self.began) >= self.limits.grace {
            self.step(DrainEvent::GraceOver);
        }
    }

    /// An event that does not apply in this phase changes nothing.
    fn step(&mut self, event: DrainEvent) {
        if let Some(next) = self.chart.next(self.phase, event) {
            self.phase = next;
        }
    }
}
