//! Where requests go.

use super::state::State;
use crate::entry::Job;
use crate::entry::request::Target;
use crate::membership;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::routing::Candidate;
use crate::routing::Offer;
use crate::routing::Request;
use crate::rpc::message::QuoteReply;
use crate::types::Class;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::NodeId;

/// When to come back when nobody serves a model.
const RETRY_NO_BACKEND: Millis = Millis(1_000);

impl State {
    /// The agents to ask for an estimate.
    pub(super) fn candidates(
        &mut self,
        job: &Job,
        excluded: &[NodeId],
    ) -> Result<Vec<Target>, Refusal> {
        let members = self.serving(&job.model);
        let request = Request {
            org: &job.org,
            model: &job.model,
            class: job.class,
            prompt: job.prompt,
            blocks: &job.blocks,
        };
        let nodes = self
            .router
            .choose(&members, &request, excluded, &mut self.rng);
        if nodes.is_empty() {
            return Err(no_backend());
        }
        Ok(nodes.iter().filter_map(|node| self.target(node)).collect())
    }

    /// The best of the estimates; if all refused, the refusal that ends soonest.
    pub(super) fn pick(
        &mut self,
        class: Class,
        quotes: Vec<(Target, QuoteReply)>,
    ) -> Result<Target, Refusal> {
        let offers: Vec<Offer> = quotes
            .iter()
            .map(|(target, reply)| Offer {
                node: target.node.clone(),
                domain: self.domain(&target.node),
                reply: reply.clone(),
            })
            .collect();
        match self.router.pick(class, &offers, &mut self.rng) {
            Some(place) => Ok(quotes[place].0.clone()),
            None => Err(soonest(quotes)),
        }
    }

    /// The agents beside the plain service `name`, own failure domain first.
    pub(super) fn services(&self, name: &ModelId) -> Vec<Target> {
        let mut members = self.serving(name);
        members.sort_by_key(|one| (one.suspect, one.domain != self.settings.domain));
        let targets = members.iter().filter_map(|one| self.target(&one.node));
        targets.collect()
    }

    fn serving(&self, model: &ModelId) -> Vec<Candidate> {
        let members = self.members.view().candidates(model);
        members.map(candidate).collect()
    }

    fn target(&self, node: &NodeId) -> Option<Target> {
        let member = self.members.view().get(node)?;
        Some(Target {
            node: node.clone(),
            addr: member.addr,
        })
    }

    fn domain(&self, node: &NodeId) -> DomainId {
        let member = self.members.view().get(node);
        member.map_or_else(|| self.settings.domain.clone(), |one| one.domain.clone())
    }
}

fn candidate(from: membership::Candidate<'_>) -> Candidate {
    Candidate {
        node: from.member.node.clone(),
        domain: from.member.domain.clone(),
        models: from.member.models.clone(),
        leaving: from.member.leaving,
        suspect: from.suspect,
    }
}

/// A refusal with no time to come back says nothing of the others, so it counts last.
fn soonest(quotes: Vec<(Target, QuoteReply)>) -> Refusal {
    let refusals = quotes.into_iter().filter_map(|(_, reply)| match reply {
        QuoteReply::Refused(refusal) => Some(refusal),
        QuoteReply::Estimate { .. } => None,
    });
    let never = |refusal: &Refusal| refusal.retry == Millis::ZERO;
    let soonest = refusals.min_by_key(|refusal| (never(refusal), refusal.retry));
    soonest.unwrap_or_else(no_backend)
}

fn no_backend() -> Refusal {
    Refusal {
        reason: Reason::NoBackend,
        retry: RETRY_NO_BACKEND,
    }
}
