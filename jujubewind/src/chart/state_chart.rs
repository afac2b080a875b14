//! A state machine's transition table, read from YAML.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;

use super::Error;
use super::Result;

/// The format of a chart file: for each state, its events and their target states.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// The transitions between states `S` on events `E`.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    initial: S,
    next: BTreeMap<(S, E), S>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Ord + FromStr,
    E: Copy + Ord + FromStr,
{
    /// Parses a chart file.
    ///
    /// # Errors
    /// The text is not valid YAML, is not a chart, or names an unknown state or event.
    pub fn parse(text: &str) -> Result<Self> {
        let file: ChartFile = serde_norway::from_str(text)?;
        let mut next = BTreeMap::new();
        for (state, events) in &file.states {
            for (event, target) in events {
                next.insert(
                    (parse_name(state)?, parse_name(event)?),
                    parse_name(target)?,
                );
            }
        }
        Ok(Self {
            initial: parse_name(&file.initial)?,
            next,
        })
    }

    /// The initial state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state that follows `state` on `event`; `None` if there is no such transition.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.next.get(&(state, event)).copied()
    }
}

fn parse_name<T: FromStr>(text: &str) -> Result<T> {
    text.parse()
        .map_err(|_| Error::UnknownName(text.to_owned()))
}
