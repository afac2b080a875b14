//! What an engine lists of itself.

use crate::scheduler::ListedSequence;
use crate::types::Incarnation;
use crate::types::Tokens;
use crate::wire::engine::SequenceList;

/// The engine's own account of its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The engine's start number.
    pub incarnation: Incarnation,
    /// The attempts it holds.
    pub sequences: Vec<ListedSequence>,
    /// The names of exported KV caches.
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
