//! Stand-ins for the platform's store, backend servers and callers, and the cases that use them.
//!
//! Uses nothing but the standard library. `standins CASE FOLDER` starts the project's own program,
//! plays one case and writes `record.txt` into the folder. It exits with 1 if the rule was broken, 0
//! if it held and 2 if the case could not run.

mod base64;
mod caller;
mod entry;
mod http;
mod record;
mod server;
mod store;

mod cases;

use std::path::PathBuf;
use std::process::exit;

/// The result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(PathBuf::from(folder).join("record.txt"), trouble);
    entry::limit_case();
    let outcome = cases::play(case, trouble);
    match &outcome {
        Ok(true) => record::line("result: the rule held"),
        Ok(false) => record::line("result: the rule was broken"),
        Err(error) => record::line(&format!("result: the case could not run: {error}")),
    }
    exit(match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}
