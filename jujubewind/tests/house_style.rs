//! Checks of the coding style that neither rustfmt nor clippy makes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn source_files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for package in ["jujubewind", "emulator", "platform"] {
        collect(&root.join(package), &mut found);
    }
    found
}

fn collect(dir: &Path, found: &mut Vec<PathBuf>) {
    for item in fs::read_dir(dir).expect("the folder is readable") {
        let path = item.expect("the item is readable").path();
        if path.is_dir() {
            collect(&path, found);
        } else if path.extension().is_some_and(|ext| ext == "rs") {
            found.push(path);
        }
    }
}

fn lines_where(matches: impl Fn(&str) -> bool) -> Vec<String> {
    let mut hits = Vec::new();
    for path in source_files() {
        let text = fs::read_to_string(&path).expect("the source is readable");
        for (number, line) in text.lines().enumerate() {
            if matches(line) {
                hits.push(format!("{}:{}: {line}", path.display(), number + 1));
            }
        }
    }
    hits
}

#[test]
fn each_import_has_its_own_line() {
    let is_import = |line: &str| line.starts_with("use ") || line.starts_with("pub use ");

    let hits = lines_where(|line| is_import(line) && line.contains('{'));

    assert!(hits.is_empty(), "split these imports:\n{}", hits.join("\n"));
}

#[test]
fn tests_live_in_test_files() {
    let marker = ["#[cfg", "(test)]"].concat();

    let hits = lines_where(|line| line.trim() == marker);

    assert!(
        hits.is_empty(),
        "move these to tests/:\n{}",
        hits.join("\n")
    );
}

#[test]
fn each_file_starts_with_a_doc_comment() {
    let undocumented: Vec<PathBuf> = source_files()
        .into_iter()
        .filter(|path| {
            let text = fs::read_to_string(path).expect("the source is readable");
            !text.starts_with("//!")
        })
        .collect();

    assert!(
        undocumented.is_empty(),
        "these files do not start with a `//!` comment: {undocumented:?}"
    );
}
