//! Placement of requests on agents.

use super::Choice;
use super::state::State;
use crate::claims::Holder;
use crate::conviction::Fingerprint;
use crate::conviction::Verdict;
use crate::conviction::limits::REQUEST_TRIAL_PAUSE;
use crate::entry::Job;
use crate::entry::request::Helpers;
use crate::entry::request::Target;
use crate::membership;
use crate::membership::weight;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::routing::Candidate;
use crate::routing::Offer;
use crate::routing::Request;
use crate::rpc::message::QuoteReply;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// Retry delay when no backend server serves a model.
const NO_BACKEND_DELAY: Millis = Millis(1_000);
/// How many agents of a model run its suspect requests.
const QUARANTINE_AGENTS: usize = 2;

impl State {
    /// Chooses the agents to ask for an estimate.
    pub(super) fn candidates(
        &mut self,
        job: &Job,
        parts: u64,
        excluded: &[NodeId],
    ) -> Result<Vec<Target>, Refusal> {
        let now = self.now();
        let alone = match self.members.suspects().verdict(now, job.fingerprint) {
            Verdict::Run => false,
            Verdict::Alone => true,
            Verdict::Trial => {
                self.begin_trial(now, job.fingerprint);
                true
            }
            Verdict::Refuse(refusal) => return Err(refusal),
        };
        if alone && parts == 1 {
            return self.quarantine_targets(job, excluded);
        }
        let members = self.serving(&job.model);
        let request = request(job, parts);
        let nodes = self
            .router
            .choose(&members, &request, excluded, &mut self.rng);
        if nodes.is_empty() {
            return Err(no_backend());
        }
        Ok(nodes.iter().filter_map(|node| self.target(node)).collect())
    }

    fn begin_trial(&mut self, now: MonoTime, fingerprint: Fingerprint) {
        let suspects = self.members.suspects_mut();
        let failed = suspects.begin_trial(
            now,
            &fingerprint.into(),
            &[fingerprint],
            REQUEST_TRIAL_PAUSE,
        );
        crate::event!(
            info,
            "conviction_tried",
            print = fingerprint,
            failed = failed
        );
        self.push_suspects(now);
    }

    /// The agents that run this model's suspect requests. All entries choose the same few, so that
    /// a crash leaves the other agents unaffected.
    fn quarantine_targets(&self, job: &Job, excluded: &[NodeId]) -> Result<Vec<Target>, Refusal> {
        let view = self.members.view();
        let usable = view.candidates(&job.model).filter(|one| {
            !one.member.leaving && !one.suspect && !excluded.contains(&one.member.node)
        });
        let mut nodes: Vec<&NodeId> = usable.map(|one| &one.member.node).collect();
        nodes.sort_unstable_by_key(|node| weight(job.model.as_str(), node.as_str()));
        let targets = nodes.into_iter().rev().take(QUARANTINE_AGENTS);
        let targets: Vec<Target> = targets
            .filter_map(|node| self.target(node))
            .map(|target| Target {
                alone: true,
                ..target
            })
            .collect();
        if targets.is_empty() {
            return Err(no_backend());
        }
        Ok(targets)
    }

    /// Picks the best estimate; if all agents refused, returns the refusal that ends first.
    pub(super) fn pick(
        &mut self,
        job: &Job,
        parts: u64,
        quotes: &[(Target, QuoteReply)],
    ) -> Result<Choice, Refusal> {
        let offers: Vec<Offer> = quotes.iter().map(|quote| self.offer(quote)).collect();
        if parts > 1 {
            return self.pick_group(job, parts, quotes, &offers);
        }
        match self
            .router
            .pick(&request(job, parts), &offers, &mut self.rng)
        {
            Some(index) => Ok(Choice::Target(quotes[index].0.clone())),
            None => self.split(job, quotes),
        }
    }

    /// Computes the number of engines for a prompt that is too long for a single one.
    fn split(&self, job: &Job, quotes: &[(Target, QuoteReply)]) -> Result<Choice, Refusal> {
        let ceilings = quotes.iter().filter_map(|(_, reply)| match reply {
            QuoteReply::TooLong { ceiling } if *ceiling > Tokens::ZERO => Some(ceiling.get()),
            _ => None,
        });
        let Some(ceiling) = ceilings.min() else {
            return Err(earliest_refusal(quotes));
        };
        let parts = job.memory().get().div_ceil(ceiling);
        let serving = self.members.view().candidates(&job.model).count();
        if parts > serving as u64 {
            return Err(too_long());
        }
        Ok(Choice::Split(parts))
    }

