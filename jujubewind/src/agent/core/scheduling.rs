//! Applies the scheduler's actions to the attempts.

use super::Core;
use super::refusal;
use crate::agent::Command;
use crate::agent::Phase;
use crate::agent::attempt::Ending;
use crate::agent::attempt::Step;
use crate::refusal::Reason;
use crate::scheduler::Action;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

impl Core {
    /// Polls the scheduler and applies its actions to the attempts.
    pub(super) fn schedule(&mut self, now: MonoTime) -> Vec<Command> {
        let mut commands = self.admit_isolated(now);
        let actions = self.scheduler.poll(now);
        for action in actions {
            commands.extend(self.apply_action(now, action));
        }
        commands
    }

    fn apply_action(&mut self, now: MonoTime, action: Action) -> Vec<Command> {
        match action {
            Action::Submit { attempt, priority } => self.submit(attempt, priority),
            Action::Pause { attempt } => vec![Command::Export(attempt)],
            Action::Resume { attempt, .. } => self.resume(attempt),
            Action::Cancel { attempt } => {
                let ending = Ending::Refused(refusal(Reason::Cancelled, Millis::ZERO));
                let mut commands = self.finish(now, attempt, Step::Cancel, ending);
                commands.push(Command::Stop(attempt));
                commands
            }
            Action::Release { attempt } => vec![Command::Release(attempt)],
            Action::Expire { attempt, refusal } => {
                self.finish(now, attempt, Step::Refuse, Ending::Refused(refusal))
            }
            Action::Lost { attempt } => self.handle_loss(now, attempt),
        }
    }

    fn submit(&mut self, id: AttemptId, priority: u8) -> Vec<Command> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(phase) = self.chart.next(attempt.phase, Step::Submit) {
            attempt.phase = phase;
        }
        attempt.engine_incarnation = self.engine_incarnation.filter(|_| !self.engine_down);
        vec![Command::Submit(Box::new(attempt.start.clone()), priority)]
    }

    fn resume(&mut self, id: AttemptId) -> Vec<Command> {
        let attempt = self.attempts.get_mut(&id);
        let handle = attempt.and_then(|attempt| attempt.export.take());
        handle
            .map(|handle| Command::Import(id, handle))
            .into_iter()
            .collect()
    }

    /// Ends an attempt, drops its export and wakes its pending pull.
    pub(super) fn finish(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        step: Step,
        ending: Ending,
    ) -> Vec<Command> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        let crashed = matches!(&ending, Ending::Failed { crash: Some(_) });
        let ending = match (attempt.phase, ending) {
            (Phase::Running, Ending::Refused(_)) => Ending::Failed { crash: None },
            (_, ending) => ending,
        };
        if let Some(phase) = self.chart.next(attempt.phase, step) {
            attempt.phase = phase;
            attempt.last_access = now;
            attempt.end(ending);
        }
        let dropped = attempt.export.take().map(Command::Drop);
        let mut commands: Vec<Command> = dropped.into_iter().chain([Command::Wake(id)]).collect();
        if crashed {
            commands.extend(self.refuse_duplicates(now, id));
        }
        commands
    }
}
