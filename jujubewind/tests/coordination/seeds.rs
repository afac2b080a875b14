//! Seeds of the randomised tests.

use std::ops::Range;

use rand::SeedableRng;
use rand::rngs::StdRng;

/// The seeds of a randomised test; `SEED=n` in the environment replays only one.
pub fn seeds(count: u64) -> Range<u64> {
    let replayed = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    replayed.map_or(0..count, |seed: u64| seed..seed + 1)
}

/// The random number generator of one run.
pub fn generator(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
