//! What a demonstration has shown.

use std::fmt::Display;
use std::fmt::Formatter;

use jujubewind::types::Tokens;

use crate::load::Report;

/// The free KV memory of one engine before and after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    /// Free at the start.
    pub before: Tokens,
    /// Free at the end.
    pub after: Tokens,
}

/// What a demonstration has shown.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The answers of the model.
    pub report: Report,
    /// Calls to the plain service that were answered.
    pub answered: u64,
    /// Calls to the plain service that were sent.
    pub calls: u64,
    /// Calls that the plain service executed.
    pub executions: u64,
    /// Each engine's memory.
    pub engines: Vec<EngineMemory>,
}

impl Summary {
    /// Whether no answer was cut, wrong or lost, all calls ran and no engine lost memory.
    #[must_use]
    pub fn is_success(&self) -> bool {
        let is_whole = self.report.wrong() == 0 && self.report.lost == 0;
        let is_run = self.answered == self.calls && self.executions == self.calls;
        is_whole
            && is_run
            && self
                .engines
                .iter()
                .all(|engine| engine.before == engine.after)
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "time to first token by prompt length")?;
        write!(f, "{}", self.report)?;
        writeln!(
            f,
            "service calls {} answered {} executed {}",
            self.calls, self.answered, self.executions
        )?;
        for (place, engine) in self.engines.iter().enumerate() {
            writeln!(
                f,
                "engine {} free memory: {} tokens before, {} after",
                place + 1,
                engine.before.get(),
                engine.after.get()
            )?;
        }
        Ok(())
    }
}
