//! Command-line options of the daemons.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Options of a daemon.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// The settings file (YAML)
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Validate the settings file and exit: 0 when it is sound, 2 when not
    pub check: bool,
}
