//! The engines of one run, and the view of them that the policies have.

use jujubewind::routing::Candidate;
use jujubewind::routing::Router;
use jujubewind::routing::Settings;
use jujubewind::types::DomainId;
use jujubewind::types::ModelId;
use jujubewind::types::NodeId;
use rand::RngExt;
use rand::rngs::StdRng;

use super::Arrival;
use super::Policy;
use super::Site;
use super::fleet_split::FleetSplit;
use super::links::DOMAINS;
use super::worker::MODEL;
use super::worker::Worker;
use crate::engine::core::EngineConfig;

/// The engines with their agents' schedulers, and the entries' routers.
#[derive(Debug)]
pub struct Fleet {
    /// The engines.
    pub workers: Vec<Worker>,
    /// The router of each entry.
    pub routers: Vec<Router>,
    /// The membership view.
    pub members: Vec<Candidate>,
    policy: Policy,
    split: FleetSplit,
    reported_load: Vec<usize>,
    turn: usize,
}

impl Fleet {
    /// Creates an idle fleet.
    #[must_use]
    pub fn new(policy: Policy, site: Site, routing: &Settings) -> Self {
        let config = EngineConfig {
            models: vec![MODEL.to_owned()],
            each_token: false,
            ..EngineConfig::default()
        };
        let split = FleetSplit::new(policy, site, &config.cost);
        let worker = |_| Worker::new(config.clone(), policy.settings());
        Self {
            workers: (0..site.engines()).map(worker).collect(),
            routers: (0..DOMAINS)
                .map(|number| Router::new(domain_id(number), routing.clone()))
                .collect(),
            members: (0..site.engines()).map(candidate).collect(),
            policy,
            split,
            reported_load: vec![0; site.engines()],
            turn: 0,
        }
    }

    /// Publishes the load that the least-loaded baseline uses until the next report.
    pub fn publish_load(&mut self) {
        self.reported_load = self.workers.iter().map(attempt_count).collect();
    }

    /// Returns the `count` engines to which a baseline sends a request.
    pub fn assign(&mut self, arrival: &Arrival, count: usize, rng: &mut StdRng) -> Vec<usize> {
        let short_pool = &self.workers[..self.split.short_engines()];
        let short_prompts = short_pool.iter().map(attempt_count).sum();
        let candidates = self.split.engines(arrival.prompt, short_prompts);
        let mut ranked: Vec<(usize, u32, usize)> = candidates
            .iter()
            .map(|&engine| (self.load(engine), rng.random(), engine))
            .collect();
        ranked.sort_unstable();
        self.turn += 1;
        let engines = ranked.into_iter().map(|(_, _, engine)| engine);
        engines.take(count).collect()
    }

    fn load(&self, engine: usize) -> usize {
        let count = self.workers.len();
        match self.policy {
            Policy::RoundRobin => (engine + count - self.turn % count) % count,
            Policy::LeastLoaded => self.reported_load[engine],
            _ => attempt_count(&self.workers[engine]),
        }
    }
}

/// Returns the id of the agent of engine `number`.
#[must_use]
pub fn node_id(number: usize) -> NodeId {
    parse_id(&format!("agent-{number:04}"))
}

/// Returns the id of the failure domain of engine or entry `number`.
#[must_use]
pub fn domain_id(number: usize) -> DomainId {
    parse_id(&format!("domain-{}", number % DOMAINS))
}

/// Returns the id of the model.
#[must_use]
pub fn model_id() -> ModelId {
    parse_id(MODEL)
}

/// Returns the number of the engine of agent `node`.
#[must_use]
pub fn engine_number(node: &NodeId) -> usize {
    let digits = node.as_str().trim_start_matches("agent-");
    digits.parse().unwrap_or(0)
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        node: node_id(number),
        domain: domain_id(number),
        models: vec![model_id()],
        leaving: false,
        suspect: false,
    }
}

fn attempt_count(worker: &Worker) -> usize {
    worker.scheduler.attempt_count()
}

fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("the id is valid"))
}
