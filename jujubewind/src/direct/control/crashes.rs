//! To which requests and parts of prompts a crash of a backend server is attributed.

use super::Core;
use crate::conviction::ConvictionChange;
use crate::conviction::Fingerprint;
use crate::conviction::Prints;
use crate::conviction::Suspect;
use crate::conviction::limits::TOTAL_LIMIT;
use crate::direct::JobId;
use crate::direct::ServerId;
use crate::types::MonoTime;
use crate::types::NodeId;

impl Core {
    /// Records that a request's answer went on past its beginning, so that its parts are sound.
    pub fn mark_progressed(&mut self, now: MonoTime, job: JobId, prints: &Prints) {
        self.progressed.insert(job);
        self.record_sound_parts(now, prints);
    }

    pub(super) fn record_sound_parts(&mut self, now: MonoTime, prints: &Prints) {
        for part in prints.parts.iter() {
            self.sound_parts.record(now, *part);
            self.clear(now, *part);
        }
    }

    /// Clears a request or a part of crashes, since an answer to it went on.
    pub(super) fn clear(&mut self, now: MonoTime, print: Fingerprint) {
        let crashes = self.suspects.crashes(now, print);
        self.suspects.record_completion(print);
        if crashes >= TOTAL_LIMIT {
            crate::event!(info, "conviction_lifted", print = print, crashes = crashes);
            self.suspects.end_conviction(print);
        }
    }

    /// Attributes a crash to a request, and to the parts of its prompt if its answer was only
    /// beginning.
    pub(super) fn record_crash(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        prints: &Prints,
        has_progressed: bool,
    ) {
        let Some(crash) = self.roster.crash_identity(server) else {
            return;
        };
        for print in prints.iter() {
            let is_part = print != prints.request;
            if is_part && (has_progressed || self.sound_parts.include(now, print)) {
                continue;
            }
            self.suspects.record_crash(now, print, &crash, false);
            if is_part && self.sound_parts.knows(print) {
                self.suspects.mark_sound(print);
            }
            crate::event!(
                info,
                "crash_recorded",
                server = server,
                print = print,
                crashes = self.suspects.crashes(now, print)
            );
        }
        self.suspects.record_companions(prints);
    }

    /// Records that a backend server responded: connections to it that broke before were no crash.
    pub(super) fn record_alive(&mut self, now: MonoTime, server: &ServerId) {
        let listed = self.roster.get(server);
        if self.suspects.is_empty() || listed.is_none_or(|listed| listed.started.is_none()) {
            return;
        }
        if let Some(crash) = self.roster.crash_identity(server) {
            self.suspects.record_alive(now, crash.id());
        }
    }

    /// What is refused since it crashed backend servers.
    pub(super) fn convicted(&self, now: MonoTime) -> Vec<Suspect> {
        self.suspects.convicted(now)
    }

    /// Takes the changes of the convictions that this entry keeps for all.
    pub fn take_convictions(&mut self, now: MonoTime) -> Vec<ConvictionChange> {
        self.suspects.take_convictions(now)
    }

    /// Merges convictions that were kept while no entry ran, or by entries that do not reach this one.
    pub fn restore_convictions(&mut self, now: MonoTime, suspects: &[Suspect]) {
        let node = self.settings.node.clone();
        self.merge_suspects(now, &node, suspects);
    }

    /// Merges what a peer suspects. An answer that went on here clears a part there.
    pub(super) fn merge_suspects(&mut self, now: MonoTime, peer: &NodeId, suspects: &[Suspect]) {
        let prints = || suspects.iter().map(|suspect| suspect.print);
        let is_convicted =
            |core: &Self, print: &Fingerprint| core.suspects.crashes(now, *print) >= TOTAL_LIMIT;
        let known: Vec<Fingerprint> = prints().filter(|print| is_convicted(self, print)).collect();
        self.suspects.merge(now, suspects);
        for print in prints() {
            if self.sound_parts.include(now, print) {
                self.clear(now, print);
                continue;
            }
            if self.sound_parts.knows(print) {
                self.suspects.mark_sound(print);
            }
            match (known.contains(&print), is_convicted(self, &print)) {
                (false, true) => {
                    crate::event!(warn, "content_convicted", print = print, peer = peer);
                }
                (true, false) => {
                    crate::event!(info, "conviction_lifted", print = print, peer = peer);
                }
                _ => {}
            }
        }
    }
}
