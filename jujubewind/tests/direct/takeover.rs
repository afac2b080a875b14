//! When one more backend server is asked to take a stream over.

use jujubewind::direct::Handover;
use jujubewind::direct::HandoverInput as Input;
use jujubewind::direct::HandoverOutput as Output;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

const MAX_SILENCE: Millis = Millis(1_200);
const DEADLINE: Millis = Millis(10_000);

/// A stream whose replacement has responded and sent no event.
fn with_stalled_replacement(now: MonoTime) -> Handover {
    let deadline = now.after(DEADLINE);
    let mut handover = Handover::new(now, deadline, Some(MAX_SILENCE));
    let silent = now.after(MAX_SILENCE);
    handover.apply(silent, Input::Elapsed);
    handover.apply(silent, Input::RetryGranted);
    handover.apply(silent, Input::OtherResponded);
    handover
}

#[test]
fn a_third_backend_server_is_asked_when_the_second_one_stalls_after_its_head() {
    let start = MonoTime::default();
    let mut handover = with_stalled_replacement(start);
    let responded = start.after(MAX_SILENCE);

    let wait = handover.wait(responded);
    let output = handover.apply(responded.after(MAX_SILENCE), Input::Elapsed);

    assert_eq!(wait, MAX_SILENCE);
    assert_eq!(output, Output::TakeRetry);
}

#[test]
fn a_third_backend_server_is_not_asked_while_the_silent_one_sends_events_again() {
    let start = MonoTime::default();
    let mut handover = with_stalled_replacement(start);
    let event = start.after(Millis(2_000));
    handover.apply(event, Input::Event { numbered: true });

    let early = handover.apply(start.after(Millis(2_400)), Input::Elapsed);
    let late = handover.apply(event.after(MAX_SILENCE), Input::Elapsed);

    assert_eq!(early, Output::Read);
    assert_eq!(late, Output::TakeRetry);
}

#[test]
fn a_broken_stream_waits_for_a_stalled_replacement_when_no_third_one_may_be_asked() {
    let start = MonoTime::default();
    let mut handover = with_stalled_replacement(start);
    let silent = start.after(Millis(2_400));
    handover.apply(silent, Input::Broken("broken"));
    handover.apply(silent, Input::Elapsed);

    let output = handover.apply(silent, Input::RetryDenied);

    assert_eq!(output, Output::Read);
}

#[test]
fn a_broken_stream_is_not_resumed_again_after_a_resumption_that_sent_nothing() {
    let now = MonoTime::default();
    let mut handover = Handover::new(now, now.after(DEADLINE), Some(MAX_SILENCE));
    handover.apply(now, Input::Broken("broken"));
    handover.apply(now, Input::RetryGranted);

    let output = handover.apply(now, Input::OtherFailed { sent: false });

    assert_eq!(output, Output::Truncate("broken"));
}

#[test]
fn a_broken_stream_is_resumed_after_the_one_that_was_asked_in_its_silence_sent_nothing() {
    let now = MonoTime::default().after(MAX_SILENCE);
    let deadline = now.after(DEADLINE);
    let mut handover = Handover::new(MonoTime::default(), deadline, Some(MAX_SILENCE));
    handover.apply(now, Input::Elapsed);
    handover.apply(now, Input::RetryGranted);
    handover.apply(now, Input::Broken("broken"));

    let output = handover.apply(now, Input::OtherFailed { sent: false });

    assert_eq!(output, Output::TakeRetry);
}
