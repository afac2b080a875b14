//! Placement under bursts of short prompts.

use jujubewind::types::Millis;

use crate::fixture::core;
use crate::fixture::job;
use crate::simulation::Simulation;

/// How long a short answer of 38 events is decoded.
const DECODE_MILLIS: u64 = 1_900;

#[test]
fn most_engines_are_free_for_a_long_prompt_after_a_burst_of_short_ones() {
    let mut entry = Simulation::new(core(14), DECODE_MILLIS);

    entry.send_short(67, 5_000);
    entry.send_short(9, 5_000);
    let engines = entry.busy_engines();
    let placement = entry.place(182_000).expect("there are free engines");

    // 17 answers are decoded at a time, for which two engines have enough slots.
    assert!(
        engines <= 4,
        "short answers are decoded on {engines} engines"
    );
    let latency_target = job(0, 182_000).latency_target;
    assert!(
        placement.first_token.millis() <= Millis(latency_target.get() / 4),
        "{placement:?}"
    );
}

#[test]
fn short_prompt_meets_its_latency_target_during_a_burst() {
    let mut entry = Simulation::new(core(14), DECODE_MILLIS);

    entry.send_short(67, 5_000);
    let placement = entry.place(5_000).expect("there is room");

    assert!(
        placement.first_token.millis() <= Millis(150),
        "half of the latency target: {placement:?}"
    );
}
