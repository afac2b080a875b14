//! The candidates of one look at the waiting requests.

use std::rc::Rc;

use crate::direct::Candidate;
use crate::direct::Ledger;
use crate::direct::Placement;
use crate::direct::Server;
use crate::types::MonoTime;

/// The servers of one service with their load, kept up to date while requests are placed on them.
#[derive(Debug)]
pub struct Field {
    candidates: Vec<Candidate>,
}

impl Field {
    pub(super) fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates }
    }

    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Reads the load of the servers of a placement again.
    pub(super) fn refresh(&mut self, now: MonoTime, ledger: &Ledger, placement: &Placement) {
        let helpers = placement.helpers.iter().map(|helper| &helper.server);
        for server in helpers.chain([&placement.primary]) {
            self.reread(now, ledger, server);
        }
    }

    fn reread(&mut self, now: MonoTime, ledger: &Ledger, server: &Rc<Server>) {
        let same = |candidate: &&mut Candidate| candidate.server.id == server.id;
        if let Some(candidate) = self.candidates.iter_mut().find(same) {
            candidate.load = ledger.load(now, &server.id);
        }
    }
}
