//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use super::addrs::Addrs;
use super::exit::EXIT_CODES;
use super::output::Format;
use crate::catalogue::publish::Base;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Revision;
use crate::types::Tokens;

/// Checks and publishes the catalogue and shows the status of the fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub enum Command {
    /// Check, compare, publish and show the catalogue
    #[bpaf(command, footer(EXIT_CODES))]
    Catalogue(#[bpaf(external(catalogue_command))] CatalogueCommand),
    /// Show roles, revisions in force, and which members are leaving or not responding
    #[bpaf(command, footer(EXIT_CODES))]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Show where a request would go, and why
    #[bpaf(command, footer(EXIT_CODES))]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Show what the logs say of one request, and how it ended
    #[bpaf(command, footer(EXIT_CODES))]
    Trace(#[bpaf(external(trace_options))] TraceOptions),
}

/// What to do with the catalogue.
#[derive(Clone, Debug, Bpaf)]
pub enum CatalogueCommand {
    /// Check a folder of declarations without connecting to the platform
    #[bpaf(command, footer(EXIT_CODES))]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Show what applying a folder would change
    #[bpaf(command, footer(EXIT_CODES))]
    Diff(#[bpaf(external(diff_options))] DiffOptions),
    /// Publish a folder atomically
    #[bpaf(command, footer(EXIT_CODES))]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Show the catalogue that the platform holds
    #[bpaf(command, footer(EXIT_CODES))]
    Show(#[bpaf(external(show_options))] ShowOptions),
    /// Show who changed the catalogue, newest change first
    #[bpaf(command, footer(EXIT_CODES))]
    History(#[bpaf(external(history_options))] HistoryOptions),
}

/// The options of `catalogue check`.
#[derive(Clone, Debug, Bpaf)]
pub struct CheckOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The folder of declarations
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}

/// The options of `catalogue diff`.
#[derive(Clone, Debug, Bpaf)]
pub struct DiffOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The platform's key-value service.
    #[bpaf(external)]
    pub platform: SocketAddr,
    /// The folder of declarations
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}

/// The options of `catalogue apply`.
#[derive(Clone, Debug, Bpaf)]
pub struct ApplyOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The platform's key-value service.
    #[bpaf(external)]
    pub platform: SocketAddr,
    /// The revision the folder was made against, or `latest`; another one in force is a conflict
    #[bpaf(argument("REVISION"))]
    pub base: Option<Base>,
    /// The author of the change
    #[bpaf(argument("NAME"), fallback("unknown".to_owned()), display_fallback)]
    pub author: String,
    /// Whether to wait, and for which entries.
    #[bpaf(external, optional)]
    pub wait: Option<Wait>,
    /// The folder of declarations
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}

/// How long `apply` waits, and for which entries.
#[derive(Clone, Debug, Bpaf)]
pub struct Wait {
    /// Wait until the revision is in force at every entry in --entries
    #[bpaf(long("wait"), req_flag(()))]
    pub asked: (),
    /// The entries' addresses
    #[bpaf(argument("ADDR,.."))]
    pub entries: Addrs,
    /// The maximum time to wait
    #[bpaf(argument("MILLIS"), fallback(Millis(60_000)), display_fallback)]
    pub timeout: Millis,
}

/// The options of `catalogue show`.
#[derive(Clone, Debug, Bpaf)]
pub struct ShowOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The platform's key-value service.
    #[bpaf(external)]
    pub platform: SocketAddr,
    /// The revision to show instead of the one in force
    #[bpaf(argument("REVISION"))]
    pub revision: Option<Revision>,
}

/// The options of `catalogue history`.
#[derive(Clone, Debug, Bpaf)]
pub struct HistoryOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The platform's key-value service.
    #[bpaf(external)]
    pub platform: SocketAddr,
    /// The maximum number of changes to show
    #[bpaf(argument("COUNT"), fallback(20), display_fallback)]
    pub limit: usize,
}

/// The options of `status`.
#[derive(Clone, Debug, Bpaf)]
pub struct StatusOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The entries' addresses
    #[bpaf(argument("ADDR,.."))]
    pub entries: Addrs,
}

/// The options of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The address of the entry to ask
    #[bpaf(argument("ADDR"))]
    pub entry: SocketAddr,
    /// The organisation
    #[bpaf(argument("NAME"))]
    pub org: OrgId,
    /// The model or plain service
    #[bpaf(argument("NAME"))]
    pub model: ModelId,
    /// The prompt's length
    #[bpaf(argument("COUNT"), fallback(Tokens(1_000)), display_fallback)]
    pub tokens: Tokens,
}

/// The options of `trace`.
#[derive(Clone, Debug, Bpaf)]
pub struct TraceOptions {
    /// The output format.
    #[bpaf(external)]
    pub format: Format,
    /// The request's identifier
    #[bpaf(positional("ID"))]
    pub request: String,
    /// The logs of the processes
    #[bpaf(positional("FILE"), some("name at least one log"))]
    pub logs: Vec<PathBuf>,
}

/// The option that every command takes, so that programs can read all output.
fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser;
    bpaf::long("format")
        .help("The output format: text or json")
        .argument::<Format>("FORMAT")
        .complete(|_: &Format| {
            Format::ALL
                .iter()
                .map(|format| (format.as_str(), None))
                .collect()
        })
        .fallback(Format::Text)
        .display_fallback()
}

fn platform() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("platform")
        .help("The address of the platform's key-value service")
        .argument::<SocketAddr>("ADDR")
}
