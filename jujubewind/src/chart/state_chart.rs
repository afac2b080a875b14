//! A chart of states and events, read from YAML and interpreted.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;

use super::Error;
use super::Result;

/// The form of a chart file: for each state, its events and the states they lead to.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// The transitions between the states `S` on the events `E`.
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
    /// Reads a chart from the text of its file.
    ///
    /// # Errors
    /// The text is not YAML of the expected form, or names a state or event unknown to the code.
    pub fn parse(text: &str) -> Result<Self> {
        let file: File = serde_norway::from_str(text)?;
        let mut next = BTreeMap::new();
        for (state, events) in &file.states {
            for (event, target) in events {
                next.insert((named(state)?, named(event)?), named(target)?);
            }
        }
        Ok(Self {
            initial: named(&file.initial)?,
            next,
        })
    }

    /// The state in which a life begins.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state to which `event` leads from `state`; `None` if it does not apply there.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.next.get(&(state, event)).copied()
    }
}

fn named<T: FromStr>(text: &str) -> Result<T> {
    text.parse()
        .map_err(|_| Error::UnknownName(text.to_owned()))
}
