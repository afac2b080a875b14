//! Entries that wait for tokens.

use flume::Sender;

use super::Daemon;
use super::Waiter;
use crate::rpc::message::Chunk;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::types::AttemptId;
use crate::types::MonoTime;

impl Daemon {
    pub(super) fn pull(&mut self, now: MonoTime, pull: Pull, reply: Sender<PullReply>) {
        if let Some(answer) = self.core.pull(now, &pull) {
            let _ = reply.send(answer);
            return;
        }
        let until = now.after(pull.wait);
        let waiter = Waiter { pull, reply, until };
        self.waiters.insert(waiter.pull.envelope.attempt, waiter);
    }

    pub(super) fn answer_late_waiters(&mut self, now: MonoTime) {
        let late: Vec<AttemptId> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| now >= waiter.until)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            if let Some(waiter) = self.waiters.remove(&attempt) {
                let empty = Chunk {
                    attempt,
                    offset: waiter.pull.offset,
                    tokens: Vec::new(),
                    end: None,
                };
                let _ = waiter.reply.send(PullReply::Chunk(empty));
            }
        }
    }
}
