//! `catalogue diff`, `apply`, `show` and `history`.

use insta::assert_json_snapshot;
use insta::assert_snapshot;

use crate::declaration::entry;
use crate::test_platform::TestPlatform;

#[test]
fn a_folder_is_compared_published_shown_and_listed() {
    let platform = TestPlatform::new();
    let first = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);
    let second = platform
        .operator("bela")
        .with_entries(&[entry("a1", "office-a", 5), entry("b1", "office-b", 3)]);

    let empty = first.diff("").expect_exit(0);
    let accepted = first.apply("--base 0").expect_exit(0);
    let diff = second.diff("--format json").expect_exit(0);
    let later = second.apply("--base 1 --format json").expect_exit(0);
    let again = second.apply("--base 2").expect_exit(0);

    assert_snapshot!(empty.stdout);
    assert_snapshot!(accepted.stdout);
    assert_json_snapshot!(diff.json());
    assert_json_snapshot!(later.json());
    assert_snapshot!(again.stdout);
    assert_json_snapshot!(
        platform
            .run("catalogue show --format json")
            .expect_exit(0)
            .json()
    );
    assert_snapshot!(
        platform
            .run("catalogue show --revision 1")
            .expect_exit(0)
            .stdout
    );
    assert_json_snapshot!(
        platform
            .run("catalogue history --format json")
            .expect_exit(0)
            .json()
    );
}

#[test]
fn a_conflict_shows_what_the_other_operator_changed() {
    let platform = TestPlatform::new();
    let first = [entry("a1", "office-a", 3), entry("b1", "office-b", 3)];
    platform
        .operator("anna")
        .with_entries(&first)
        .apply("--base 0")
        .expect_exit(0);
    let faster = platform
        .operator("bela")
        .with_entries(&[entry("a1", "office-a", 5)]);
    let slower = platform
        .operator("cyra")
        .with_entries(&[entry("a1", "office-a", 9)]);

    faster.apply("--base 1").expect_exit(0);
    let text = slower.apply("--base 1").expect_exit(3);
    let json = slower.apply("--base 1 --format json").expect_exit(3);

    assert_snapshot!(text.stdout);
    assert_json_snapshot!(json.json());
    let shown = platform.run("catalogue show --format json").json();
    assert_eq!(shown["author"], "bela");
    assert_eq!(shown["revision"], 2);
}

#[test]
fn an_invalid_folder_changes_nothing() {
    let platform = TestPlatform::new();
    platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)])
        .apply("--base 0")
        .expect_exit(0);
    let invalid = [entry("a1", "office-a", 4), entry("b1", "office-b", 0)];

    let output = platform
        .operator("bela")
        .with_entries(&invalid)
        .apply("--base 1")
        .expect_exit(1);

    assert_snapshot!(output.stderr);
    assert_eq!(
        platform.run("catalogue show --format json").json()["revision"],
        1
    );
}

#[test]
fn an_apply_without_a_base_warns() {
    let platform = TestPlatform::new();

    let output = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)])
        .apply("");

    assert_snapshot!(output.expect_exit(0).stderr);
}

#[test]
fn operators_racing_without_a_base_each_get_a_revision_or_a_conflict() {
    let platform = TestPlatform::new();
    let operators: Vec<_> = (1..=4)
        .map(|limit| {
            platform
                .operator("anna")
                .with_entries(&[entry("a1", "office-a", limit)])
        })
        .collect();

    let codes: Vec<i32> = std::thread::scope(|scope| {
        let runs: Vec<_> = operators
            .iter()
            .map(|operator| scope.spawn(|| operator.apply("--base latest").code))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("a finished run"))
            .collect()
    });

    let accepted = codes.iter().filter(|code| **code == 0).count();
    let lost = codes.iter().filter(|code| **code == 3).count();
    assert_eq!(accepted + lost, 4, "{codes:?}");
    let shown = platform
        .run("catalogue show --format json")
        .expect_exit(0)
        .json();
    assert_eq!(shown["revision"], accepted, "{codes:?}");
}
