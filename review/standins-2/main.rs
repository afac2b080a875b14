//! Plays one case of the review: `review-case CASE TROUBLE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With 0 for `TROUBLE` the disturbance is left out.

mod base64;
mod case;
mod cases;
mod entry;
mod http;
mod payouts;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use crate::case::Verdict;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[1..] {
        ["server", addr, id] => {
            if let Ok(addr) = addr.parse() {
                worker::serve(addr, id);
            }
            ExitCode::from(2)
        }
        [name, trouble, record] => match cases::play(name, trouble, Path::new(record)) {
            Ok(Verdict::Held) => ExitCode::SUCCESS,
            Ok(Verdict::Broken) => ExitCode::from(1),
            Err(error) => {
                eprintln!("the case could not run: {error}");
                ExitCode::from(2)
            }
        },
        _ => {
            eprintln!("usage: review-case CASE TROUBLE RECORD");
            ExitCode::from(2)
        }
    }
}
