//! `catalogue check`.

use insta::assert_json_snapshot;
use insta::assert_snapshot;

use crate::declaration::entry;
use crate::site::Site;

#[test]
fn a_sound_folder_passes() {
    let operator = Site::new()
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);

    let finding = operator.check("").exits(0);

    assert_snapshot!(finding.stdout);
}

#[test]
fn every_fault_is_told_with_file_line_key_and_remedy() {
    let entries = [entry("a1", "office-a", 0), entry("a1", "office-b", 3)];
    let operator = Site::new().operator("anna").declares(&entries);

    let text = operator.check("").exits(1);
    let json = operator.check("--format json").exits(1);

    assert_snapshot!(text.stdout);
    assert_json_snapshot!(json.json());
}

#[test]
fn a_folder_without_declarations_is_refused() {
    let operator = Site::new().operator("anna");

    let finding = operator.check("").exits(1);

    assert_snapshot!(finding.stderr);
}
