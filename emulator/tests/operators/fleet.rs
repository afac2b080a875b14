//! Entry processes that follow the platform, and an engine with its agent.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use crate::command_output::CommandOutput;
use crate::jujube::Jujube;
use crate::process::Process;
use crate::test_platform::TestPlatform;

/// How long a test waits for a condition before it fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Ports of the processes, on the fleet's own loopback address.
const ENTRY_PORTS: [u16; 2] = [7_001, 7_002];
const PEER_PORTS: [u16; 2] = [7_003, 7_004];
const ENGINE_PORT: u16 = 7_005;
const AGENT_PORT: u16 = 7_006;
const ADMIN_PORT: u16 = 7_007;

static NEXT_FLEET_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Processes on a loopback address that no other fleet uses.
pub struct Fleet {
    pub platform: TestPlatform,
    ip: Ipv4Addr,
    dir: TempDir,
    entries: Vec<Process>,
    other_processes: Vec<Process>,
}

impl Fleet {
    /// Starts two entries without a catalogue, and one engine with its agent.
    pub fn start() -> Self {
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let [high, low] = u16::try_from(std::process::id() % 0xfffe)
            .unwrap_or(1)
            .to_be_bytes();
        let mut fleet = Self {
            platform: TestPlatform::new(),
            ip: Ipv4Addr::new(127, high.max(1), low, number),
            dir: TempDir::new().expect("a folder for the settings"),
            entries: Vec::new(),
            other_processes: Vec::new(),
        };
        for index in 0..ENTRY_PORTS.len() {
            fleet.start_entry(index);
        }
        fleet.start_engine();
        fleet
    }

    /// The addresses of the entries, for the command line.
    pub fn entries(&self) -> String {
        let addrs = ENTRY_PORTS.map(|port| self.addr(port).to_string());
        addrs.join(",")
    }

    /// The address of the first entry.
    pub fn first_entry(&self) -> SocketAddr {
        self.addr(ENTRY_PORTS[0])
    }

    /// Runs `explain` against the first entry.
    pub fn explain(&self, args: &str) -> CommandOutput {
        let explain = Jujube::new("explain").with(&format!("--entry {}", self.first_entry()));
        explain.with(args).run()
    }

    /// Runs `status` against all entries.
    pub fn status(&self, args: &str) -> CommandOutput {
        let status = Jujube::new("status").with(&format!("--entries {}", self.entries()));
        status.with(args).run()
    }

    /// Sends a stop signal to the second entry.
    pub fn stop_second_entry(&self) {
        self.entries[1].signal(Signal::SIGTERM);
    }

    /// Waits until `condition` holds; fails with the logs after a timeout.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let start = Instant::now();
        while !condition() {
            let logs = self
                .entries
                .iter()
                .chain(&self.other_processes)
                .map(Process::log);
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "timed out waiting until {what}\n{}",
                logs.collect::<Vec<_>>().join("\n---\n")
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn start_entry(&mut self, index: usize) {
        let name = format!("e{}", index + 1);
        let text = format!(
            "node: {name}\ndomain: d1\nlisten: \"{}\"\npeer: \"{}\"\nplatform: \"{}\"\n{}",
            self.addr(ENTRY_PORTS[index]),
            self.addr(PEER_PORTS[index]),
            self.platform.addr(),
            self.entries_setting(),
        );
        let settings = self.write_settings(&name, &text);
        let process = Process::start("jujube-entry", &settings);
        self.entries.push(process);
    }

    fn start_engine(&mut self) {
        let engine = self.addr(ENGINE_PORT).to_string();
        let args = [
            "engine", "--listen", &engine, "--model", "summary", "--speed", "20",
        ];
        let args: Vec<String> = args.map(ToOwned::to_owned).to_vec();
        self.other_processes
            .push(Process::start("jujube-emulator", &args));
        let text = format!(
            "node: w1\ndomain: d1\nlisten: \"{}\"\nadmin: \"{}\"\nbackend: {{kind: engine, addr: \
             \"{engine}\"}}\nmodels: [summary]\nmemory: 400000\n{}",
            self.addr(AGENT_PORT),
            self.addr(ADMIN_PORT),
            self.entries_setting(),
        );
        let settings = self.write_settings("w1", &text);
        self.other_processes
            .push(Process::start("jujube-agent", &settings));
    }

    fn entries_setting(&self) -> String {
        let peers = PEER_PORTS.map(|port| format!("  - \"{}\"\n", self.addr(port)));
        format!("entries:\n{}", peers.concat())
    }

    fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    fn write_settings(&self, name: &str, text: &str) -> Vec<String> {
        let path = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("the settings can be written");
        vec!["--settings".to_owned(), path.display().to_string()]
    }
}
