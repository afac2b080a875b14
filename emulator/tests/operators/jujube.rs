//! A builder of one run of the `jujube` command.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use crate::command_output::CommandOutput;
use crate::process;

/// The arguments of one run.
#[derive(Clone, Debug)]
pub struct Jujube {
    args: Vec<String>,
    dir: String,
}

impl Jujube {
    /// Starts with a subcommand, such as `catalogue check`.
    pub fn new(args: &str) -> Self {
        Self {
            args: args.split_whitespace().map(ToOwned::to_owned).collect(),
            dir: String::new(),
        }
    }

    /// Adds arguments, separated by whitespace.
    pub fn with(mut self, args: &str) -> Self {
        let args = args.split_whitespace();
        self.args.extend(args.map(ToOwned::to_owned));
        self
    }

    /// Adds the platform's address.
    pub fn platform(self, addr: SocketAddr) -> Self {
        self.with(&format!("--platform {addr}"))
    }

    /// Adds the catalogue's folder, which the captured output shows as `DIR`.
    pub fn folder(mut self, dir: &Path) -> Self {
        self.dir = dir.display().to_string();
        self.args.push(self.dir.clone());
        self
    }

    /// Runs the command until it exits.
    pub fn run(&self) -> CommandOutput {
        let output = Command::new(process::path("jujube"))
            .args(&self.args)
            .output()
            .expect("the binary starts; build the whole workspace first");
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: self.text(&output.stdout),
            stderr: self.text(&output.stderr),
        }
    }

    fn text(&self, bytes: &[u8]) -> String {
        let text = String::from_utf8_lossy(bytes).into_owned();
        if self.dir.is_empty() {
            return text;
        }
        text.replace(&self.dir, "DIR")
    }
}
