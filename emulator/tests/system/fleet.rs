//! Fleet of real processes that listen on a separate loopback address.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use crate::caller::Caller;
use crate::declaration::catalogue;
use crate::process::Process;

/// Default maximum number of entries.
const MAX_ENTRIES: usize = 3;
/// Timeout for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of the next fleet, which selects its loopback address.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// Processes by name, with their addresses and commands.
pub struct Fleet {
    ip: Ipv4Addr,
    entries: Vec<String>,
    dir: TempDir,
    processes: BTreeMap<String, Process>,
    commands: BTreeMap<String, (String, Vec<String>)>,
    addrs: BTreeMap<String, SocketAddr>,
    port: u16,
    speed: u32,
    memory: u64,
    published: bool,
    /// Lines added to the settings of entries that are started later.
    pub entry_settings: String,
}

impl Fleet {
    /// Creates a fleet without processes.
    pub fn new() -> Self {
        Self::with_entries(MAX_ENTRIES)
    }

    /// Creates a fleet for entries `e1` to `e<count>`; all processes are configured with their
    /// addresses.
    pub fn with_entries(count: usize) -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let [high, low] = u16::try_from(std::process::id() % 0xfffe)
            .unwrap_or(1)
            .to_be_bytes();
        let mut fleet = Self {
            ip: Ipv4Addr::new(127, high.max(1), low, number),
            entries: (1..=count).map(|number| format!("e{number}")).collect(),
            dir: TempDir::new().expect("a folder for the settings"),
            processes: BTreeMap::new(),
            commands: BTreeMap::new(),
            addrs: BTreeMap::new(),
            port: 7_000,
            speed: 20,
            memory: 400_000,
            published: false,
            entry_settings: String::new(),
        };
        for entry in fleet.entries.clone() {
            fleet.address(&entry);
            fleet.address(&format!("{entry}-peer"));
        }
        fleet.write_catalogue(1_000_000);
        fleet
    }

    /// Sets the speed of engines that are started later, as a multiple of real time.
    pub fn speed(mut self, speed: u32) -> Self {
        self.speed = speed;
        self
    }

    /// Sets the KV memory in tokens of engines that are started later.
    pub fn memory(mut self, tokens: u64) -> Self {
        self.memory = tokens;
        self
    }

    /// Sets the daily limit of engine seconds for entries that are started later.
    pub fn engine_seconds(self, seconds: u64) -> Self {
        self.write_catalogue(seconds);
        self
    }

    /// Starts an engine and its agent.
    pub fn engine(mut self, name: &str) -> Self {
        let addr = self.address(&format!("{name}-engine"));
        let mut args = to_args(&["engine", "--listen", &addr.to_string(), "--model", "m1"]);
        args.extend(to_args(&["--speed", &self.speed.to_string()]));
        args.extend(to_args(&["--capacity", &self.memory.to_string()]));
        self.start(&format!("{name}-engine"), "jujube-emulator", args);
        self.start_agent(name, &format!("kind: engine, addr: \"{addr}\""), "m1");
        self
    }

    /// Starts a plain service and its agent.
    pub fn service(mut self, name: &str) -> Self {
        let addr = self.address(&format!("{name}-service"));
        let args = to_args(&["service", "--listen", &addr.to_string()]);
        self.start(&format!("{name}-service"), "jujube-emulator", args);
        self.start_agent(name, &format!("kind: service, addr: \"{addr}\""), "desk");
        self
    }

    /// Makes entries that are started later read the catalogue only from the platform.
    pub fn published_catalogue(mut self) -> Self {
        self.published = true;
        self
    }

    /// Starts the platform for entries that are started later.
    pub fn platform(mut self) -> Self {
        let addr = self.address("platform");
        let args = to_args(&["platform", "--listen", &addr.to_string()]);
        self.start("platform", "jujube-emulator", args);
        self.wait_until("the platform answers", |_| TcpStream::connect(addr).is_ok());
        self
    }

    /// Starts an entry and waits until it is ready.
    pub fn entry(mut self, name: &str) -> Self {
        self.start_entry(name, "d1");
        self.wait_ready(name);
        self
    }

    /// Starts an entry in a failure domain without waiting for it.
    pub fn start_entry(&mut self, name: &str, domain: &str) {
        let listen = self.addrs[name];
        let peer = self.addrs[&format!("{name}-peer")];
        let text = format!(
            "node: {name}\ndomain: {domain}\nlisten: \"{listen}\"\npeer: \"{peer}\"\n{}{}",
            self.catalogue_settings() + &self.entry_settings,
            self.entries_setting(),
        );
        let settings = self.write(&format!("{name}.yaml"), &text);
        let args = to_args(&["--settings", &settings.display().to_string()]);
        self.start(name, "jujube-entry", args);
    }

    /// Address of a process.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs[name]
    }

    /// Log of a process.
    pub fn log(&self, name: &str) -> String {
        self.processes[name].log()
    }

    /// Creates a request to the process `name`.
    pub fn caller(&self, name: &str) -> Caller {
        Caller::new(self.addrs[name])
    }

    /// Process id of a process.
    #[allow(dead_code, reason = "the measurement of daemons uses it")]
    pub fn pid(&self, name: &str) -> u32 {
        self.processes[name].pid()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) {
        self.processes[name].signal(signal);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        drop(self.processes.remove(name));
    }

    /// Waits for a process to exit and returns whether it succeeded.
    pub fn wait(&mut self, name: &str) -> bool {
        let mut process = self
            .processes
            .remove(name)
            .expect("the process was started");
        process.wait()
    }

    /// Restarts a process with its original command.
    pub fn restart(&mut self, name: &str) {
        let (binary, args) = self.commands[name].clone();
        self.start(name, &binary, args);
    }

    /// Sets faults of an emulator.
    pub fn set_faults(&self, name: &str, json: &str) {
        let answer = Caller::new(self.addrs[name]).post("/faults", json).send();
        assert_eq!(answer.status, 200, "{name} takes {json}: {}", answer.body);
    }

    /// Sends a GET request to a process and parses the JSON response.
    pub fn get(&self, name: &str, path: &str) -> serde_json::Value {
        Caller::new(self.addrs[name]).get(path).send().json()
    }

    /// Free KV memory of the engine `name` in tokens.
    pub fn free_memory(&self, name: &str) -> u64 {
        let list = self.get(&format!("{name}-engine"), "/v1/sequences");
        list["free"].as_u64().unwrap_or(0)
    }

    /// Number of sequences of the engine `name`.
    pub fn sequences(&self, name: &str) -> usize {
        let list = self.get(&format!("{name}-engine"), "/v1/sequences");
        list["sequences"].as_array().map_or(0, Vec::len)
    }

    /// Waits until `holds` is true; fails with the logs after a timeout.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting: {what}\n{}",
                self.logs()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Logs of all processes.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, process) in &self.processes {
            let _ = writeln!(text, "--- {name}\n{}", process.log());
        }
        text
    }

    /// Settings for the source of the catalogue.
    fn catalogue_settings(&self) -> String {
        let mut lines = String::new();
        if let Some(addr) = self.addrs.get("platform") {
            let _ = writeln!(lines, "platform: \"{addr}\"");
        }
        if !self.published {
            let dir = self.dir.path().join("catalogue");
            let _ = writeln!(lines, "catalogue: {}", dir.display());
        }
        lines
    }

    fn entries_setting(&self) -> String {
        let names = self.entries.iter().map(|entry| format!("{entry}-peer"));
        let peers: Vec<String> = names
            .map(|name| format!("\"{}\"", self.addrs[&name]))
            .collect();
        format!("entries: [{}]\n", peers.join(", "))
    }

    /// Number of agents that the entry `name` considers alive.
    pub fn agents_known(&self, name: &str) -> usize {
        let status = self.get(name, "/status");
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let agents = members
            .iter()
            .filter(|m| m["role"] == "agent" && m["suspect"] == false);
        agents.count()
    }

    /// Whether the entry `name` knows the member `other`.
    pub fn knows(&self, name: &str, other: &str) -> bool {
        let status = self.get(name, "/status");
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().any(|member| member["node"] == other)
    }

    fn start_agent(&mut self, name: &str, backend: &str, model: &str) {
        let listen = self.address(&format!("{name}-agent"));
        let admin = self.address(&format!("{name}-admin"));
        let text = format!(
            "node: {name}\ndomain: d1\nlisten: \"{listen}\"\nadmin: \"{admin}\"\nbackend: {{{backend}}}\nmodels: [{model}]\nmemory: {}\n{}",
            self.memory,
            self.entries_setting(),
        );
        let settings = self.write(&format!("{name}.yaml"), &text);
        let args = to_args(&["--settings", &settings.display().to_string()]);
        self.start(&format!("{name}-agent"), "jujube-agent", args);
        self.wait_ready(&format!("{name}-admin"));
    }

    fn start(&mut self, name: &str, binary: &str, args: Vec<String>) {
        let process = Process::start(binary, &args);
        self.commands
            .insert(name.to_owned(), (binary.to_owned(), args));
        self.processes.insert(name.to_owned(), process);
    }

    /// Waits until a process reports that it is ready.
    pub fn wait_ready(&self, name: &str) {
        let addr = self.addrs[name];
        self.wait_until(&format!("{name} ready"), |_| {
            TcpStream::connect(addr).is_ok()
                && Caller::new(addr).get("/readyz").send().status == 200
        });
    }

    fn address(&mut self, name: &str) -> SocketAddr {
        self.port += 1;
        let addr = SocketAddr::from((self.ip, self.port));
        self.addrs.insert(name.to_owned(), addr);
        addr
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("the settings can be written");
        path
    }

    fn write_catalogue(&self, engine_seconds: u64) {
        let dir = self.dir.path().join("catalogue");
        std::fs::create_dir_all(&dir).expect("a folder for the catalogue");
        std::fs::write(dir.join("acme.yaml"), catalogue(engine_seconds))
            .expect("the catalogue can be written");
    }
}

fn to_args(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
