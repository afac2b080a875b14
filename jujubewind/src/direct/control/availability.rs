//! Which backend servers take requests, by what they announced.

use std::rc::Rc;

use super::Core;
use crate::direct::Job;
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

    /// Why no server that a request may use takes requests, if none does.
    pub(super) fn unavailable(&self, now: MonoTime, job: &Job) -> Option<Refusal> {
        let mut pauses = self.permitted(now, job).peekable();
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

    /// The servers of a request's service that take new requests, in the failure domains that the
    /// request may use.
    pub(super) fn permitted(&self, now: MonoTime, job: &Job) -> impl Iterator<Item = &Rc<Server>> {
        let accepting = self.accepting(now, &job.service);
        accepting.filter(|server| job.permits(server))
    }

    /// The servers of a service that have not left, by their own announcement or by the list of any
    /// entry, and whose failure domain is not evacuated.
    pub(super) fn accepting(
        &self,
        now: MonoTime,
        service: &ServiceId,
    ) -> impl Iterator<Item = &Rc<Server>> {
        let ready = self.roster.ready(service);
        ready.filter(move |server| {
            !self.notices.has_left(now, server) && !self.notices.is_evacuated(server)
        })
    }
}
