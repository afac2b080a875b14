//! `explain`: shows where a request would go, and why.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::Result;
use super::entry_client::EntryClient;
use super::options::ExplainOptions;
use super::output::Report;
use crate::entry::CandidateEstimate;
use crate::entry::Destination;
use crate::entry::Estimate;
use crate::entry::Explanation;
use crate::types::Millis;
use crate::types::NodeId;

/// An entry's explanation.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct ExplainReport(Explanation);

/// Requests the explanation of an entry.
///
/// # Errors
/// The entry does not answer, or its catalogue has no such organisation or model.
pub async fn explain(options: &ExplainOptions) -> Result<ExplainReport> {
    let path = format!(
        "/explain?org={}&model={}&tokens={}",
        options.org,
        options.model,
        options.tokens.get()
    );
    let client = EntryClient::new()?;
    let explanation = client.get(options.entry, &path).await?;
    Ok(ExplainReport(explanation))
}

impl Report for ExplainReport {}

impl Display for ExplainReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Explanation {
            org,
            model,
            tokens,
            revision,
            entry,
            class,
            limits,
            ..
        } = &self.0;
        writeln!(f, "{tokens} from {org} to {model} at revision {revision}")?;
        writeln!(f, "entry {entry}, class {class}, limits:")?;
        writeln!(
            f,
            "    {} sustained, {} at once, {} under way",
            limits.request_rate, limits.request_burst, limits.concurrency
        )?;
        writeln!(
            f,
            "    {}, {} a day, prompts to {}, answers to {}",
            limits.token_rate, limits.engine_seconds, limits.longest_prompt, limits.longest_output
        )?;
        writeln!(
            f,
            "    timeout {}, at most {}",
            limits.default_timeout, limits.longest_timeout
        )?;
        for candidate in &self.0.candidates {
            write_candidate(f, candidate)?;
        }
        write_choice(f, &self.0.choice)
    }
}

fn write_candidate(f: &mut Formatter<'_>, candidate: &CandidateEstimate) -> std::fmt::Result {
    write!(f, "asked {}", candidate.node)?;
    if candidate.parts > 1 {
        write!(f, " for one of {} parts", candidate.parts)?;
    }
    match &candidate.answer {
        Estimate::Taken { first, total } => {
            writeln!(f, ": first token in {first}, last in {total}")
        }
        Estimate::TooLong { ceiling } => writeln!(f, ": too long, {ceiling} at most"),
        Estimate::Refused(refusal) => {
            writeln!(
                f,
                ": refused, {}, retry in {}",
                refusal.reason, refusal.retry
            )
        }
        Estimate::Silent => writeln!(f, ": no answer in time"),
        Estimate::Unasked => writeln!(f, ": a plain service, which gives no estimate"),
    }
}

fn write_choice(f: &mut Formatter<'_>, choice: &Destination) -> std::fmt::Result {
    match choice {
        Destination::Nodes { nodes, why } => {
            let names: Vec<&str> = nodes.iter().map(NodeId::as_str).collect();
            write!(f, "goes to {}: {why}", names.join(","))
        }
        Destination::Refused {
            reason,
            retry,
            remedy,
        } => {
            write!(f, "refused, {reason}: {remedy}")?;
            if *retry == Millis::ZERO {
                return Ok(());
            }
            write!(f, " (retry in {retry})")
        }
    }
}
