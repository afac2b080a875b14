//! Generated traffic, and the load that a fleet can carry.

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
use super::number::float;
use super::number::index;
use super::number::whole;
use crate::engine::core::CostModel;

/// Organisations, the first of them the largest.
const ORGS: usize = 10;
/// Entry processes, one in each failure domain.
const ENTRIES: usize = 3;
/// Blocks of each organisation's own instructions.
const INSTRUCTIONS: usize = 1;
/// Long documents that an organisation asks about again.
const RECENT: usize = 12;
/// Requests by which the mean work is measured.
const SAMPLES: usize = 20_000;

/// A source of requests.
#[derive(Debug)]
pub struct Workload {
    site: Site,
    cost: CostModel,
    rng: StdRng,
    recent: Vec<VecDeque<(Tokens, Vec<u64>)>>,
}

impl Workload {
    /// The traffic of `site`, drawn from `seed`.
    #[must_use]
    pub fn new(site: Site, cost: CostModel, seed: u64) -> Self {
        Self {
            site,
            cost,
            rng: StdRng::seed_from_u64(seed),
            recent: vec![VecDeque::new(); ORGS],
        }
    }

    /// Requests a second that the site's engines can carry without cache hits.
    #[must_use]
    pub fn capacity(site: Site, cost: &CostModel) -> f64 {
        let mut workload = Self::new(site, cost.clone(), 0);
        let work: f64 = (0..SAMPLES)
            .map(|_| workload.next(MonoTime::ZERO))
            .map(|arrival| engine_time(cost, &arrival))
            .sum();
        float(site.engines() as u64) * float(SAMPLES as u64) * 1e6 / work
    }

    /// The part of all engine time that goes to prompts below `bound`.
    #[must_use]
    pub fn short_share(site: Site, cost: &CostModel, bound: Tokens) -> f64 {
        let mut workload = Self::new(site, cost.clone(), 0);
        let (mut short, mut all) = (0.0, 0.0);
        for _ in 0..SAMPLES {
            let arrival = workload.next(MonoTime::ZERO);
            let work = engine_time(cost, &arrival);
            all += work;
            if arrival.prompt < bound {
                short += work;
            }
        }
        short / all
    }

    /// The requests of `span` seconds at `rate` a second.
    pub fn arrivals(&mut self, rate: f64, span: f64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at -= (1.0 - self.rng.random::<f64>()).ln() / rate;
            if at > span {
                return arrivals;
            }
            arrivals.push(self.next(MonoTime::from_micros(whole(at * 1e6))));
        }
    }

    fn next(&mut self, at: MonoTime) -> Arrival {
        let org = self.org();
        let (prompt, blocks) = self.prompt(org);
        let class = self.site.class(prompt, &mut self.rng);
        let output = Tokens(if class == Class::Urgent { 64 } else { 512 });
        let answer = Tokens(self.rng.random_range(32..=output.get()));
        Arrival {
            at,
            entry: self.rng.random_range(0..ENTRIES),
            org: name(org),
            class,
            prompt,
            answer,
            output,
            allowed: self.allowed(class, prompt),
            blocks: blocks.into(),
        }
    }

    /// Half of all requests come from the two largest organisations.
    fn org(&mut self) -> usize {
        let roll: f64 = self.rng.random();
        if roll < 0.35 {
            0
        } else if roll < 0.5 {
            1
        } else {
            self.rng.random_range(2..ORGS)
        }
    }

    /// A new prompt, or another question about a document that the organisation has.
    fn prompt(&mut self, org: usize) -> (Tokens, Vec<u64>) {
        let length = self.length();
        let known = self.recent[org].len();
        let large = length.get() >= 10_000;
        if large && known > 0 && self.rng.random_bool(0.3) {
            let place = self.rng.random_range(0..known);
            let (tokens, mut blocks) = self.recent[org][place].clone();
            if let Some(last) = blocks.last_mut() {
                *last = self.rng.next_u64();
            }
            // The length drawn is kept in the mix: only a document of its kind is asked about.
            if tokens.get().ilog10() == length.get().ilog10() {
                return (tokens, blocks);
            }
        }
        let blocks = self.blocks(org, length);
        if large {
            self.recent[org].push_front((length, blocks.clone()));
            self.recent[org].truncate(RECENT);
        }
        (length, blocks)
    }

    /// One prompt in fifty has more than 100,000 tokens, and one in twenty of those a million.
    fn length(&mut self) -> Tokens {
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
        Tokens(whole(length))
    }

    fn blocks(&mut self, org: usize, length: Tokens) -> Vec<u64> {
        let count = index(length.get() / BLOCK.get());
        let shared = INSTRUCTIONS.min(count);
        let mut blocks: Vec<u64> = (0..shared)
            .map(|place| (org * 100 + place) as u64)
            .collect();
        blocks.extend((shared..count).map(|_| self.rng.next_u64()));
        blocks
    }

    fn allowed(&self, class: Class, prompt: Tokens) -> Millis {
        let alone = whole(self.cost.prefill_alone(prompt.get()) / 1_000.0);
        match class {
            Class::Urgent => Millis(15_000),
            Class::Interactive => Millis(60_000 + 6 * alone),
            Class::Batch => Millis(900_000 + 10 * alone),
        }
    }
}

fn name(org: usize) -> OrgId {
    format!("org-{org}")
        .parse()
        .unwrap_or_else(|_| unreachable!())
}

/// Engine time of one request in microseconds, its part in every step's fixed cost left out for
/// decoding, which all sequences of a batch share.
fn engine_time(cost: &CostModel, arrival: &Arrival) -> f64 {
    let prompt = arrival.prompt.get();
    cost.prefill_alone(prompt) + float(arrival.answer.get()) * cost.decode(prompt)
}
