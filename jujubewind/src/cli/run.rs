//! Runs a command and prints its report.

use compio::runtime::Runtime;

use super::Exit;
use super::Result;
use super::apply;
use super::check;
use super::diff;
use super::explain;
use super::history;
use super::options::CatalogueCommand;
use super::options::Command;
use super::output::Format;
use super::output::Output;
use super::output::Report;
use super::show;
use super::status;
use super::trace;

/// Runs a command and prints its report.
///
/// # Errors
/// The command failed and has no report to print.
pub fn run(command: &Command) -> Result<Exit> {
    Runtime::new()?.block_on(async {
        match command {
            Command::Catalogue(command) => catalogue(command).await,
            Command::Status(options) => print(options.format, status::status(options).await),
            Command::Explain(options) => print(options.format, explain::explain(options).await),
            Command::Trace(options) => print(options.format, trace::trace(options)),
        }
    })
}

async fn catalogue(command: &CatalogueCommand) -> Result<Exit> {
    match command {
        CatalogueCommand::Check(options) => print(options.format, check::check(options)),
        CatalogueCommand::Diff(options) => print(options.format, diff::diff(options).await),
        CatalogueCommand::Apply(options) => print(options.format, apply::apply(options).await),
        CatalogueCommand::Show(options) => print(options.format, show::show(options).await),
        CatalogueCommand::History(options) => {
            print(options.format, history::history(options).await)
        }
    }
}

fn print(format: Format, report: Result<impl Report>) -> Result<Exit> {
    let report = report?;
    print!("{}", format.render(&report));
    Ok(report.exit())
}
