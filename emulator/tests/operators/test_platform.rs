//! An emulated platform, and operators with a catalogue folder each.

use std::net::SocketAddr;
use std::net::TcpListener;

use compio::runtime::Runtime;
use jujube_emulator::http::RunningServer;
use jujube_emulator::platform::PlatformOptions;
use tempfile::TempDir;

use crate::command_output::CommandOutput;
use crate::jujube::Jujube;

/// The emulated platform that operators share.
pub struct TestPlatform {
    server: RunningServer,
}

impl TestPlatform {
    /// Starts a platform without a catalogue.
    pub fn new() -> Self {
        Self::start(PlatformOptions::default())
    }

    /// Starts a platform that accepts `writes` writes per second.
    pub fn with_write_rate(writes: u64) -> Self {
        Self::start(PlatformOptions {
            writes,
            ..PlatformOptions::default()
        })
    }

    fn start(options: PlatformOptions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let server = RunningServer::start(listener, |listener| {
            jujube_emulator::platform::serve(listener, options)
        });
        Self {
            server: server.expect("the platform starts"),
        }
    }

    /// The platform's address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Sets faults of the platform.
    pub fn set_faults(&self, json: &'static str) {
        let url = format!("{}/faults", self.server.url());
        let runtime = Runtime::new().expect("the runtime starts");
        let status = runtime.block_on(async {
            let client = cyper::Client::new().expect("a client");
            let request = client.post(url).expect("a URL").body(json);
            request.send().await.expect("an answer").status()
        });
        assert_eq!(status, 200, "the platform accepts {json}");
    }

    /// Creates an operator with an empty folder.
    pub fn operator(&self, name: &'static str) -> Operator {
        Operator {
            name,
            platform: self.server.addr,
            dir: TempDir::new().expect("a folder for the catalogue"),
        }
    }

    /// Runs a command that takes the platform but no folder.
    pub fn run(&self, args: &str) -> CommandOutput {
        Jujube::new(args).platform(self.server.addr).run()
    }
}

/// An operator and the folder of its catalogue.
pub struct Operator {
    name: &'static str,
    platform: SocketAddr,
    dir: TempDir,
}

impl Operator {
    /// Writes these entries to the only file of the folder.
    pub fn with_entries(self, entries: &[String]) -> Self {
        let text = format!("entries:\n{}", entries.concat());
        let path = self.dir.path().join("a.yaml");
        std::fs::write(path, text).expect("the catalogue can be written");
        self
    }

    /// Runs `catalogue check` on the folder.
    pub fn check(&self, args: &str) -> CommandOutput {
        Jujube::new("catalogue check")
            .with(args)
            .folder(self.dir.path())
            .run()
    }

    /// Runs `catalogue diff` on the folder.
    pub fn diff(&self, args: &str) -> CommandOutput {
        let diff = Jujube::new("catalogue diff").platform(self.platform);
        diff.with(args).folder(self.dir.path()).run()
    }

    /// Runs `catalogue apply` on the folder.
    pub fn apply(&self, args: &str) -> CommandOutput {
        let apply = Jujube::new("catalogue apply").platform(self.platform);
        let apply = apply.with(&format!("--author {}", self.name));
        apply.with(args).folder(self.dir.path()).run()
    }
}
