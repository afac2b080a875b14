//! How the agent stands: member, leaving, drained.

use super::Daemon;
use crate::agent::message::Message;
use crate::lifecycle::DrainLimits;
use crate::lifecycle::OpenRequests;
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
        if self.stage.is_serving() {
            let open = self.core.open();
            crate::event!(info, "leaving", node = self.settings.node, open = open);
            self.core.leave();
            let notices = self.members.leave(now);
            self.send(notices);
            self.stop_at = now.after(self.settings.drain);
        }
        self.stage.stop(now, DrainLimits::agent());
    }

    /// Moves a stop on; until it is over, work that still arrives is answered with a refusal, since
    /// silence would leave its entry in doubt.
    pub(super) fn drain(&mut self, now: MonoTime) {
        let unread = usize::from(self.core.unread());
        let load = OpenRequests {
            open: self.core.open() + self.waiters.len() + unread,
            deadline: self.stop_at,
        };
        self.stage.tick(now, load);
    }
}
