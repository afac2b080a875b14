//! Long polling: pulls of entries that wait for tokens.

use flume::Sender;

use super::Daemon;
use super::PendingPull;
use crate::rpc::message::Chunk;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::types::AttemptId;
use crate::types::MonoTime;

impl Daemon {
    /// Answers a pull, or keeps it until there are tokens or its wait has passed.
    pub(super) fn pull(&mut self, now: MonoTime, pull: Pull, reply: Sender<PullReply>) {
        if let Some(answer) = self.core.pull(now, &pull) {
            let _ = reply.send(answer);
            return;
        }
        let expires = now.after(pull.wait);
        let pending = PendingPull {
            pull,
            reply,
            expires,
        };
        self.pending_pulls
            .insert(pending.pull.envelope.attempt, pending);
    }

    /// Answers the pulls whose wait has passed with an empty chunk.
    pub(super) fn answer_expired_pulls(&mut self, now: MonoTime) {
        let expired: Vec<AttemptId> = self
            .pending_pulls
            .iter()
            .filter(|(_, pending)| now >= pending.expires)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in expired {
            if let Some(pending) = self.pending_pulls.remove(&attempt) {
                let empty = Chunk {
                    attempt,
                    offset: pending.pull.offset,
                    tokens: Vec::new(),
                    end: None,
                };
                let _ = pending.reply.send(PullReply::Chunk(empty));
            }
        }
    }
}
