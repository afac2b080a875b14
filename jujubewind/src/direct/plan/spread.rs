//! Random costs that keep entries from choosing the same server.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::limits::SPREAD_WIDTH;
use crate::scheduler::Work;
use crate::types::MonoTime;
use crate::types::NodeId;

/// Draws a random cost for each server that is considered for a request.
///
/// Under load, many entries place requests before they see each other's placements. Without these
/// costs all of them would choose the server that is the least loaded in everyone's view.
#[derive(Debug)]
pub struct Spread {
    draws: StdRng,
    /// Costs are below this.
    width: Work,
}

impl Spread {
    /// Costs for a placement by `node`; other entries and other times have other costs.
    ///
    /// `unseen` is the work of each server that does not show in this entry's view yet.
    #[must_use]
    pub fn new(node: &NodeId, now: MonoTime, unseen: Work) -> Self {
        let name = rapidhash::v3::rapidhash_v3(node.as_str().as_bytes());
        Self {
            draws: StdRng::seed_from_u64(name ^ now.micros()),
            width: Work(unseen.get().saturating_mul(SPREAD_WIDTH)),
        }
    }

    /// The cost of the next server.
    pub fn draw(&mut self) -> Work {
        if self.width == Work::ZERO {
            return Work::ZERO;
        }
        Work(self.draws.random_range(0..self.width.get()))
    }
}
