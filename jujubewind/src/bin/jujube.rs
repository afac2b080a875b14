//! The operators' command.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::ParseFailure;
use jujubewind::cli;
use jujubewind::cli::Exit;

/// The columns to which messages are wrapped.
const WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cli::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return usage(&failure),
    };
    match cli::run(&command) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("error: {error}");
            error.exit().into()
        }
    }
}

/// Help and completions succeed; anything else is a wrong command line.
fn usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage.into(),
        _ => Exit::Success.into(),
    }
}
