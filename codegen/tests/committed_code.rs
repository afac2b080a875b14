//! Checks that the committed message types match their schemas.

use std::fs;
use std::path::Path;

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    fs::read_to_string(root.join(path)).expect("the file is readable")
}

#[test]
fn the_committed_types_are_those_of_the_schemas() {
    for name in codegen::INTERFACES {
        let schema = read(&format!("schema/{name}.json"));

        let code = codegen::generate(&schema).expect("the schema is valid");

        let committed = read(&format!("jujubewind/src/wire/{name}.rs"));
        assert_eq!(code, committed, "run `cargo run -p codegen`");
    }
}

#[test]
fn a_schema_that_is_no_json_names_the_remedy() {
    let error = codegen::generate("{").expect_err("the schema is broken");

    assert!(error.to_string().contains("correct the file under schema/"));
}
