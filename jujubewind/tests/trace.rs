//! Finds the outcome of a request in the logs, by the request's identifier.

use jujubewind::trace::Fields;
use jujubewind::trace::Timeline;

const ENTRY_1: &str = r#"
ts=2026-03-01T10:00:00.010Z level=INFO event=request_placed request=a1 route=r1 server=s1 helpers=0 prompt=4931 part=35us first=60us waited=0ms left=9990ms
ts=2026-03-01T10:00:00.020Z level=INFO event=request_placed request=b2 route=r1 server=s1 helpers=0 prompt=100 part=1us first=2us waited=0ms left=9990ms
ts=2026-03-01T10:00:00.150Z level=INFO event=stream_began request=a1 server=s1 predicted=60us took=140ms
ts=2026-03-01T10:00:01.400Z level=WARN event=attempt_failed request=a1 server=s1 what=broken cause="after event Some(7)" runs=1 took=1390ms
"#;

const RESUMED: &str = r"
ts=2026-03-01T10:00:01.410Z level=INFO event=request_placed request=a1 route=r1 server=s2 helpers=0 prompt=4931 part=35us first=60us waited=1400ms left=8590ms
ts=2026-03-01T10:00:03.000Z level=INFO event=request_ended request=a1 server=s2 status=200 outcome=served runs=2 pause=310ms took=2990ms
";

fn timeline(request: &str, logs: &[&str]) -> Timeline {
    let mut timeline = Timeline::new(request);
    for (number, log) in logs.iter().enumerate() {
        timeline.add_log(&format!("entry-{number}"), log);
    }
    timeline
}

fn outcome(request: &str, logs: &[&str]) -> String {
    let outcome = timeline(request, logs).outcome();
    outcome
        .map(|outcome| outcome.to_string())
        .unwrap_or_default()
}

#[test]
fn steps_from_all_logs_are_sorted_by_time() {
    let timeline = timeline("a1", &[RESUMED, ENTRY_1]);

    let events: Vec<String> = timeline
        .steps()
        .iter()
        .map(|step| step.fields().get("event").unwrap_or_default().to_owned())
        .collect();

    let expected = [
        "request_placed",
        "stream_began",
        "attempt_failed",
        "request_placed",
        "request_ended",
    ];
    assert_eq!(events, expected);
}

#[test]
fn a_resumed_stream_counts_as_served() {
    insta::assert_snapshot!(
        outcome("a1", &[ENTRY_1, RESUMED]),
        @"Answered by s2 with status 200 after 2990ms; its longest pause was 310ms."
    );
}

#[test]
fn an_interrupted_stream_names_the_server_and_the_error() {
    insta::assert_snapshot!(
        outcome("a1", &[ENTRY_1]),
        @"Cut after 1390ms: the answer of s1 ended (broken: after event Some(7)) and no other server resumed it."
    );
}

#[test]
fn a_truncated_answer_and_a_caller_that_left_are_told_apart() {
    let truncated = "ts=2026-03-01T10:00:02.000Z level=WARN event=answer_truncated request=a1 what=deadline last=7 runs=1 took=1990ms";
    let left =
        "ts=2026-03-01T10:00:02.000Z level=INFO event=caller_left request=a1 runs=1 took=1990ms";

    insta::assert_snapshot!(
        outcome("a1", &[ENTRY_1, truncated]),
        @"Truncated after 1990ms: the answer ended after event 7 (deadline) in 1 attempt(s)."
    );
    insta::assert_snapshot!(
        outcome("a1", &[ENTRY_1, left]),
        @"Abandoned after 1990ms: its caller disconnected."
    );
}

#[test]
fn a_refused_request_is_reported_as_not_run() {
    let log = "ts=1 level=INFO event=request_failed request=c3 prompt=5 reason=queue_full ran=not_run retry=300ms table=7 proof=900ms took=2ms";

    insta::assert_snapshot!(
        outcome("c3", &[log]),
        @"Failed after 2ms for `queue_full`: it did not run."
    );
}

#[test]
fn a_call_of_unknown_outcome_is_reported_as_unknown() {
    let log = "ts=1 level=INFO event=request_failed request=d4 prompt=0 reason=outcome_unknown ran=unknown retry=0ms table=7 proof=900ms took=45ms";

    insta::assert_snapshot!(
        outcome("d4", &[log]),
        @"Failed after 45ms for `outcome_unknown`: whether it ran is unknown."
    );
}

#[test]
fn a_request_absent_from_all_logs_has_no_outcome() {
    assert_eq!(outcome("zz", &[ENTRY_1]), "");
}

#[test]
fn quoted_values_are_parsed_with_spaces_and_escapes() {
    let fields = Fields::parse(r#"event=x cause="no \"way\" = out" took=5ms"#);

    assert_eq!(fields.get("cause"), Some(r#"no "way" = out"#));
    assert_eq!(fields.get("took"), Some("5ms"));
}
