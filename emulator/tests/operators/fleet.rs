//! Real entries that follow the platform, and an engine with its agent.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use crate::finding::Finding;
use crate::jujube::Jujube;
use crate::process::Process;
use crate::site::Site;

/// How long a test waits for a condition before it fails.
const PATIENCE: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(50);
/// Where processes listen, each on the fleet's own address.
const ENTRIES: [u16; 2] = [7_001, 7_002];
const PEERS: [u16; 2] = [7_003, 7_004];
const ENGINE: u16 = 7_005;
const AGENT: u16 = 7_006;
const ADMIN: u16 = 7_007;

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Processes on a loopback address of their own.
pub struct Fleet {
    /// The platform.
    pub site: Site,
    ip: Ipv4Addr,
    dir: TempDir,
    entries: Vec<Process>,
    others: Vec<Process>,
}

impl Fleet {
    /// Two entries without a catalogue, and one engine.
    pub fn start() -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [high, low] = u16::try_from(std::process::id() % 0xfffe)
            .unwrap_or(1)
            .to_be_bytes();
        let mut fleet = Self {
            site: Site::new(),
            ip: Ipv4Addr::new(127, high.max(1), low, number),
            dir: TempDir::new().expect("a folder for the settings"),
            entries: Vec::new(),
            others: Vec::new(),
        };
        for place in 0..ENTRIES.len() {
            fleet.start_entry(place);
        }
        fleet.start_engine();
        fleet
    }

    /// The addresses of the entries, for the command line.
    pub fn entries(&self) -> String {
        let addrs = ENTRIES.map(|port| self.at(port).to_string());
        addrs.join(",")
    }

    /// The address of the first entry.
    pub fn first(&self) -> SocketAddr {
        self.at(ENTRIES[0])
    }

    /// Asks the first entry to explain.
    pub fn explain(&self, words: &str) -> Finding {
        let explain = Jujube::new("explain").with(&format!("--entry {}", self.first()));
        explain.with(words).run()
    }

    /// Asks all entries how they stand.
    pub fn status(&self, words: &str) -> Finding {
        let status = Jujube::new("status").with(&format!("--entries {}", self.entries()));
        status.with(words).run()
    }

    /// Asks the second entry to stop.
    pub fn stop_second(&self) {
        self.entries[1].signal(Signal::SIGTERM);
    }

    /// Waits until `holds`, or fails with the logs.
    pub fn wait_until(&self, what: &str, holds: impl Fn() -> bool) {
        let start = Instant::now();
        while !holds() {
            let logs = self.entries.iter().chain(&self.others).map(Process::log);
            assert!(
                start.elapsed() < PATIENCE,
                "{what} never came about\n{}",
                logs.collect::<Vec<_>>().join("\n---\n")
            );
            std::thread::sleep(POLL);
        }
    }

    fn start_entry(&mut self, place: usize) {
        let name = format!("e{}", place + 1);
        let text = format!(
            "node: {name}\ndomain: d1\nlisten: \"{}\"\npeer: \"{}\"\nplatform: \"{}\"\n{}",
            self.at(ENTRIES[place]),
            self.at(PEERS[place]),
            self.site.addr(),
            self.contacts(),
        );
        let settings = self.write(&name, &text);
        let process = Process::start("jujube-entry", &settings);
        self.entries.push(process);
    }

    fn start_engine(&mut self) {
        let engine = self.at(ENGINE).to_string();
        let args = [
            "engine", "--listen", &engine, "--model", "summary", "--speed", "20",
        ];
        let args: Vec<String> = args.map(ToOwned::to_owned).to_vec();
        self.others.push(Process::start("jujube-emulator", &args));
        let text = format!(
            "node: w1\ndomain: d1\nlisten: \"{}\"\nadmin: \"{}\"\nbackend: {{kind: engine, addr: \
             \"{engine}\"}}\nmodels: [summary]\nmemory: 400000\n{}",
            self.at(AGENT),
            self.at(ADMIN),
            self.contacts(),
        );
        let settings = self.write("w1", &text);
        self.others.push(Process::start("jujube-agent", &settings));
    }

    fn contacts(&self) -> String {
        let peers = PEERS.map(|port| format!("  - \"{}\"\n", self.at(port)));
        format!("entries:\n{}", peers.concat())
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    fn write(&self, name: &str, text: &str) -> Vec<String> {
        let path = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("the settings can be written");
        vec!["--settings".to_owned(), path.display().to_string()]
    }
}
