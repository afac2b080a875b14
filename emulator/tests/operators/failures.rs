//! The platform fails at the worst moment.

use insta::assert_snapshot;

use crate::declaration::entry;
use crate::site::Site;

#[test]
fn a_lost_answer_is_settled_and_the_change_lands_once() {
    let site = Site::new();
    let operator = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);

    // One page, one part, then the head: each of the three answers is lost in turn.
    site.faults("{\"lose_next\": 3}");
    let finding = operator.apply("--base 0").exits(0);

    assert_snapshot!(finding.stdout);
    let history = site.run("catalogue history --format json").exits(0).json();
    assert_eq!(history["changes"].as_array().map(Vec::len), Some(1));
}

#[test]
fn a_lost_answer_to_each_write_of_a_second_change_is_settled() {
    for lost in [
        "{\"lose_next\": 1}",
        "{\"lose_next\": 2}",
        "{\"lose_next\": 4}",
    ] {
        let site = Site::new();
        site.operator("anna")
            .declares(&[entry("a1", "office-a", 3)])
            .apply("--base 0")
            .exits(0);

        site.faults(lost);
        let second = site
            .operator("bela")
            .declares(&[entry("a1", "office-a", 4)]);
        second.apply("--base 1").exits(0);

        let history = site.run("catalogue history --format json").exits(0).json();
        assert_eq!(
            history["changes"].as_array().map(Vec::len),
            Some(2),
            "{lost}"
        );
    }
}

#[test]
fn an_outcome_that_stays_unknown_is_told_with_what_to_do() {
    let site = Site::new();
    // A catalogue without entries has no texts, so the swap is its only write.
    let operator = site.operator("anna").declares(&[" []".to_owned()]);

    site.faults("{\"lose_answers\": true}");
    let finding = operator.apply("--base 0").exits(5);
    site.faults("{\"lose_answers\": false}");

    assert!(finding.stdout.contains("catalogue history"), "{finding:?}");
    assert!(
        finding.stdout.contains("may have taken effect"),
        "{finding:?}"
    );
    let again = operator.apply("--base 1").exits(0);
    assert!(again.stdout.starts_with("unchanged"), "{again:?}");
}

#[test]
fn lost_answers_before_the_swap_leave_no_doubt() {
    let site = Site::new();
    let operator = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);

    site.faults("{\"lose_answers\": true}");
    operator.apply("--base 0").exits(4);
    site.faults("{\"lose_answers\": false}");

    site.run("catalogue show").exits(1);
}

#[test]
fn a_silent_platform_changes_nothing_and_is_named() {
    let site = Site::new();
    let operator = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);

    site.faults("{\"down\": true}");
    let finding = operator.apply("--base 0").exits(4);
    site.faults("{\"down\": false}");

    assert!(
        finding.stderr.contains("nothing was changed"),
        "{finding:?}"
    );
    site.run("catalogue show").exits(1);
}

#[test]
fn a_platform_without_a_catalogue_says_so() {
    let site = Site::new();

    let finding = site.run("catalogue show").exits(1);

    assert_snapshot!(finding.stderr);
}
