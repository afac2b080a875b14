//! `catalogue` commands while the platform fails.

use insta::assert_snapshot;

use crate::declaration::entry;
use crate::test_platform::TestPlatform;

#[test]
fn a_lost_response_is_resolved_and_the_change_is_applied_once() {
    let platform = TestPlatform::new();
    let operator = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);

    // The writes of one page, one part and the head each lose their response.
    platform.set_faults("{\"lose_next\": 3}");
    let output = operator.apply("--base 0").expect_exit(0);

    assert_snapshot!(output.stdout);
    let history = platform
        .run("catalogue history --format json")
        .expect_exit(0)
        .json();
    assert_eq!(history["changes"].as_array().map(Vec::len), Some(1));
}

#[test]
fn lost_responses_to_the_writes_of_a_second_change_are_resolved() {
    for lost in [
        "{\"lose_next\": 1}",
        "{\"lose_next\": 2}",
        "{\"lose_next\": 4}",
    ] {
        let platform = TestPlatform::new();
        platform
            .operator("anna")
            .with_entries(&[entry("a1", "office-a", 3)])
            .apply("--base 0")
            .expect_exit(0);

        platform.set_faults(lost);
        let second = platform
            .operator("bela")
            .with_entries(&[entry("a1", "office-a", 4)]);
        second.apply("--base 1").expect_exit(0);

        let history = platform
            .run("catalogue history --format json")
            .expect_exit(0)
            .json();
        assert_eq!(
            history["changes"].as_array().map(Vec::len),
            Some(2),
            "{lost}"
        );
    }
}

#[test]
fn an_unknown_outcome_is_reported_with_a_remedy() {
    let platform = TestPlatform::new();
    // An empty catalogue has no texts to store, so the swap of the head is its only write.
    let operator = platform.operator("anna").with_entries(&[" []".to_owned()]);

    platform.set_faults("{\"lose_answers\": true}");
    let output = operator.apply("--base 0").expect_exit(5);
    platform.set_faults("{\"lose_answers\": false}");

    assert!(output.stdout.contains("catalogue history"), "{output:?}");
    assert!(
        output.stdout.contains("may have taken effect"),
        "{output:?}"
    );
    let again = operator.apply("--base 1").expect_exit(0);
    assert!(again.stdout.starts_with("unchanged"), "{again:?}");
}

#[test]
fn responses_lost_before_the_swap_leave_the_catalogue_unchanged() {
    let platform = TestPlatform::new();
    let operator = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);

    platform.set_faults("{\"lose_answers\": true}");
    operator.apply("--base 0").expect_exit(4);
    platform.set_faults("{\"lose_answers\": false}");

    platform.run("catalogue show").expect_exit(1);
}

#[test]
fn an_unavailable_platform_is_reported_and_nothing_changes() {
    let platform = TestPlatform::new();
    let operator = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);

    platform.set_faults("{\"down\": true}");
    let output = operator.apply("--base 0").expect_exit(4);
    platform.set_faults("{\"down\": false}");

    assert!(output.stderr.contains("nothing was changed"), "{output:?}");
    platform.run("catalogue show").expect_exit(1);
}

#[test]
fn showing_a_missing_catalogue_is_an_error() {
    let platform = TestPlatform::new();

    let output = platform.run("catalogue show").expect_exit(1);

    assert_snapshot!(output.stderr);
}

#[test]
fn a_large_change_is_retried_under_the_rate_limit() {
    let platform = TestPlatform::with_write_rate(20);
    let owners = (0..30).map(|number| format!("office-{number}"));
    let entries: Vec<String> = owners
        .map(|owner| entry(&format!("{owner}.reviews"), &owner, 3))
        .collect();

    let output = platform
        .operator("anna")
        .with_entries(&entries)
        .apply("--base 0");

    assert_eq!(output.expect_exit(0).stdout, "accepted: revision 1\n");
}
