//! What is kept outside the entries.

use super::SuspectRegistry;
use crate::conviction::ConvictionChange;
use crate::conviction::Fingerprint;
use crate::conviction::limits::TOTAL_LIMIT;
use crate::types::MonoTime;

impl SuspectRegistry {
    /// Records that this entry saw the proof which ends a conviction, whoever keeps it.
    pub fn end_conviction(&mut self, print: Fingerprint) {
        self.kept.record_end(print);
    }

    /// Takes the changes of what this entry keeps for all.
    pub fn take_convictions(&mut self, now: MonoTime) -> Vec<ConvictionChange> {
        let changed = self.kept.take_changed();
        let mut convictions = Vec::new();
        for print in changed {
            let is_convicted = self.crashes(now, print) >= TOTAL_LIMIT;
            self.kept.set_kept(now, print, is_convicted);
            if is_convicted {
                let suspects = self.suspects(now, [print]);
                convictions.extend(suspects.into_iter().map(ConvictionChange::Keep));
            } else {
                convictions.push(ConvictionChange::Drop(print));
            }
        }
        convictions
    }
}
