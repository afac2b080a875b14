//! Choice of the agents to ask for an estimate, and of the best estimate.

use rand::Rng;
use rand::RngExt;

use super::Candidate;
use super::Offer;
use super::Request;
use super::Settings;
use super::rendezvous;
use crate::rpc::message::QuoteReply;
use crate::types::Class;
use crate::types::DomainId;
use crate::types::NodeId;

/// Number of agents asked for each part of a group.
const ASKS_PER_PART: usize = 3;

/// A prefix's owner may be slower than the best estimate by this fraction of it, as a divisor.
const AFFINITY_DIVISOR: u64 = 8;

/// Chooses backend servers for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    home: DomainId,
    settings: Settings,
}

impl Router {
    /// Creates a router for an entry in the failure domain `home`.
    #[must_use]
    pub fn new(home: DomainId, settings: Settings) -> Self {
        Self { home, settings }
    }

    /// Chooses the agents to ask: those likely to have the prefix cached, then random ones, of
    /// which the first is in the entry's own failure domain if possible.
    ///
    /// Agents in `excluded` were tried before. Suspects are asked only if no other agent is left.
    #[must_use]
    pub fn choose(
        &self,
        members: &[Candidate],
        request: &Request<'_>,
        excluded: &[NodeId],
        rng: &mut impl Rng,
    ) -> Vec<NodeId> {
        let eligible = self.restrict_to_home(eligible(members, request, excluded), request);
        let count = self.count(request).min(eligible.len());
        let mut chosen = prefix_owners(&eligible, request, count);
        self.fill(&eligible, &mut chosen, count, rng);
        chosen.into_iter().map(|one| one.node.clone()).collect()
    }

    /// Returns the index in `offers` of the best estimate; `None` if all refused.
    ///
    /// Ties are broken at random, so that entries which ask at the same moment do not all choose
    /// the same agent.
    #[must_use]
    pub fn pick(
        &self,
        request: &Request<'_>,
        offers: &[Offer],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let cost = |offer| self.cost(request.class, offer);
        let costs: Vec<Option<u64>> = offers.iter().map(cost).collect();
        let best = costs.iter().flatten().min()?;
        if let Some(owner) = self.owner(request, offers)
            && costs[owner].is_some_and(|cost| cost <= best + best / AFFINITY_DIVISOR)
        {
            return Some(owner);
        }
        let limit = best.saturating_add(self.settings.tie_margin.get());
        let equal: Vec<usize> = (0..offers.len())
            .filter(|&index| costs[index].is_some_and(|cost| cost <= limit))
            .collect();
        Some(equal[rng.random_range(0..equal.len())])
    }

    /// The index of the offer by the owner of the prompt's prefix, if the prompt is long enough.
    ///
    /// A new document goes to its owner too, so that later requests about it find it cached.
    fn owner(&self, request: &Request<'_>, offers: &[Offer]) -> Option<usize> {
        if request.prompt < self.settings.short_prompt {
            return None;
        }
        let key = *rendezvous::keys(request).first()?;
        (0..offers.len()).max_by_key(|&index| rendezvous::score(key, &offers[index].node))
    }

    /// The indices in `offers` of the `count` best estimates, for a group; `None` if fewer accept.
    #[must_use]
    pub fn pick_group(&self, class: Class, offers: &[Offer], count: usize) -> Option<Vec<usize>> {
        let mut costs: Vec<(u64, usize)> = offers
            .iter()
            .enumerate()
            .filter_map(|(index, offer)| Some((self.cost(class, offer)?, index)))
            .collect();
        costs.sort_unstable();
        costs.truncate(count);
        let indices = costs
            .into_iter()
            .map(|(_, index)| index)
            .collect::<Vec<_>>();
        (indices.len() == count).then_some(indices)
    }

    /// Keeps short prompts in the entry's own failure domain if it has enough agents: the transfer
    /// to another domain takes as long as processing the prompt.
    fn restrict_to_home<'a>(
        &self,
        eligible: Vec<&'a Candidate>,
        request: &Request<'_>,
    ) -> Vec<&'a Candidate> {
        let near = |one: &&Candidate| one.domain == self.home;
        let short = request.prompt < self.settings.short_prompt;
        if short && eligible.iter().copied().filter(near).count() >= self.settings.sample_size {
            return eligible.into_iter().filter(near).collect();
        }
        eligible
    }

    fn count(&self, request: &Request<'_>) -> usize {
        if request.parts > 1 {
            self.settings
                .long_sample_size
                .max(ASKS_PER_PART * request.parts)
        } else if request.prompt >= self.settings.long_prompt {
            self.settings.long_sample_size
        } else {
            self.settings.sample_size
        }
    }

    /// Adds random agents: the first from the entry's own failure domain, the others from any.
    fn fill<'a>(
        &self,
        eligible: &[&'a Candidate],
        chosen: &mut Vec<&'a Candidate>,
        count: usize,
        rng: &mut impl Rng,
    ) {
        let mut home_first = true;
        while chosen.len() < count {
            let rest: Vec<&Candidate> = eligible
                .iter()
                .copied()
                .filter(|one| !contains(chosen, one))
                .collect();
            let near: Vec<&Candidate> = rest
                .iter()
                .copied()
                .filter(|one| one.domain == self.home)
                .collect();
            let pool = if home_first && !near.is_empty() {
                near
            } else {
                rest
            };
            chosen.push(pool[rng.random_range(0..pool.len())]);
            home_first = false;
        }
    }

    fn cost(&self, class: Class, offer: &Offer) -> Option<u64> {
        let QuoteReply::Estimate { first, total, .. } = &offer.reply else {
            return None;
        };
        let span = match class {
            Class::Urgent | Class::Interactive => first,
            Class::Batch => total,
        };
        let penalty = if offer.domain == self.home {
            0
        } else {
            self.settings.domain_penalty.get()
        };
        Some(span.get().saturating_add(penalty))
    }
}

fn eligible<'a>(
    members: &'a [Candidate],
    request: &Request<'_>,
    excluded: &[NodeId],
) -> Vec<&'a Candidate> {
    let serving: Vec<&Candidate> = members
        .iter()
        .filter(|one| one.serves(request.model) && !excluded.contains(&one.node))
        .collect();
    let healthy: Vec<&Candidate> = serving.iter().copied().filter(|one| !one.suspect).collect();
    if healthy.is_empty() { serving } else { healthy }
}

fn contains(chosen: &[&Candidate], one: &Candidate) -> bool {
    chosen.iter().any(|other| other.node == one.node)
}

/// The owners of the prompt's prefixes, fewer than `count`: at least one agent is chosen at random,
/// so that a popular prefix cannot overload its owner.
fn prefix_owners<'a>(
    eligible: &[&'a Candidate],
    request: &Request<'_>,
    count: usize,
) -> Vec<&'a Candidate> {
    let mut chosen: Vec<&Candidate> = Vec::new();
    for key in rendezvous::keys(request) {
        if chosen.len() + 1 >= count {
            break;
        }
        match rendezvous::owner(key, eligible) {
            Some(owner) if !contains(&chosen, owner) => chosen.push(owner),
            _ => {}
        }
    }
    chosen
}
