//! Handles the engine's events: tokens, ends, exports and its list of sequences.

use super::Core;
use crate::agent::Attempt;
use crate::agent::Command;
use crate::agent::EngineEvent;
use crate::agent::attempt::Ending;
use crate::agent::attempt::Step;
use crate::agent::cached_blocks::CachedBlocks;
use crate::agent::listing::Listing;
use crate::rpc::message::Finish;
use crate::types::AttemptId;
use crate::types::MonoTime;
use crate::types::Tokens;

impl Core {
    /// Handles an event of the engine for attempt `id`.
    pub fn handle_engine_event(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        event: EngineEvent,
    ) -> Vec<Command> {
        if !self.attempts.contains_key(&id) {
            return match event {
                EngineEvent::Stopped | EngineEvent::End { .. } => Vec::new(),
                _ => vec![Command::Stop(id)],
            };
        }
        let mut commands = match event {
            EngineEvent::Token { offset, text } => return self.handle_token(now, id, offset, text),
            EngineEvent::End { finish, count } => self.handle_end(now, id, finish, count),
            EngineEvent::Failed { incarnation } => self.handle_failure(now, id, incarnation),
            EngineEvent::Refused => {
                self.scheduler.record_end(now, id);
                self.finish(now, id, Step::Fail, Ending::Failed { crash: None })
            }
            EngineEvent::Paused { handle } => self.handle_pause(now, id, handle),
            EngineEvent::Stopped => {
                self.scheduler.record_end(now, id);
                Vec::new()
            }
        };
        commands.extend(self.schedule(now));
        commands
    }

    fn handle_token(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        offset: Tokens,
        text: String,
    ) -> Vec<Command> {
        let kept = self.attempts.get_mut(&id).and_then(|attempt| {
            let kept = attempt.push(offset, text);
            kept.then(|| attempt.written())
        });
        match kept {
            Some(written) => {
                self.scheduler.record_progress(now, id, written);
                vec![Command::Wake(id)]
            }
            None => self.fail_attempt(now, id),
        }
    }

    fn handle_end(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        finish: Finish,
        count: Tokens,
    ) -> Vec<Command> {
        let next = self.attempts.get(&id).map(Attempt::next_offset);
        if next != Some(count) {
            return self.fail_attempt(now, id);
        }
        self.scheduler.record_end(now, id);
        self.finish(now, id, Step::End, Ending::Complete(finish, count))
    }

    /// Ends an attempt whose tokens have a gap or a wrong count.
    fn fail_attempt(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        self.scheduler.cancel(now, id);
        let mut commands = self.finish(now, id, Step::Fail, Ending::Failed { crash: None });
        commands.extend(self.schedule(now));
        commands
    }

    fn handle_pause(&mut self, now: MonoTime, id: AttemptId, handle: String) -> Vec<Command> {
        match self.attempts.get_mut(&id) {
            Some(attempt) if attempt.is_open() => {
                attempt.export = Some(handle);
                self.scheduler.record_pause(now, id);
                Vec::new()
            }
            _ => vec![Command::Drop(handle)],
        }
    }

    /// Compares the engine's list with the attempts held here; a new engine incarnation means that
    /// the engine lost all its state.
    pub fn reconcile(&mut self, now: MonoTime, listing: &Listing) -> Vec<Command> {
        self.engine_down = false;
        if self
            .engine_incarnation
            .replace(listing.incarnation)
            .is_some_and(|old| old != listing.incarnation)
        {
            self.scheduler.record_restart(now);
            self.cached = CachedBlocks::default();
        }
        self.scheduler.reconcile(now, &listing.sequences);
        let mut commands = self.drop_orphan_exports(&listing.exports);
        commands.extend(self.schedule(now));
        commands
    }

    /// Drops exports that are unknown here in two lists in a row; after only one, the event of the
    /// export may still be in flight.
    fn drop_orphan_exports(&mut self, exports: &[String]) -> Vec<Command> {
        let known: Vec<&String> = self
            .attempts
            .values()
            .filter_map(|a| a.export.as_ref())
            .collect();
        let orphans: Vec<String> = exports
            .iter()
            .filter(|e| !known.contains(e))
            .cloned()
            .collect();
        let before = std::mem::replace(&mut self.orphan_exports, orphans.clone());
        let twice = orphans.into_iter().filter(|orphan| before.contains(orphan));
        twice.map(Command::Drop).collect()
    }
}
