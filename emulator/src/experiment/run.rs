//! What is simulated.

use jujubewind::retry;
use jujubewind::routing::Settings;

use super::Policy;
use super::Site;

/// What is run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Whose fleet.
    pub site: Site,
    /// Who decides.
    pub policy: Policy,
    /// The router's parameters.
    pub routing: Settings,
    /// The retry budget's parameters.
    pub retry: retry::Settings,
    /// The seed of all choices.
    pub seed: u64,
}

impl Run {
    /// A run with the default parameters.
    #[must_use]
    pub fn new(site: Site, policy: Policy, seed: u64) -> Self {
        Self {
            site,
            policy,
            routing: Settings::default(),
            retry: retry::Settings::default(),
            seed,
        }
    }
}
