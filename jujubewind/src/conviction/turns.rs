//! In which order the entries may begin a trial.

use rapidhash::v3::rapidhash_v3;

use super::Fingerprint;
use super::limits::TRIAL_STEP;
use crate::types::Millis;
use crate::types::NodeId;

/// An entry's place among those that may begin a trial.
///
/// The number of entries that may begin one doubles with each [`TRIAL_STEP`], so that about as many
/// requests find one due within a step however many entries and requests there are. A trial that
/// begins is told to the others, which then wait for its end.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    node: u64,
    entries: usize,
}

impl Turns {
    /// The place of an entry that knows no other.
    pub(super) fn of(node: &NodeId) -> Self {
        Self {
            node: rapidhash_v3(node.as_str().as_bytes()),
            entries: 1,
        }
    }

    /// Sets the number of entries.
    pub(super) fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// How long after a trial of `print` is due this entry may begin it; the order changes with the
    /// number of trials that have `failed`.
    pub(super) fn delay(&self, print: Fingerprint, failed: usize) -> Millis {
        let mut bytes = print.to_string().into_bytes();
        bytes.extend(self.node.to_le_bytes());
        bytes.extend((failed as u64).to_le_bytes());
        let draw = u128::from(rapidhash_v3(&bytes));
        let rank = (draw * self.entries as u128) >> u64::BITS;
        Millis(TRIAL_STEP.get() * u64::from((rank + 1).ilog2()))
    }
}
