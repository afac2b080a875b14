//! Which backend servers take requests, by what they announced.

use std::rc::Rc;

use super::Core;
use crate::direct::Notice;
use crate::direct::Notices;
use crate::direct::Server;
use crate::direct::ServiceId;
use crate::direct::plan;
use crate::pace::NamedLimit;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

impl Core {
    /// Records a backend server's announcement; returns whether it was news.
    pub fn record_notice(&mut self, now: MonoTime, server: &Server, notice: Notice) -> bool {
        self.notices.record(now, server, notice)
    }

    /// Records what a response named as the limit of its backend server; returns whether the limit in
    /// force changed.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        server: &Server,
        limit: NamedLimit,
        sent: Option<MonoTime>,
    ) -> bool {
        let is_news = self.notices.record_limit(now, server, limit, sent);
        if is_news {
            self.refresh_limit(now, &server.id);
        }
        is_news
    }

    /// The announcements of backend servers that are in force.
    #[must_use]
    pub const fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Why no server of a service takes requests, if none does.
    pub(super) fn unavailable(&self, now: MonoTime, service: &ServiceId) -> Option<Refusal> {
        let mut pauses = self.accepting(now, service).peekable();
        if pauses.peek().is_none() {
            return Some(Refusal {
                reason: Reason::NoBackend,
                retry: plan::MIN_RETRY_DELAY,
            });
        }
        let shortest = pauses
            .map(|server| self.notices.pause(now, &server.id))
            .min();
        let retry = shortest.filter(|pause| *pause > Millis::ZERO)?;
        Some(Refusal {
            reason: Reason::QueueFull,
            retry,
        })
    }

    /// The servers of a service that have not left, by their own announcement or by the list of any
    /// entry.
    pub(super) fn accepting(
        &self,
        now: MonoTime,
        service: &ServiceId,
    ) -> impl Iterator<Item = &Rc<Server>> {
        let ready = self.roster.ready(service);
        ready.filter(move |server| !self.notices.has_left(now, server))
    }
}
