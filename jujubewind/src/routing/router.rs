//! The entry's choice: whom to ask, and which answer to take.

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

/// Agents asked for each part of a group.
const CHOICE: usize = 3;

/// The part of the best estimate, as a divisor, that a prefix's owner may be slower.
const AFFINITY: u64 = 8;

/// Chooses backend servers for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    home: DomainId,
    settings: Settings,
}

impl Router {
    /// A router for an entry in the failure domain `home`.
    #[must_use]
    pub fn new(home: DomainId, settings: Settings) -> Self {
        Self { home, settings }
    }

    /// The agents to ask: those likely to have the prefix cached, then chance, home first.
    ///
    /// Agents in `excluded` were tried before. Suspects are asked only if nobody else is left.
    #[must_use]
    pub fn choose(
        &self,
        members: &[Candidate],
        request: &Request<'_>,
        excluded: &[NodeId],
        rng: &mut impl Rng,
    ) -> Vec<NodeId> {
        let open = self.reach(open_members(members, request, excluded), request);
        let count = self.count(request).min(open.len());
        let mut chosen = affine(&open, request, count);
        self.fill(&open, &mut chosen, count, rng);
        chosen.into_iter().map(|one| one.node.clone()).collect()
    }

    /// The place in `offers` of the best estimate for `class`; `None` if all refused.
    ///
    /// Answers within a tie's width are equal, and chance decides between them, so that entries
    /// which asked at the same moment do not all go the same way.
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
            && costs[owner].is_some_and(|cost| cost <= best + best / AFFINITY)
        {
            return Some(owner);
        }
        let limit = best.saturating_add(self.settings.tie.get());
        let equal: Vec<usize> = (0..offers.len())
            .filter(|&place| costs[place].is_some_and(|cost| cost <= limit))
            .collect();
        Some(equal[rng.random_range(0..equal.len())])
    }

    /// The offer of the agent where the prompt's prefix belongs, if it is long enough to matter.
    ///
    /// A new document goes there too, so that the next question about it finds it cached.
    fn owner(&self, request: &Request<'_>, offers: &[Offer]) -> Option<usize> {
        if request.prompt < self.settings.short {
            return None;
        }
        let key = *rendezvous::keys(request).first()?;
        (0..offers.len()).max_by_key(|&place| rendezvous::rank(key, &offers[place].node))
    }

    /// The places in `offers` of the `count` best estimates, for a group; `None` if fewer accept.
    #[must_use]
    pub fn pick_group(&self, class: Class, offers: &[Offer], count: usize) -> Option<Vec<usize>> {
        let mut costs: Vec<(u64, usize)> = offers
            .iter()
            .enumerate()
            .filter_map(|(place, offer)| Some((self.cost(class, offer)?, place)))
            .collect();
        costs.sort_unstable();
        costs.truncate(count);
        let places = costs
            .into_iter()
            .map(|(_, place)| place)
            .collect::<Vec<_>>();
        (places.len() == count).then_some(places)
    }

    /// Short prompts stay in the own failure domain while it has enough agents: the way across
    /// takes as long as reading them.
    fn reach<'a>(&self, open: Vec<&'a Candidate>, request: &Request<'_>) -> Vec<&'a Candidate> {
        let near = |one: &&Candidate| one.domain == self.home;
        let short = request.prompt < self.settings.short;
        if short && open.iter().copied().filter(near).count() >= self.settings.asks {
            return open.into_iter().filter(near).collect();
        }
        open
    }

    fn count(&self, request: &Request<'_>) -> usize {
        if request.parts > 1 {
            self.settings.longs.max(CHOICE * request.parts)
        } else if request.prompt >= self.settings.long {
            self.settings.longs
        } else {
            self.settings.asks
        }
    }

    /// The first random place goes to the own failure domain, the next ones to any.
    fn fill<'a>(
        &self,
        open: &[&'a Candidate],
        chosen: &mut Vec<&'a Candidate>,
        count: usize,
        rng: &mut impl Rng,
    ) {
        let mut home_first = true;
        while chosen.len() < count {
            let rest: Vec<&Candidate> = open
                .iter()
                .copied()
                .filter(|one| !holds(chosen, one))
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
        let away = if offer.domain == self.home {
            0
        } else {
            self.settings.penalty.get()
        };
        Some(span.get().saturating_add(away))
    }
}

fn open_members<'a>(
    members: &'a [Candidate],
    request: &Request<'_>,
    excluded: &[NodeId],
) -> Vec<&'a Candidate> {
    let able: Vec<&Candidate> = members
        .iter()
        .filter(|one| one.serves(request.model) && !excluded.contains(&one.node))
        .collect();
    let sound: Vec<&Candidate> = able.iter().copied().filter(|one| !one.suspect).collect();
    if sound.is_empty() { able } else { sound }
}

fn holds(chosen: &[&Candidate], one: &Candidate) -> bool {
    chosen.iter().any(|other| other.node == one.node)
}

/// At least one place is left to chance, so that a popular prefix cannot overload its agent.
fn affine<'a>(open: &[&'a Candidate], request: &Request<'_>, count: usize) -> Vec<&'a Candidate> {
    let mut chosen: Vec<&Candidate> = Vec::new();
    for key in rendezvous::keys(request) {
        if chosen.len() + 1 >= count {
            break;
        }
        match rendezvous::first(key, open) {
            Some(first) if !holds(&chosen, first) => chosen.push(first),
            _ => {}
        }
    }
    chosen
}
