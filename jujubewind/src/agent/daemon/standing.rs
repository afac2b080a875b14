//! How the agent stands: member, leaving, drained.

use super::Daemon;
use crate::agent::message::Message;
use crate::membership::Outgoing;
use crate::rpc::message::AgentStatus;
use crate::types::MonoTime;

impl Daemon {
    /// Refuses new work once entries tell that the platform lists this VM as leaving.
    pub(super) fn heed_list(&mut self) {
        if self.members.is_leaving() && !self.core.leaving() {
            crate::event!(info, "listed_as_leaving", node = self.settings.node);
            self.core.leave();
        }
    }

    pub(super) fn send(&self, messages: Vec<Outgoing>) {
        let replies = self.messages.clone();
        self.gossip.send(messages, move |answer| {
            let _ = replies.send(Message::Answered(Box::new(answer)));
        });
    }

    pub(super) fn status(&self) -> AgentStatus {
        AgentStatus {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            domain: self.settings.domain.clone(),
            models: self.settings.models.clone(),
            leaving: self.core.leaving(),
            attempts: self.core.open() as u64,
            reserved: self.core.reserved(),
            capacity: self.settings.memory,
        }
    }

    /// Refuses new work; a second request to stop changes nothing.
    pub(super) fn leave(&mut self, now: MonoTime) {
        if self.stop_at.is_none() {
            crate::event!(
                info,
                "leaving",
                node = self.settings.node,
                open = self.core.open()
            );
            self.core.leave();
            let notices = self.members.leave(now);
            self.send(notices);
            self.stop_at = Some(now.after(self.settings.drain));
        }
    }

    /// Whether a stop was asked for and nothing is left to wait for.
    pub(super) fn drained(&self) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        let quiet = self.core.open() == 0 && self.waiters.is_empty() && !self.core.unread();
        quiet || self.clock.now() >= stop_at
    }
}
