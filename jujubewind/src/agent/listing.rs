//! The engine's list of its sequences and exports.

use crate::scheduler::ListedSequence;
use crate::types::Incarnation;
use crate::types::Tokens;
use crate::wire::engine::SequenceList;

/// The sequences and exports that the engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The sequences that it holds.
    pub sequences: Vec<ListedSequence>,
    /// The handles of exported KV caches.
    pub exports: Vec<String>,
}

impl From<SequenceList> for Listing {
    fn from(list: SequenceList) -> Self {
        let sequences = list.sequences.iter().filter_map(|sequence| {
            Some(ListedSequence {
                attempt: sequence.request_id.parse().ok()?,
                held: Tokens(sequence.tokens),
            })
        });
        Self {
            incarnation: Incarnation(list.incarnation),
            sequences: sequences.collect(),
            exports: list
                .exports
                .into_iter()
                .map(|export| export.handle)
                .collect(),
        }
    }
}
