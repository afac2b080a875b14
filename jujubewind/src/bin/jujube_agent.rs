//! The agent daemon.

use std::process::ExitCode;

use jujubewind::agent;
use jujubewind::daemon::launch;
use jujubewind::settings::AgentSettings;

fn main() -> ExitCode {
    launch(|settings: &AgentSettings| settings.log, agent::run)
}
