//! When one more backend server is asked to take a stream over.

use jujubewind::direct::Handover;
use jujubewind::direct::HandoverInput as Input;
use jujubewind::direct::HandoverOutput as Output;
use jujubewind::direct::TakeoverFailure;
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

    let output = handover.apply(silent, Input::RetryDenied { lasting: true });

    assert_eq!(output, Output::Read);
}

/// A broken stream whose resumption has ended like this.
fn after_resumption(now: MonoTime, failure: TakeoverFailure) -> (Handover, Output) {
    let mut handover = Handover::new(now, now.after(DEADLINE), Some(MAX_SILENCE));
    handover.apply(now, Input::Broken("broken"));
    handover.apply(now, Input::RetryGranted);
    let output = handover.apply(now, Input::OtherFailed(failure));
    (handover, output)
}

#[test]
fn a_broken_stream_is_not_resumed_again_after_a_resumption_that_was_rejected() {
    let now = MonoTime::default();

    let (_, output) = after_resumption(now, TakeoverFailure::Rejected);

    assert_eq!(output, Output::Truncate("broken"));
}

#[test]
fn a_broken_stream_is_not_truncated_by_a_resumption_that_sent_nothing() {
    let now = MonoTime::default();
    let (mut handover, first) = after_resumption(now, TakeoverFailure::Unsent);

    let wait = handover.wait(now);
    let early = handover.apply(now.after(Millis(99)), Input::Elapsed);
    let late = handover.apply(now.after(Millis(100)), Input::Elapsed);

    assert_eq!((first, wait), (Output::Read, Millis(100)));
    assert_eq!((early, late), (Output::Read, Output::TakeRetry));
}

#[test]
fn a_broken_stream_is_asked_for_less_and_less_often_until_its_deadline() {
    let start = MonoTime::default();
    let (mut handover, mut output) = after_resumption(start, TakeoverFailure::Unsent);
    let mut now = start;
    let mut pauses = Vec::new();

    while output == Output::Read {
        let wait = handover.wait(now);
        now = now.after(wait);
        pauses.push(wait.get());
        output = handover.apply(now, Input::Elapsed);
        if output == Output::TakeRetry {
            handover.apply(now, Input::RetryGranted);
            output = handover.apply(now, Input::OtherFailed(TakeoverFailure::Unsent));
        }
    }

    assert_eq!(pauses[..5], [100, 200, 400, 800, 800]);
    assert_eq!(output, Output::Truncate("broken"));
    assert_eq!(now, start.after(DEADLINE));
}

/// A silent stream that another backend server was asked to take over, which ended like this.
fn after_takeover(start: MonoTime, failure: TakeoverFailure) -> Handover {
    let mut handover = Handover::new(start, start.after(DEADLINE), Some(MAX_SILENCE));
    let silent = start.after(MAX_SILENCE);
    handover.apply(silent, Input::Elapsed);
    handover.apply(silent, Input::RetryGranted);
    handover.apply(silent, Input::OtherFailed(failure));
    handover
}

#[test]
fn others_are_asked_again_for_a_silent_stream_when_nothing_was_sent() {
    let start = MonoTime::default();
    let mut handover = after_takeover(start, TakeoverFailure::Unsent);

    let early = handover.apply(start.after(Millis(1_299)), Input::Elapsed);
    let late = handover.apply(start.after(Millis(1_300)), Input::Elapsed);

    assert_eq!((early, late), (Output::Read, Output::TakeRetry));
}

#[test]
fn others_are_not_asked_again_for_a_silent_stream_that_was_rejected() {
    let start = MonoTime::default();

    let handover = after_takeover(start, TakeoverFailure::Rejected);

    let silent = start.after(MAX_SILENCE);
    assert_eq!(handover.wait(silent), start.after(DEADLINE).since(silent));
}

#[test]
fn others_are_not_asked_again_while_a_stream_that_was_silent_goes_on() {
    let start = MonoTime::default();
    let mut handover = after_takeover(start, TakeoverFailure::Unsent);
    let event = start.after(Millis(1_250));

    handover.apply(event, Input::Event { numbered: true });

    assert_eq!(handover.wait(event), MAX_SILENCE);
}

#[test]
fn the_budget_is_asked_again_for_a_silent_stream() {
    let start = MonoTime::default();
    let mut handover = Handover::new(start, start.after(DEADLINE), Some(MAX_SILENCE));
    let silent = start.after(MAX_SILENCE);
    handover.apply(silent, Input::Elapsed);

    let denied = handover.apply(silent, Input::RetryDenied { lasting: false });
    let later = handover.apply(silent.after(Millis(100)), Input::Elapsed);

    assert_eq!((denied, later), (Output::Read, Output::TakeRetry));
}

#[test]
fn a_broken_stream_is_truncated_when_the_budget_denies_its_resumption() {
    let now = MonoTime::default();
    let mut handover = Handover::new(now, now.after(DEADLINE), Some(MAX_SILENCE));
    handover.apply(now, Input::Broken("broken"));

    let output = handover.apply(now, Input::RetryDenied { lasting: false });

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

    let output = handover.apply(now, Input::OtherFailed(TakeoverFailure::Unsent));

    assert_eq!(output, Output::TakeRetry);
}

#[test]
fn a_wait_that_begins_within_a_millisecond_is_not_over_before_its_end() {
    let handover = Handover::new(MonoTime::default(), MonoTime::NEVER, Some(MAX_SILENCE));
    let now = MonoTime::from_micros(1_199_400);

    let wait = handover.wait(now);
    let output = handover.clone().apply(now.after(wait), Input::Elapsed);

    assert_eq!(output, Output::TakeRetry, "read again after {wait}");
}
