//! Which convictions an entry keeps outside its memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Fingerprint;
use super::limits::KEEP_INTERVAL;
use crate::types::MonoTime;

/// The convictions that an entry keeps for all: those with a crash that it recorded itself, so that
/// not each entry keeps each of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Kept {
    /// What crashed servers through this entry.
    own: BTreeSet<Fingerprint>,
    /// When each was kept last.
    since: BTreeMap<Fingerprint, MonoTime>,
    changed: BTreeSet<Fingerprint>,
}

impl Kept {
    /// Records that something crashed a server through this entry.
    pub(super) fn record_own(&mut self, print: Fingerprint) {
        self.own.insert(print);
    }

    /// Records that the crashes of something changed, which may convict it now.
    pub(super) fn record_change(&mut self, print: Fingerprint, is_convicted: bool) {
        let is_ours = self.own.contains(&print) && is_convicted;
        if is_ours || self.since.contains_key(&print) {
            self.changed.insert(print);
        }
    }

    /// Records that this entry saw the proof which ends a conviction, whoever keeps it.
    pub(super) fn record_end(&mut self, print: Fingerprint) {
        self.changed.insert(print);
    }

    /// Schedules what has to be kept anew, and forgets what is no longer known.
    pub(super) fn expire(&mut self, now: MonoTime, is_known: impl Fn(&Fingerprint) -> bool) {
        self.own.retain(&is_known);
        self.since.retain(|print, _| is_known(print));
        self.changed.retain(&is_known);
        let is_due = |at: &MonoTime| now.since(*at) >= KEEP_INTERVAL;
        let due = self.since.iter().filter(|(_, at)| is_due(at));
        self.changed.extend(due.map(|(print, _)| *print));
    }

    /// Takes what changed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.changed)
    }

    /// Records whether something is kept from now on.
    pub(super) fn set_kept(&mut self, now: MonoTime, print: Fingerprint, is_kept: bool) {
        if is_kept {
            self.since.insert(print, now);
        } else {
            self.since.remove(&print);
        }
    }
}
