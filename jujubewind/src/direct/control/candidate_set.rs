//! The candidate servers of one service during a scheduling pass.

use std::rc::Rc;

use crate::direct::Candidate;
use crate::direct::Ledger;
use crate::direct::Placement;
use crate::direct::Server;
use crate::types::MonoTime;

/// The servers of one service with their load, refreshed as requests are placed on them.
#[derive(Debug)]
pub struct CandidateSet {
    candidates: Vec<Candidate>,
}

impl CandidateSet {
    pub(super) fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates }
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