    /// Picks the agents of a group. The first by name leads, as groups are reserved in that order.
    fn pick_group(
        &self,
        job: &Job,
        parts: u64,
        quotes: &[(Target, QuoteReply)],
        offers: &[Offer],
    ) -> Result<Choice, Refusal> {
        let count = usize::try_from(parts).unwrap_or(usize::MAX);
        let Some(indices) = self.router.pick_group(job.class, offers, count) else {
            return Err(earliest_refusal(quotes));
        };
        let mut targets: Vec<Target> = indices
            .iter()
            .map(|index| quotes[*index].0.clone())
            .collect();
        targets.sort_by(|a, b| a.node.cmp(&b.node));
        let mut leader = targets.remove(0);
        let spans = indices
            .iter()
            .filter_map(|index| match &offers[*index].reply {
                QuoteReply::Estimate { total, .. } => Some(*total),
                _ => None,
            });
        let span = spans.max().unwrap_or(Millis::ZERO);
        leader.group = Some(Box::new(Helpers { targets, span }));
        Ok(Choice::Target(leader))
    }

    fn offer(&self, (target, reply): &(Target, QuoteReply)) -> Offer {
        Offer {
            node: target.node.clone(),
            domain: self.domain(&target.node),
            reply: reply.clone(),
        }
    }

    /// The agents beside the plain service `name`: live before suspect ones, then those of the
    /// entry's own failure domain first.
    pub(super) fn services(&self, name: &ModelId) -> Vec<Target> {
        let mut members = self.serving(name);
        members.sort_by_key(|one| (one.suspect, one.domain != self.settings.domain));
        let targets = members.iter().filter_map(|one| self.target(&one.node));
        targets.collect()
    }

    /// Whether membership knows this incarnation of an entry and does not consider it dead.
    pub(super) fn is_alive(&self, holder: &Holder) -> bool {
        let member = self.members.view().get(&holder.node);
        member.is_some_and(|one| {
            one.incarnation == holder.incarnation && one.status != membership::Status::Dead
        })
    }

    fn serving(&self, model: &ModelId) -> Vec<Candidate> {
        let members = self.members.view().candidates(model);
        members.map(candidate).collect()
    }

    fn target(&self, node: &NodeId) -> Option<Target> {
        let member = self.members.view().get(node)?;
        Some(Target::single(node.clone(), member.addr))
    }

    fn domain(&self, node: &NodeId) -> DomainId {
        let member = self.members.view().get(node);
        member.map_or_else(|| self.settings.domain.clone(), |one| one.domain.clone())
    }
}

fn request(job: &Job, parts: u64) -> Request<'_> {
    Request {
        org: &job.org,
        model: &job.model,
        class: job.class,
        prompt: job.prompt,
        parts: usize::try_from(parts).unwrap_or(usize::MAX),
        blocks: &job.blocks,
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

/// The refusal that ends first. One without a retry delay comes last, as it says nothing about the
/// other agents.
fn earliest_refusal(quotes: &[(Target, QuoteReply)]) -> Refusal {
    let refusals = quotes.iter().filter_map(|(_, reply)| match reply {
        QuoteReply::Refused(refusal) => Some(refusal.clone()),
        QuoteReply::TooLong { .. } => Some(too_long()),
        QuoteReply::Estimate { .. } => None,
    });
    let never = |refusal: &Refusal| refusal.retry == Millis::ZERO;
    let soonest = refusals.min_by_key(|refusal| (never(refusal), refusal.retry));
    soonest.unwrap_or_else(no_backend)
}

fn too_long() -> Refusal {
    Refusal {
        reason: Reason::PromptTooLong,
        retry: Millis::ZERO,
    }
}

fn no_backend() -> Refusal {
    Refusal {
        reason: Reason::NoBackend,
        retry: NO_BACKEND_DELAY,
    }
}
