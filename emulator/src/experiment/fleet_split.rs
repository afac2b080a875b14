//! The split of the engines into a pool for short and a pool for long prompts.

use jujubewind::types::Tokens;

use super::Policy;
use super::Site;
use super::Workload;
use super::convert::to_f64;
use super::convert::to_u64;
use super::convert::to_usize;
use super::policy::SPLIT_LENGTH;
use crate::engine::core::CostModel;

/// The number of engines that the longest prompt needs at once.
const MAX_GROUP_ENGINES: u64 = 3;

/// The number of short prompts per engine of their pool above which the other engines help.
const HELP_THRESHOLD: usize = 3;

/// The split of the fleet under a baseline policy.
#[derive(Clone, Debug)]
pub struct FleetSplit {
    short_engines: usize,
    engines: usize,
    has_threshold: bool,
}

impl FleetSplit {
    /// Assigns engines to short and long prompts in proportion to their work.
    #[must_use]
    pub fn new(policy: Policy, site: Site, cost: &CostModel) -> Self {
        let engines = site.engines() as u64;
        let share = Workload::short_share(site, cost, SPLIT_LENGTH);
        let short = to_u64((share * to_f64(engines)).ceil()).clamp(1, engines - MAX_GROUP_ENGINES);
        Self {
            short_engines: if policy.splits() { to_usize(short) } else { 0 },
            engines: site.engines(),
            has_threshold: policy == Policy::ThresholdResume,
        }
    }

    /// Returns the engines that accept a prompt of this length while the short pool holds
    /// `short_prompts` of them.
    #[must_use]
    pub fn engines(&self, prompt: Tokens, short_prompts: usize) -> Vec<usize> {
        if self.short_engines == 0 {
            return (0..self.engines).collect();
        }
        let helped = self.has_threshold && short_prompts > HELP_THRESHOLD * self.short_engines;
        if prompt < SPLIT_LENGTH && !helped {
            return (0..self.short_engines).collect();
        }
        (self.short_engines..self.engines).collect()
    }

    /// Returns the number of engines reserved for short prompts.
    #[must_use]
    pub fn short_engines(&self) -> usize {
        self.short_engines
    }
}
