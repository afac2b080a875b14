//! Parts of prompts that cannot be the cause of a crash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Fingerprint;
use super::limits::CRASH_TTL;
use super::limits::MAX_SOUND_PARTS;
use super::limits::SOUND_SPAN;
use crate::types::MonoTime;

/// When an answer on a part last went on past its beginning. A part that crashes servers does so as
/// their answer begins, whatever else the prompt holds.
#[derive(Clone, Debug, Default)]
pub struct SoundParts {
    last: BTreeMap<Fingerprint, MonoTime>,
    order: BTreeSet<(MonoTime, Fingerprint)>,
}

impl SoundParts {
    /// Records that an answer on a part went on.
    pub fn record(&mut self, now: MonoTime, part: Fingerprint) {
        if let Some(last) = self.last.insert(part, now) {
            self.order.remove(&(last, part));
        }
        self.order.insert((now, part));
        if self.last.len() > MAX_SOUND_PARTS {
            self.drop_oldest();
        }
    }

    /// Whether an answer on a part went on lately.
    #[must_use]
    pub fn include(&self, now: MonoTime, part: Fingerprint) -> bool {
        let last = self.last.get(&part);
        last.is_some_and(|last| now.since(*last) < SOUND_SPAN)
    }

    /// Whether an answer on a part has gone on before. The part may have turned fatal since.
    #[must_use]
    pub fn knows(&self, part: Fingerprint) -> bool {
        self.last.contains_key(&part)
    }

    /// Drops parts on which no answer went on for as long as a crash counts.
    pub fn expire(&mut self, now: MonoTime) {
        let is_old = |last: &MonoTime| now.since(*last) >= CRASH_TTL;
        while self.order.first().is_some_and(|(last, _)| is_old(last)) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, part)) = self.order.pop_first() {
            self.last.remove(&part);
        }
    }
}
