//! What callers get under the loads that placing answers.

use jujubewind::types::Millis;

use crate::fixture::core;
use crate::fixture::job;
use crate::player::Player;

/// Milliseconds for which a short answer of 38 events is written.
const WRITING: u64 = 1_900;

#[test]
fn after_a_burst_of_short_prompts_a_long_one_finds_most_engines_free() {
    let mut entry = Player::new(core(14), WRITING);

    entry.play(67, 5_000);
    entry.play(9, 5_000);
    let engines = entry.engines();
    let placement = entry.place(182_000).expect("there are free engines");

    // 17 answers are written at a time, for which two engines have slots.
    assert!(
        engines <= 4,
        "short answers are written at {engines} engines"
    );
    let latency_target = job(0, 182_000).latency_target;
    assert!(
        placement.first_token.millis() <= Millis(latency_target.get() / 4),
        "{placement:?}"
    );
}

#[test]
fn a_burst_of_short_prompts_is_read_within_their_aim() {
    let mut entry = Player::new(core(14), WRITING);

    entry.play(67, 5_000);
    let placement = entry.place(5_000).expect("there is room");

    assert!(
        placement.first_token.millis() <= Millis(150),
        "half of the aim: {placement:?}"
    );
}
