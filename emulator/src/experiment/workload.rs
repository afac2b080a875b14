//! The workload generator, and the capacity of a fleet under its traffic.

use std::collections::VecDeque;

use jujubewind::prefix::BLOCK;
use jujubewind::types::Class;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Arrival;
use super::Site;
use super::convert::to_f64;
use super::convert::to_u64;
use super::convert::to_usize;
use crate::engine::core::CostModel;

/// The number of organisations; the first ones send the most requests.
const ORGS: usize = 10;
/// The number of entries, one per failure domain.
const ENTRIES: usize = 3;
/// Blocks of the instructions with which the prompts of an organisation begin.
const INSTRUCTION_BLOCKS: usize = 1;
/// The number of long documents about which an organisation may ask again.
const RECENT_DOCUMENTS: usize = 12;
/// The number of requests used to estimate the mean work.
const SAMPLE_REQUESTS: usize = 20_000;

/// A seeded generator of requests.
#[derive(Debug)]
pub struct Workload {
    site: Site,
    cost: CostModel,
    rng: StdRng,
    recent: Vec<VecDeque<(Tokens, Vec<u64>)>>,
}

impl Workload {
    /// Creates the workload of `site` with the given seed.
    #[must_use]
    pub fn new(site: Site, cost: CostModel, seed: u64) -> Self {
        Self {
            site,
            cost,
            rng: StdRng::seed_from_u64(seed),
            recent: vec![VecDeque::new(); ORGS],
        }
    }

    /// Returns the requests per second that the site's engines can serve without cache hits.
    #[must_use]
    pub fn capacity(site: Site, cost: &CostModel) -> f64 {
        let mut workload = Self::new(site, cost.clone(), 0);
        let work: f64 = (0..SAMPLE_REQUESTS)
            .map(|_| workload.next_request(MonoTime::ZERO))
            .map(|arrival| engine_time(cost, &arrival))
            .sum();
        to_f64(site.engines() as u64) * to_f64(SAMPLE_REQUESTS as u64) * 1e6 / work
    }

    /// Returns the share of engine time spent on prompts shorter than `bound`.
    #[must_use]
    pub fn short_share(site: Site, cost: &CostModel, bound: Tokens) -> f64 {
        let mut workload = Self::new(site, cost.clone(), 0);
        let (mut short, mut all) = (0.0, 0.0);
        for _ in 0..SAMPLE_REQUESTS {
            let arrival = workload.next_request(MonoTime::ZERO);
            let work = engine_time(cost, &arrival);
            all += work;
            if arrival.prompt < bound {
                short += work;
            }
        }
        short / all
    }

    /// Generates the requests of `span` seconds with Poisson arrivals at `rate` per second.
    pub fn arrivals(&mut self, rate: f64, span: f64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at -= (1.0 - self.rng.random::<f64>()).ln() / rate;
            if at > span {
                return arrivals;
            }
            arrivals.push(self.next_request(MonoTime::from_micros(to_u64(at * 1e6))));
        }
    }

    fn next_request(&mut self, at: MonoTime) -> Arrival {
        let org = self.draw_org();
        let (prompt, blocks) = self.draw_prompt(org);
        let class = self.site.class(prompt, &mut self.rng);
        let output = Tokens(if class == Class::Urgent { 64 } else { 512 });
        let answer = Tokens(self.rng.random_range(32..=output.get()));
        Arrival {
            at,
            entry: self.rng.random_range(0..ENTRIES),
            org: org_id(org),
            class,
            prompt,
            answer,
            output,
            timeout: self.timeout(class, prompt),
            blocks: blocks.into(),
        }
    }

    /// Draws an organisation; half of all requests come from the two largest ones.
    fn draw_org(&mut self) -> usize {
        let roll: f64 = self.rng.random();
        if roll < 0.35 {
            0
        } else if roll < 0.5 {
            1
        } else {
            self.rng.random_range(2..ORGS)
        }
    }

    /// Draws a new prompt, or another question about a recent document of the organisation.
    fn draw_prompt(&mut self, org: usize) -> (Tokens, Vec<u64>) {
        let length = self.draw_length();
        let known = self.recent[org].len();
        let large = length.get() >= 10_000;
        if large && known > 0 && self.rng.random_bool(0.3) {
            let document = self.rng.random_range(0..known);
            let (tokens, mut blocks) = self.recent[org][document].clone();
            if let Some(last) = blocks.last_mut() {
                *last = self.rng.next_u64();
            }
            // A recent document is used only if its length is of the same decade as the one drawn,
            // so that the distribution of lengths stays the same.
            if tokens.get().ilog10() == length.get().ilog10() {
                return (tokens, blocks);
            }
        }
        let blocks = self.draw_blocks(org, length);
        if large {
            self.recent[org].push_front((length, blocks.clone()));
            self.recent[org].truncate(RECENT_DOCUMENTS);
        }
        (length, blocks)
    }

    /// Draws a length: one prompt in fifty has more than 100,000 tokens, and one in twenty of those
    /// has a million.
    fn draw_length(&mut self) -> Tokens {
        let kind: f64 = self.rng.random();
        let roll: f64 = self.rng.random();
        let length = if kind < 0.70 {
            1_000.0 * 10_f64.powf(roll)
        } else if kind < 0.98 {
            10_000.0 / (1.0 - 0.9 * roll)
        } else if kind < 0.999 {
            (100_000.0 / (1.0 - 0.97 * roll).powf(1.0 / 1.5)).min(900_000.0)
        } else {
            1_000_000.0
        };
        Tokens(to_u64(length))
    }

    fn draw_blocks(&mut self, org: usize, length: Tokens) -> Vec<u64> {
        let count = to_usize(length.get() / BLOCK.get());
        let shared = INSTRUCTION_BLOCKS.min(count);
        let mut blocks: Vec<u64> = (0..shared)
            .map(|block| (org * 100 + block) as u64)
            .collect();
        blocks.extend((shared..count).map(|_| self.rng.next_u64()));
        blocks
    }

    fn timeout(&self, class: Class, prompt: Tokens) -> Millis {
        let alone = to_u64(self.cost.prefill_alone(prompt.get()) / 1_000.0);
        match class {
            Class::Urgent => Millis(15_000),
            Class::Interactive => Millis(60_000 + 6 * alone),
            Class::Batch => Millis(900_000 + 10 * alone),
        }
    }
}

fn org_id(org: usize) -> OrgId {
    format!("org-{org}")
        .parse()
        .unwrap_or_else(|_| unreachable!())
}

/// Returns the engine time of one request in microseconds. The fixed cost of decode steps is left
/// out, as all sequences of a batch share it.
fn engine_time(cost: &CostModel, arrival: &Arrival) -> f64 {
    let prompt = arrival.prompt.get();
    cost.prefill_alone(prompt) + to_f64(arrival.answer.get()) * cost.decode(prompt)
}
