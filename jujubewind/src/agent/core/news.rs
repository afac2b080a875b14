//! What the engine tells: tokens, ends, exports and its own list.

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
    /// Takes news from the engine.
    pub fn engine(&mut self, now: MonoTime, id: AttemptId, event: EngineEvent) -> Vec<Command> {
        if !self.attempts.contains_key(&id) {
            return vec![Command::Stop(id)];
        }
        let mut commands = match event {
            EngineEvent::Token { offset, text } => return self.token(now, id, offset, text),
            EngineEvent::End { finish, count } => self.whole(now, id, finish, count),
            EngineEvent::Failed { life } => self.failed(now, id, life),
            EngineEvent::Refused => {
                self.scheduler.record_end(now, id);
                self.finish(now, id, Step::Fail, Ending::Failed { crash: None })
            }
            EngineEvent::Paused { handle } => self.paused(now, id, handle),
            EngineEvent::Stopped => {
                self.scheduler.record_end(now, id);
                Vec::new()
            }
        };
        commands.extend(self.schedule(now));
        commands
    }

    fn token(
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
            None => self.broken(now, id),
        }
    }

    fn whole(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        finish: Finish,
        count: Tokens,
    ) -> Vec<Command> {
        let next = self.attempts.get(&id).map(Attempt::next_offset);
        if next != Some(count) {
            return self.broken(now, id);
        }
        self.scheduler.record_end(now, id);
        self.finish(now, id, Step::End, Ending::Whole(finish, count))
    }

    /// Ends an attempt whose tokens have a gap or a wrong count.
    fn broken(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        self.scheduler.cancel(now, id);
        let mut commands = self.finish(now, id, Step::Fail, Ending::Failed { crash: None });
        commands.extend(self.schedule(now));
        commands
    }

    fn paused(&mut self, now: MonoTime, id: AttemptId, handle: String) -> Vec<Command> {
        match self.attempts.get_mut(&id) {
            Some(attempt) if attempt.is_open() => {
                attempt.export = Some(handle);
                self.scheduler.record_pause(now, id);
                Vec::new()
            }
            _ => vec![Command::Drop(handle)],
        }
    }

    /// Compares what the engine lists with what is held here; a new engine start number means
    /// that it lost all it had.
    pub fn reconcile(&mut self, now: MonoTime, listing: &Listing) -> Vec<Command> {
        self.down = false;
        if self
            .engine
            .replace(listing.incarnation)
            .is_some_and(|old| old != listing.incarnation)
        {
            self.scheduler.record_restart(now);
            self.cached = CachedBlocks::default();
        }
        self.scheduler.reconcile(now, &listing.sequences);
        let mut commands = self.drop_stray_exports(&listing.exports);
        commands.extend(self.schedule(now));
        commands
    }

    /// Drops exports that nobody here knows in two listings in a row: one may be on its way.
    fn drop_stray_exports(&mut self, exports: &[String]) -> Vec<Command> {
        let known: Vec<&String> = self
            .attempts
            .values()
            .filter_map(|a| a.export.as_ref())
            .collect();
        let strays: Vec<String> = exports
            .iter()
            .filter(|e| !known.contains(e))
            .cloned()
            .collect();
        let before = std::mem::replace(&mut self.strays, strays.clone());
        let twice = strays.into_iter().filter(|stray| before.contains(stray));
        twice.map(Command::Drop).collect()
    }
}
