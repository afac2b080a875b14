//! `catalogue diff`, `apply`, `show` and `history`.

use insta::assert_json_snapshot;
use insta::assert_snapshot;

use crate::declaration::entry;
use crate::site::Site;

#[test]
fn a_folder_is_compared_published_shown_and_listed() {
    let site = Site::new();
    let first = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);
    let second = site
        .operator("bela")
        .declares(&[entry("a1", "office-a", 5), entry("b1", "office-b", 3)]);

    let empty = first.diff("").exits(0);
    let accepted = first.apply("--base 0").exits(0);
    let diff = second.diff("--format json").exits(0);
    let later = second.apply("--base 1 --format json").exits(0);
    let again = second.apply("--base 2").exits(0);

    assert_snapshot!(empty.stdout);
    assert_snapshot!(accepted.stdout);
    assert_json_snapshot!(diff.json());
    assert_json_snapshot!(later.json());
    assert_snapshot!(again.stdout);
    assert_json_snapshot!(site.run("catalogue show --format json").exits(0).json());
    assert_snapshot!(site.run("catalogue show --revision 1").exits(0).stdout);
    assert_json_snapshot!(site.run("catalogue history --format json").exits(0).json());
}

#[test]
fn the_slower_of_two_operators_is_told_what_the_other_changed() {
    let site = Site::new();
    let first = [entry("a1", "office-a", 3), entry("b1", "office-b", 3)];
    site.operator("anna")
        .declares(&first)
        .apply("--base 0")
        .exits(0);
    let faster = site
        .operator("bela")
        .declares(&[entry("a1", "office-a", 5)]);
    let slower = site
        .operator("cyra")
        .declares(&[entry("a1", "office-a", 9)]);

    faster.apply("--base 1").exits(0);
    let text = slower.apply("--base 1").exits(3);
    let json = slower.apply("--base 1 --format json").exits(3);

    assert_snapshot!(text.stdout);
    assert_json_snapshot!(json.json());
    let shown = site.run("catalogue show --format json").json();
    assert_eq!(shown["author"], "bela");
    assert_eq!(shown["revision"], 2);
}

#[test]
fn a_faulty_folder_changes_nothing() {
    let site = Site::new();
    site.operator("anna")
        .declares(&[entry("a1", "office-a", 3)])
        .apply("--base 0")
        .exits(0);
    let faulty = [entry("a1", "office-a", 4), entry("b1", "office-b", 0)];

    let finding = site
        .operator("bela")
        .declares(&faulty)
        .apply("--base 1")
        .exits(1);

    assert_snapshot!(finding.stderr);
    assert_eq!(
        site.run("catalogue show --format json").json()["revision"],
        1
    );
}

#[test]
fn an_apply_without_a_base_warns() {
    let site = Site::new();

    let finding = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)])
        .apply("");

    assert_snapshot!(finding.exits(0).stderr);
}

#[test]
fn operators_racing_without_a_base_each_get_a_revision_or_a_conflict() {
    let site = Site::new();
    let operators: Vec<_> = (1..=4)
        .map(|limit| {
            site.operator("anna")
                .declares(&[entry("a1", "office-a", limit)])
        })
        .collect();

    let codes: Vec<i32> = std::thread::scope(|scope| {
        let runs: Vec<_> = operators
            .iter()
            .map(|one| scope.spawn(|| one.apply("--base latest").code))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("a run ends"))
            .collect()
    });

    let accepted = codes.iter().filter(|code| **code == 0).count();
    let lost = codes.iter().filter(|code| **code == 3).count();
    assert_eq!(accepted + lost, 4, "{codes:?}");
    let shown = site.run("catalogue show --format json").exits(0).json();
    assert_eq!(shown["revision"], accepted, "{codes:?}");
}
