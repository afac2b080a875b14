//! `GET /explain`: the routing decision for a request, without running it.

use hyper::StatusCode;

use super::error_reply::error_reply;
use super::handler::Api;
use crate::catalogue::Entry;
use crate::conviction::Fingerprint;
use crate::entry::CandidateEstimate;
use crate::entry::Destination;
use crate::entry::Estimate;
use crate::entry::Explanation;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::control::Choice;
use crate::entry::request::Target;
use crate::http::Reply;
use crate::http::json;
use crate::memory::Held;
use crate::refusal::Reason;
use crate::rpc::message::QuoteReply;
use crate::types::Class;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::RequestId;
use crate::types::Tokens;

/// The maximum length of the answer that estimates assume.
const ASSUMED_OUTPUT: Tokens = Tokens(256);

/// The parameters of the query.
struct Query {
    org: OrgId,
    model: ModelId,
    tokens: Tokens,
}

impl Api {
    /// Serves the route. A failure gets the usual error response, but is not counted.
    pub(super) async fn explain(&self, id: RequestId, query: &str) -> Reply {
        match self.build_explanation(id, query).await {
            Ok(explanation) => json(StatusCode::OK, &explanation),
            Err(failure) => error_reply(id, &failure),
        }
    }

    async fn build_explanation(&self, id: RequestId, query: &str) -> Result<Explanation, Failure> {
        let bad = Failure::not_run(Reason::BadRequest, Millis::ZERO);
        let query = Query::parse(query).ok_or(bad)?;
        let found = self.control.lookup(query.org.clone(), query.model.clone());
        let (revision, entry) = found.await?;
        let job = hypothetical_job(id, &query, &entry);
        let (candidates, choice) = self.decide(&job, &entry).await;
        Ok(Explanation {
            org: query.org,
            model: query.model,
            tokens: query.tokens,
            output: job.output,
            revision,
            entry: entry.id,
            class: entry.class,
            limits: entry.limits,
            candidates,
            choice,
        })
    }

    async fn decide(&self, job: &Job, entry: &Entry) -> (Vec<CandidateEstimate>, Destination) {
        if entry.service().is_some() {
            return self.decide_service(job).await;
        }
        if job.prompt > entry.limits.longest_prompt {
            let failure = Failure::not_run(Reason::PromptTooLong, Millis::ZERO);
            return (Vec::new(), refused_destination(&failure));
        }
        let mut candidates = Vec::new();
        let choice = self.decide_model(job, entry, &mut candidates).await;
        (
            candidates,
            choice.unwrap_or_else(|failure| refused_destination(&failure)),
        )
    }

    /// Performs the same steps as a request that is run, up to the choice of an agent.
    async fn decide_model(
        &self,
        job: &Job,
        entry: &Entry,
        candidates: &mut Vec<CandidateEstimate>,
    ) -> Result<Destination, Failure> {
        let mut parts = 1;
        loop {
            let targets = self.control.candidates(job, parts, Vec::new()).await?;
            let time = entry.limits.default_timeout;
            let quotes = self.agents.quotes(job, parts, targets.clone(), time).await;
            candidates.extend(
                targets
                    .iter()
                    .map(|target| candidate_estimate(target, parts, &quotes)),
            );
            match self.control.pick(job, parts, quotes).await? {
                Choice::Target(target) => return Ok(chosen_destination(&target, job.class)),
                Choice::Split(more) => parts = more,
            }
        }
    }

    async fn decide_service(&self, job: &Job) -> (Vec<CandidateEstimate>, Destination) {
        let targets = self.control.services(job.model.clone()).await;
        let candidates = targets.iter().map(|target| CandidateEstimate {
            node: target.node.clone(),
            parts: 1,
            answer: Estimate::Unasked,
        });
        let choice = match targets.first() {
            Some(first) => Destination::Nodes {
                nodes: vec![first.node.clone()],
                why: "it is not suspect, or all are, and the own failure domain goes first"
                    .to_owned(),
            },
            None => refused_destination(&Failure::not_run(Reason::NoBackend, Millis::ZERO)),
        };
        (candidates.collect(), choice)
    }
}

impl Query {
    /// Parses the query string. Names are not percent-decoded, as they have no reserved characters.
    fn parse(text: &str) -> Option<Self> {
        let value = |name: &str| {
            let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find_map(|(key, value)| (key == name).then_some(value))
        };
        Some(Self {
            org: value("org")?.parse().ok()?,
            model: value("model")?.parse().ok()?,
            tokens: value("tokens")?.parse().ok()?,
        })
    }
}

/// Creates a request without text, so that no backend server has any of its prompt cached.
fn hypothetical_job(request: RequestId, query: &Query, entry: &Entry) -> Job {
    Job {
        request,
        fingerprint: Fingerprint::of(&query.org, &query.model, ""),
        org: query.org.clone(),
        entry: entry.id.clone(),
        model: query.model.clone(),
        class: entry.class,
        text: Held::default(),
        prompt: query.tokens,
        output: ASSUMED_OUTPUT.min(entry.limits.longest_output),
        blocks: Vec::new(),
    }
}

fn candidate_estimate(
    target: &Target,
    parts: u64,
    quotes: &[(Target, QuoteReply)],
) -> CandidateEstimate {
    let reply = quotes.iter().find(|(one, _)| one.node == target.node);
    CandidateEstimate {
        node: target.node.clone(),
        parts,
        answer: reply.map_or(Estimate::Silent, |(_, reply)| reply.into()),
    }
}

fn chosen_destination(target: &Target, class: Class) -> Destination {
    let helpers = target.group.iter().flat_map(|group| &group.targets);
    let mut nodes = vec![target.node.clone()];
    nodes.extend(helpers.map(|one| one.node.clone()));
    let token = match class {
        Class::Batch => "last",
        Class::Urgent | Class::Interactive => "first",
    };
    let why = match nodes.len() {
        1 => format!("least predicted time to the {token} token; chance decides near ties"),
        count => format!(
            "no engine holds the prompt alone; these {count} predict the least time to the \
             {token} token"
        ),
    };
    Destination::Nodes { nodes, why }
}

fn refused_destination(failure: &Failure) -> Destination {
    Destination::Refused {
        reason: failure.reason,
        retry: failure.retry,
        remedy: failure.remedy().to_owned(),
    }
}
