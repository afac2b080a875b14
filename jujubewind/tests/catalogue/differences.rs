//! The differences between two catalogues.

use insta::assert_snapshot;
use jujubewind::catalogue::Diff;

use crate::fixture::model_entry;
use crate::fixture::read;
use crate::fixture::service_entry;

fn diff(before: &[String], after: &[String]) -> Diff {
    let before = read(before).expect("valid catalogue");
    let after = read(after).expect("valid catalogue");
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
fn added_removed_and_changed_entries_are_listed_with_their_keys() {
    let kept = model_entry("a1", "office-a", "summary");
    let changed = kept.replace("concurrency: 3", "concurrency: 4");
    let removed = model_entry("b1", "office-b", "summary");
    let added = service_entry("c1", "office-c", false);

    let diff = diff(&[kept, removed], &[changed, added]);

    assert_snapshot!(diff);
}

#[test]
fn a_changed_target_is_listed_as_removed_and_added_keys() {
    let model = model_entry("a1", "office-a", "summary");
    let service = service_entry("a1", "office-a", false);

    let diff = diff(&[model], &[service]);

    assert_snapshot!(diff);
}
