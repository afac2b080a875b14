//! `catalogue check`.

use insta::assert_json_snapshot;
use insta::assert_snapshot;

use crate::declaration::entry;
use crate::test_platform::TestPlatform;

#[test]
fn a_valid_folder_passes() {
    let operator = TestPlatform::new()
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);

    let output = operator.check("").expect_exit(0);

    assert_snapshot!(output.stdout);
}

#[test]
fn every_fault_is_reported_with_file_line_key_and_remedy() {
    let entries = [entry("a1", "office-a", 0), entry("a1", "office-b", 3)];
    let operator = TestPlatform::new().operator("anna").with_entries(&entries);

    let text = operator.check("").expect_exit(1);
    let json = operator.check("--format json").expect_exit(1);

    assert_snapshot!(text.stdout);
    assert_json_snapshot!(json.json());
}

#[test]
fn a_folder_without_declarations_is_refused() {
    let operator = TestPlatform::new().operator("anna");

    let output = operator.check("").expect_exit(1);

    assert_snapshot!(output.stderr);
}
