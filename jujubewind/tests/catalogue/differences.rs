//! How two catalogues differ.

use insta::assert_snapshot;
use jujubewind::catalogue::Diff;

use crate::fixture::model_entry;
use crate::fixture::read;
use crate::fixture::service_entry;

fn diff(before: &[String], after: &[String]) -> Diff {
    let before = read(before).expect("a sound catalogue");
    let after = read(after).expect("a sound catalogue");
    Diff::between(&before, &after)
}

#[test]
fn a_catalogue_does_not_differ_from_itself_in_another_order() {
    let (first, second) = (
        model_entry("a1", "office-a", "summary"),
        service_entry("b1", "office-b", false),
    );

    let diff = diff(&[first.clone(), second.clone()], &[second, first]);

    assert!(diff.is_empty(), "{diff}");
}

#[test]
fn added_removed_and_changed_entries_are_told_by_their_keys() {
    let kept = model_entry("a1", "office-a", "summary");
    let changed = kept.replace("concurrency: 3", "concurrency: 4");
    let gone = model_entry("b1", "office-b", "summary");
    let new = service_entry("c1", "office-c", false);

    let diff = diff(&[kept, gone], &[changed, new]);

    assert_snapshot!(diff);
}

#[test]
fn another_target_is_told_by_what_came_and_went() {
    let model = model_entry("a1", "office-a", "summary");
    let service = service_entry("a1", "office-a", false);

    let diff = diff(&[model], &[service]);

    assert_snapshot!(diff);
}
