//! The entry daemon.

use std::process::ExitCode;

use jujubewind::daemon::launch;
use jujubewind::entry;
use jujubewind::settings::EntrySettings;

fn main() -> ExitCode {
    launch(|settings: &EntrySettings| settings.log, entry::run)
}
