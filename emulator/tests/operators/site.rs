//! A platform, and operators with a folder each.

use std::net::SocketAddr;
use std::net::TcpListener;

use compio::runtime::Runtime;
use jujube_emulator::http::RunningServer;
use jujube_emulator::platform::PlatformOptions;
use tempfile::TempDir;

use crate::finding::Finding;
use crate::jujube::Jujube;

/// The platform that operators share.
pub struct Site {
    platform: RunningServer,
}

impl Site {
    /// A platform without a catalogue.
    pub fn new() -> Self {
        Self::with(PlatformOptions::default())
    }

    /// A platform that takes so many writes a second.
    pub fn with_writes(writes: u64) -> Self {
        Self::with(PlatformOptions {
            writes,
            ..PlatformOptions::default()
        })
    }

    fn with(options: PlatformOptions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let platform = RunningServer::start(listener, |listener| {
            jujube_emulator::platform::serve(listener, options)
        });
        Self {
            platform: platform.expect("the platform starts"),
        }
    }

    /// Where the platform listens.
    pub fn addr(&self) -> SocketAddr {
        self.platform.addr
    }

    /// Switches faults of the platform.
    pub fn faults(&self, json: &'static str) {
        let url = format!("{}/faults", self.platform.url());
        let runtime = Runtime::new().expect("the runtime starts");
        let status = runtime.block_on(async {
            let client = cyper::Client::new().expect("a client");
            let request = client.post(url).expect("a URL").body(json);
            request.send().await.expect("an answer").status()
        });
        assert_eq!(status, 200, "the platform takes {json}");
    }

    /// An operator with an empty folder.
    pub fn operator(&self, name: &'static str) -> Operator {
        Operator {
            name,
            platform: self.platform.addr,
            dir: TempDir::new().expect("a folder for the catalogue"),
        }
    }

    /// Runs a command that needs the platform only.
    pub fn run(&self, words: &str) -> Finding {
        Jujube::new(words).platform(self.platform.addr).run()
    }
}

/// One operator.
pub struct Operator {
    name: &'static str,
    platform: SocketAddr,
    dir: TempDir,
}

impl Operator {
    /// Writes these entries to the folder's only file.
    pub fn declares(self, entries: &[String]) -> Self {
        let text = format!("entries:\n{}", entries.concat());
        let path = self.dir.path().join("a.yaml");
        std::fs::write(path, text).expect("the catalogue can be written");
        self
    }

    /// Checks the folder.
    pub fn check(&self, words: &str) -> Finding {
        Jujube::new("catalogue check")
            .with(words)
            .folder(self.dir.path())
            .run()
    }

    /// Compares the folder.
    pub fn diff(&self, words: &str) -> Finding {
        let diff = Jujube::new("catalogue diff").platform(self.platform);
        diff.with(words).folder(self.dir.path()).run()
    }

    /// Publishes the folder.
    pub fn apply(&self, words: &str) -> Finding {
        let apply = Jujube::new("catalogue apply").platform(self.platform);
        let apply = apply.with(&format!("--author {}", self.name));
        apply.with(words).folder(self.dir.path()).run()
    }
}
