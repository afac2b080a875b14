//! Results of a demonstration run.

use std::fmt::Display;
use std::fmt::Formatter;

use jujubewind::types::Tokens;

use crate::load::Report;

/// Free KV memory of one engine before and after the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    /// Free memory before the run.
    pub before: Tokens,
    /// Free memory after the run.
    pub after: Tokens,
}

/// Results of a demonstration run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Results of the model requests.
    pub report: Report,
    /// Service calls that succeeded.
    pub answered: u64,
    /// Service calls that were sent.
    pub calls: u64,
    /// Service calls that were executed.
    pub executions: u64,
    /// Memory of each engine.
    pub engines: Vec<EngineMemory>,
}

impl Summary {
    /// Whether no answer is incomplete, incorrect or lost, each call ran once and no memory leaked.
    #[must_use]
    pub fn is_success(&self) -> bool {
        let is_complete = self.report.bad_answers() == 0 && self.report.lost == 0;
        let is_executed = self.answered == self.calls && self.executions == self.calls;
        is_complete
            && is_executed
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
        for (index, engine) in self.engines.iter().enumerate() {
            writeln!(
                f,
                "engine {} free memory: {} tokens before, {} after",
                index + 1,
                engine.before.get(),
                engine.after.get()
            )?;
        }
        Ok(())
    }
}
