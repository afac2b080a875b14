//! The candidate servers of one service during a scheduling pass.

use std::rc::Rc;

use crate::direct::Candidate;
use crate::direct::Ledger;
use crate::direct::Placement;
use crate::direct::SendPaces;
use crate::direct::Server;
use crate::types::MonoTime;

/// The servers of one service with their load, refreshed as requests are placed on them.
#[derive(Debug)]
pub struct CandidateSet {
    candidates: Vec<Candidate>,
    /// The number of servers whose limit leaves no room now.
    held: usize,
}

impl CandidateSet {
    /// Sets the servers apart to which no request may be sent now by their limits.
    pub(super) fn new(now: MonoTime, candidates: Vec<Candidate>, paces: &SendPaces) -> Self {
        let held = 0;
        let mut set = Self { candidates, held };
        set.hold(now, paces);
        set
    }

    /// The number of servers whose limit leaves no room now.
    pub(super) const fn held(&self) -> usize {
        self.held
    }

    /// Sets the servers apart whose limits leave no room any more.
    pub(super) fn hold(&mut self, now: MonoTime, paces: &SendPaces) {
        let before = self.candidates.len();
        self.candidates
            .retain(|candidate| paces.allow(now, &candidate.server.id));
        self.held += before - self.candidates.len();
    }

    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Updates the load of all servers of a placement from the ledger.
    pub(super) fn refresh(&mut self, now: MonoTime, ledger: &Ledger, placement: &Placement) {
        let helpers = placement.helpers.iter().map(|helper| &helper.server);
        for server in helpers.chain([&placement.primary]) {
            self.refresh_server(now, ledger, server);
        }
    }

    fn refresh_server(&mut self, now: MonoTime, ledger: &Ledger, server: &Rc<Server>) {
        let same = |candidate: &&mut Candidate| candidate.server.id == server.id;
        if let Some(candidate) = self.candidates.iter_mut().find(same) {
            candidate.load = ledger.load(now, &server.id);
        }
    }
}
