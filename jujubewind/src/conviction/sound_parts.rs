//! Parts of prompts that cannot be the cause of a crash.

use std::collections::BTreeMap;

use super::Fingerprint;
use super::limits::MAX_SOUND_PARTS;
use super::limits::SOUND_SPAN;
use crate::types::MonoTime;

/// When an answer on a part last went on past its beginning. A part that crashes servers does so as
/// their answer begins, whatever else the prompt holds.
#[derive(Clone, Debug, Default)]
pub struct SoundParts {
    last: BTreeMap<Fingerprint, MonoTime>,
}

impl SoundParts {
    /// Records that an answer on a part went on.
    pub fn record(&mut self, now: MonoTime, part: Fingerprint) {
        if self.last.len() < MAX_SOUND_PARTS || self.last.contains_key(&part) {
            self.last.insert(part, now);
        }
    }

    /// Whether an answer on a part went on lately.
    #[must_use]
    pub fn include(&self, now: MonoTime, part: Fingerprint) -> bool {
        let last = self.last.get(&part);
        last.is_some_and(|last| now.since(*last) < SOUND_SPAN)
    }

    /// Drops parts on which no answer went on lately.
    pub fn expire(&mut self, now: MonoTime) {
        self.last.retain(|_, last| now.since(*last) < SOUND_SPAN);
    }
}
