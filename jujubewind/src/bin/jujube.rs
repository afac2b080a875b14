//! The operators' command-line tool.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::ParseFailure;
use jujubewind::cli;
use jujubewind::cli::Exit;

/// Messages are wrapped to this number of columns.
const WRAP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let command = match cli::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_usage(&failure),
    };
    match cli::run(&command) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("error: {error}");
            error.exit().into()
        }
    }
}

/// Prints help, completions or a usage error; only the latter is a failure.
fn print_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(WRAP_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage.into(),
        _ => Exit::Success.into(),
    }
}
