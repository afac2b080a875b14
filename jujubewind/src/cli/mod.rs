//! The operators' command-line tool: manages the catalogue and shows the status of the fleet.

mod addrs;
mod apply;
mod check;
mod conflict;
mod diff;
mod entry_client;
mod error;
mod exit;
mod explain;
mod history;
pub mod options;
pub mod output;
mod platform_client;
mod run;
mod show;
mod status;
mod trace;
mod wait;
mod warning;

pub use addrs::Addrs;
pub use error::Error;
pub use error::Result;
pub use exit::Exit;
pub use options::Command;
pub use options::command;
pub use platform_client::PlatformClient;
pub use run::run;
pub use warning::Warning;
