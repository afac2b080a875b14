//! `catalogue check`: validates a folder without any connection.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::Exit;
use super::Result;
use super::options::CheckOptions;
use super::output::Report;
use crate::catalogue::Catalogue;
use crate::catalogue::Error;
use crate::catalogue::Fault;

/// The result of `catalogue check`.
#[derive(Clone, Debug, Serialize)]
pub struct CheckReport {
    sound: bool,
    entries: usize,
    organisations: usize,
    faults: Vec<FaultLine>,
}

/// A fault, as printed and serialized.
#[derive(Clone, Debug, Serialize)]
struct FaultLine {
    file: String,
    line: Option<usize>,
    key: String,
    problem: String,
    #[serde(skip)]
    text: String,
}

/// Validates a folder.
///
/// # Errors
/// The folder cannot be read.
pub fn check(options: &CheckOptions) -> Result<CheckReport> {
    match Catalogue::read_dir(&options.dir) {
        Ok(catalogue) => Ok(CheckReport {
            sound: true,
            entries: catalogue.entries().count(),
            organisations: catalogue.parts().count(),
            faults: Vec::new(),
        }),
        Err(Error::Invalid(faults)) => Ok(CheckReport {
            sound: false,
            entries: 0,
            organisations: 0,
            faults: faults.0.iter().map(FaultLine::new).collect(),
        }),
        Err(error) => Err(error.into()),
    }
}

impl FaultLine {
    fn new(fault: &Fault) -> Self {
        Self {
            file: fault.file.clone(),
            line: fault.line,
            key: fault.key.clone(),
            problem: fault.problem.to_string(),
            text: fault.to_string(),
        }
    }
}

impl Report for CheckReport {
    fn exit(&self) -> Exit {
        if self.sound {
            Exit::Success
        } else {
            Exit::Refused
        }
    }
}

impl Display for CheckReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        if self.sound {
            return write!(
                f,
                "sound: {} entries of {} organisations",
                self.entries, self.organisations
            );
        }
        for fault in &self.faults {
            writeln!(f, "{}", fault.text)?;
        }
        write!(f, "refused: {} faults", self.faults.len())
    }
}
