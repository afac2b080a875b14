//! Validation faults with their locations.

use std::fmt::Display;
use std::fmt::Formatter;

use super::Problem;

/// A validation fault and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file or stored part.
    pub file: String,
    /// The line number, starting at 1, if known.
    pub line: Option<usize>,
    /// The key, such as `deeds.limits.concurrency`; empty for a whole file.
    pub key: String,
    /// The problem and its remedy.
    pub problem: Problem,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:", self.file)?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.problem)
    }
}

/// All faults of an invalid catalogue, ordered by file and entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Display for Faults {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
