//! The pace of requests to each backend server.

use std::collections::BTreeMap;

use super::ServerId;
use crate::pace::SendPace;
use crate::pace::Share;
use crate::types::Millis;
use crate::types::MonoTime;

/// The paces of the servers that were sent to lately or have a limit.
#[derive(Clone, Debug, Default)]
pub struct SendPaces {
    paces: BTreeMap<ServerId, SendPace>,
}

impl SendPaces {
    /// Counts a request to a server.
    pub fn record(&mut self, now: MonoTime, server: &ServerId) {
        self.paces.entry(server.clone()).or_default().record(now);
    }

    /// Applies the share of a server's limit; returns whether it is another one than before.
    pub fn limit(&mut self, now: MonoTime, server: &ServerId, share: Option<Share>) -> bool {
        let pace = self.paces.entry(server.clone()).or_default();
        if pace.is_limited() && pace.share() == share {
            return false;
        }
        pace.limit(now, share);
        true
    }

    /// Lifts the limit of a server.
    pub fn lift(&mut self, server: &ServerId) {
        if let Some(pace) = self.paces.get_mut(server) {
            pace.lift();
        }
    }

    /// The time until a request may be sent to a server, zero if it may now; `None` if this entry has
    /// no share of the server's limit.
    #[must_use]
    pub fn wait(&self, now: MonoTime, server: &ServerId) -> Option<Millis> {
        let pace = self.paces.get(server);
        pace.map_or(Some(Millis::ZERO), |pace| pace.wait(now))
    }

    /// Whether the limit of a server leaves room for a request now.
    #[must_use]
    pub fn allow(&self, now: MonoTime, server: &ServerId) -> bool {
        self.wait(now, server) == Some(Millis::ZERO)
    }

    /// The share of a server's limit; `None` if there is no limit or no share of it.
    #[must_use]
    pub fn share(&self, server: &ServerId) -> Option<Share> {
        self.paces.get(server).and_then(SendPace::share)
    }

    /// Whether a server has a limit.
    #[must_use]
    pub fn is_limited(&self, server: &ServerId) -> bool {
        self.paces.get(server).is_some_and(SendPace::is_limited)
    }

    /// The servers with a limit.
    pub fn limited(&self) -> impl Iterator<Item = &ServerId> {
        let paces = self.paces.iter();
        paces
            .filter(|(_, pace)| pace.is_limited())
            .map(|(server, _)| server)
    }

    /// Forgets servers that were not sent to lately and have no limit.
    pub fn expire(&mut self, now: MonoTime) {
        self.paces.retain(|_, pace| !pace.expire(now));
    }
}
