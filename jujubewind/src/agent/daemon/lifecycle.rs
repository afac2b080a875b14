//! The agent's lifecycle: membership, leaving and draining.

use super::Daemon;
use crate::agent::message::Message;
use crate::lifecycle::DrainLimits;
use crate::lifecycle::OpenRequests;
use crate::membership::Outgoing;
use crate::rpc::message::AgentStatus;
use crate::types::MonoTime;

impl Daemon {
    /// Refuses new work once the entries report that the platform lists this VM as leaving.
    pub(super) fn check_vm_list(&mut self) {
        if self.members.is_leaving() && !self.core.is_leaving() {
            crate::event!(info, "listed_as_leaving", node = self.settings.node);
            self.core.leave();
        }
    }

    /// Sends gossip; answers arrive as messages.
    pub(super) fn send(&self, messages: Vec<Outgoing>) {
        let replies = self.messages.clone();
        self.gossip.send(messages, move |answer| {
            let _ = replies.send(Message::GossipAnswer(Box::new(answer)));
        });
    }

    /// The agent's status for operators.
    pub(super) fn status(&self) -> AgentStatus {
        AgentStatus {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            domain: self.settings.domain.clone(),
            models: self.settings.models.clone(),
            leaving: self.core.is_leaving(),
            attempts: self.core.open_count() as u64,
            reserved: self.core.reserved(),
            capacity: self.settings.memory,
        }
    }

    /// Starts draining and refuses new work; a second stop request changes nothing.
    pub(super) fn leave(&mut self, now: MonoTime) {
        if self.stage.is_serving() {
            let open = self.core.open_count();
            crate::event!(info, "leaving", node = self.settings.node, open = open);
            self.core.leave();
            let notices = self.members.leave(now);
            self.send(notices);
            self.drain_deadline = now.after(self.settings.drain);
        }
        self.stage.stop(now, DrainLimits::agent());
    }

    /// Advances draining. Work that arrives meanwhile is refused explicitly: without a reply, its
    /// entry would not know whether it ran.
    pub(super) fn drain(&mut self, now: MonoTime) {
        let unread = usize::from(self.core.has_unread());
        let load = OpenRequests {
            open: self.core.open_count() + self.pending_pulls.len() + unread,
            deadline: self.drain_deadline,
        };
        self.stage.tick(now, load);
    }
}
