//! The parameters of a simulation run.

use jujubewind::retry;
use jujubewind::routing::Settings;

use super::Policy;
use super::Site;

/// The parameters of a simulation run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The deployment.
    pub site: Site,
    /// The policy.
    pub policy: Policy,
    /// The router's parameters.
    pub routing: Settings,
    /// The retry budget's parameters.
    pub retry: retry::Settings,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Run {
    /// Creates a run with the default parameters.
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
