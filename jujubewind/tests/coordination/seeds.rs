//! Seeds of the searches.

use std::ops::Range;

use rand::SeedableRng;
use rand::rngs::StdRng;

/// The seeds of a search; `SEED=n` in the environment replays one alone.
pub fn seeds(count: u64) -> Range<u64> {
    let replayed = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    replayed.map_or(0..count, |seed: u64| seed..seed + 1)
}

/// The generator of one history.
pub fn generator(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
