//! When an engine that was silent is trusted again.

use jujubewind::direct::Recovery;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

/// Starts with a last event at time zero.
fn recovery() -> Recovery {
    Recovery::new(Millis(1_200), MonoTime::default())
}

fn at(millis: u64) -> MonoTime {
    MonoTime::default().after(Millis(millis))
}

#[test]
fn one_event_after_a_silence_does_not_end_the_hand_over() {
    let mut recovery = recovery();

    let recovered = recovery.record(at(1_300));

    assert!(!recovered);
    assert!(recovery.has_resumed());
}

#[test]
fn an_engine_that_goes_on_for_as_long_as_it_may_be_silent_has_recovered() {
    let mut recovery = recovery();

    let recovered: Vec<bool> = (0..5)
        .map(|n| recovery.record(at(1_300 + 400 * n)))
        .collect();

    assert_eq!(recovered, [false, false, false, true, true]);
}

#[test]
fn a_second_silence_starts_the_wait_anew() {
    let mut recovery = recovery();
    recovery.record(at(1_300));

    let recovered = recovery.record(at(2_600));

    assert!(!recovered);
}
