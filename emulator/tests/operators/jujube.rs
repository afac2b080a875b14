//! One run of the command, built step by step.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use crate::finding::Finding;

/// A run that has not begun.
#[derive(Clone, Debug)]
pub struct Jujube {
    args: Vec<String>,
    dir: String,
}

impl Jujube {
    /// Runs these words, such as `catalogue check`.
    pub fn new(words: &str) -> Self {
        Self {
            args: words.split_whitespace().map(ToOwned::to_owned).collect(),
            dir: String::new(),
        }
    }

    /// Adds more words.
    pub fn with(mut self, words: &str) -> Self {
        let words = words.split_whitespace();
        self.args.extend(words.map(ToOwned::to_owned));
        self
    }

    /// Names the platform.
    pub fn platform(self, addr: SocketAddr) -> Self {
        self.with(&format!("--platform {addr}"))
    }

    /// Names the folder, which the output then shows as `DIR`.
    pub fn folder(mut self, dir: &Path) -> Self {
        self.dir = dir.display().to_string();
        self.args.push(self.dir.clone());
        self
    }

    /// Runs to the end.
    pub fn run(&self) -> Finding {
        let binary = Path::new(env!("CARGO_BIN_EXE_jujube-emulator")).with_file_name("jujube");
        let output = Command::new(binary)
            .args(&self.args)
            .output()
            .expect("the binary starts; build the whole workspace first");
        Finding {
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
