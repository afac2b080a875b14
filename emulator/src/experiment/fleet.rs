//! The engines of one run, and what the policies know of them.

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
use super::links::DOMAINS;
use super::pool::Pool;
use super::worker::MODEL;
use super::worker::Worker;
use crate::engine::core::EngineConfig;

/// The engines with their agents, and the entries' routers.
#[derive(Debug)]
pub struct Fleet {
    /// The engines.
    pub workers: Vec<Worker>,
    /// A router for each entry.
    pub routers: Vec<Router>,
    /// The membership view.
    pub members: Vec<Candidate>,
    policy: Policy,
    pool: Pool,
    reports: Vec<usize>,
    turn: usize,
}

impl Fleet {
    /// An idle fleet.
    #[must_use]
    pub fn new(policy: Policy, site: Site, routing: &Settings) -> Self {
        let config = EngineConfig {
            models: vec![MODEL.to_owned()],
            each_token: false,
            ..EngineConfig::default()
        };
        let pool = Pool::new(policy, site, &config.cost);
        let worker = |_| Worker::new(config.clone(), policy.settings());
        Self {
            workers: (0..site.engines()).map(worker).collect(),
            routers: (0..DOMAINS)
                .map(|number| Router::new(domain(number), routing.clone()))
                .collect(),
            members: (0..site.engines()).map(member).collect(),
            policy,
            pool,
            reports: vec![0; site.engines()],
            turn: 0,
        }
    }

    /// Publishes the load that the baseline with lagging reports sees until the next report.
    pub fn report(&mut self) {
        self.reports = self.workers.iter().map(attempts).collect();
    }

    /// The engines to which a baseline sends a prompt, `count` of them for a group.
    pub fn assign(&mut self, arrival: &Arrival, count: usize, rng: &mut StdRng) -> Vec<usize> {
        let short = &self.workers[..self.pool.short()];
        let waiting = short.iter().map(attempts).sum();
        let open = self.pool.engines(arrival.prompt, waiting);
        let mut ranked: Vec<(usize, u32, usize)> = open
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
            Policy::LeastLoaded => self.reports[engine],
            _ => attempts(&self.workers[engine]),
        }
    }
}

/// The name of the agent beside engine `number`.
#[must_use]
pub fn node(number: usize) -> NodeId {
    fixed(&format!("agent-{number:04}"))
}

/// The name of the failure domain of engine or entry `number`.
#[must_use]
pub fn domain(number: usize) -> DomainId {
    fixed(&format!("domain-{}", number % DOMAINS))
}

/// The model's name.
#[must_use]
pub fn model() -> ModelId {
    fixed(MODEL)
}

/// The number of the engine beside agent `node`.
#[must_use]
pub fn number(node: &NodeId) -> usize {
    let digits = node.as_str().trim_start_matches("agent-");
    digits.parse().unwrap_or(0)
}

fn member(number: usize) -> Candidate {
    Candidate {
        node: node(number),
        domain: domain(number),
        models: vec![model()],
        leaving: false,
        suspect: false,
    }
}

fn attempts(worker: &Worker) -> usize {
    worker.scheduler.attempt_count()
}

fn fixed<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("a fixed name"))
}
