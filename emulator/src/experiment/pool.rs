//! The engines among which a baseline chooses.

use jujubewind::types::Tokens;

use super::Policy;
use super::Site;
use super::Workload;
use super::number::float;
use super::number::index;
use super::number::whole;
use super::policy::LONG;
use crate::engine::core::CostModel;

/// Engines that the longest prompt needs at once.
const LARGEST_GROUP: u64 = 3;

/// The short prompts for each engine of their pool above which others help.
const THRESHOLD: usize = 3;

/// How a baseline splits the fleet.
#[derive(Clone, Debug)]
pub struct Pool {
    short: usize,
    engines: usize,
    threshold: bool,
}

impl Pool {
    /// Gives each kind of prompt engines in proportion to its work.
    #[must_use]
    pub fn new(policy: Policy, site: Site, cost: &CostModel) -> Self {
        let engines = site.engines() as u64;
        let share = Workload::short_share(site, cost, LONG);
        let short = whole((share * float(engines)).ceil()).clamp(1, engines - LARGEST_GROUP);
        Self {
            short: if policy.splits() { index(short) } else { 0 },
            engines: site.engines(),
            threshold: policy == Policy::ThresholdResume,
        }
    }

    /// The engines that take a prompt of this length, when the pool of short prompts holds
    /// `waiting` of them.
    #[must_use]
    pub fn engines(&self, prompt: Tokens, waiting: usize) -> Vec<usize> {
        if self.short == 0 {
            return (0..self.engines).collect();
        }
        let helped = self.threshold && waiting > THRESHOLD * self.short;
        if prompt < LONG && !helped {
            return (0..self.short).collect();
        }
        (self.short..self.engines).collect()
    }

    /// The engines kept for short prompts.
    #[must_use]
    pub fn short(&self) -> usize {
        self.short
    }
}
