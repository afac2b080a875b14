//! A small fleet of real processes on a loopback address of its own.

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

/// The entries a fleet can have if nothing else is said.
const ENTRIES: usize = 3;
/// How long a test waits for a condition before it fails.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(20);

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Processes by name, their addresses, and how each is started.
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
    pub bounds: String,
}

impl Fleet {
    /// A fleet without processes.
    pub fn new() -> Self {
        Self::with_entries(ENTRIES)
    }

    /// A fleet that can have entries `e1` to `e<count>`; all processes are told where those would be.
    pub fn with_entries(count: usize) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
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
            bounds: String::new(),
        };
        for entry in fleet.entries.clone() {
            fleet.address(&entry);
            fleet.address(&format!("{entry}-peer"));
        }
        fleet.write_catalogue(1_000_000);
        fleet
    }

    /// Sets how many times faster than real time engines run that are started from now on.
    pub fn speed(mut self, speed: u32) -> Self {
        self.speed = speed;
        self
    }

    /// Sets the KV memory in tokens of engines that are started from now on.
    pub fn memory(mut self, tokens: u64) -> Self {
        self.memory = tokens;
        self
    }

    /// Sets the engine time of a day for entries that are started from now on.
    pub fn engine_seconds(self, seconds: u64) -> Self {
        self.write_catalogue(seconds);
        self
    }

    /// Starts an engine and its agent.
    pub fn engine(mut self, name: &str) -> Self {
        let addr = self.address(&format!("{name}-engine"));
        let mut args = words(&["engine", "--listen", &addr.to_string(), "--model", "m1"]);
        args.extend(words(&["--speed", &self.speed.to_string()]));
        args.extend(words(&["--capacity", &self.memory.to_string()]));
        self.start(&format!("{name}-engine"), "jujube-emulator", args);
        self.agent(name, &format!("kind: engine, addr: \"{addr}\""), "m1");
        self
    }

    /// Starts a plain service and its agent.
    pub fn service(mut self, name: &str) -> Self {
        let addr = self.address(&format!("{name}-service"));
        let args = words(&["service", "--listen", &addr.to_string()]);
        self.start(&format!("{name}-service"), "jujube-emulator", args);
        self.agent(name, &format!("kind: service, addr: \"{addr}\""), "desk");
        self
    }

    /// Lets entries that are started from now on take the catalogue from the platform alone.
    pub fn published(mut self) -> Self {
        self.published = true;
        self
    }

    /// Starts the platform, which entries started from now on use.
    pub fn platform(mut self) -> Self {
        let addr = self.address("platform");
        let args = words(&["platform", "--listen", &addr.to_string()]);
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

    /// Starts an entry of a failure domain and does not wait for it.
    pub fn start_entry(&mut self, name: &str, domain: &str) {
        let listen = self.addrs[name];
        let peer = self.addrs[&format!("{name}-peer")];
        let text = format!(
            "node: {name}\ndomain: {domain}\nlisten: \"{listen}\"\npeer: \"{peer}\"\n{}{}",
            self.source() + &self.bounds,
            self.contacts(),
        );
        let settings = self.write(&format!("{name}.yaml"), &text);
        let args = words(&["--settings", &settings.display().to_string()]);
        self.start(name, "jujube-entry", args);
    }

    /// Where a process listens.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs[name]
    }

    /// What one process logged.
    pub fn log(&self, name: &str) -> String {
        self.processes[name].log()
    }

    /// A caller of the entry `name`.
    pub fn caller(&self, name: &str) -> Caller {
        Caller::new(self.addrs[name])
    }

    /// The number by which the kernel knows a process.
    #[allow(dead_code, reason = "the measurement of daemons uses it")]
    pub fn pid(&self, name: &str) -> u32 {
        self.processes[name].pid()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) {
        self.processes[name].signal(signal);
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) {
        drop(self.processes.remove(name));
    }

    /// Waits for a process to end by itself and tells whether it succeeded.
    pub fn wait(&mut self, name: &str) -> bool {
        let mut process = self
            .processes
            .remove(name)
            .expect("the process was started");
        process.wait()
    }

    /// Starts a process again as it was started first.
    pub fn restart(&mut self, name: &str) {
        let (binary, args) = self.commands[name].clone();
        self.start(name, &binary, args);
    }

    /// Switches faults of a stand-in.
    pub fn faults(&self, name: &str, json: &str) {
        let answer = Caller::new(self.addrs[name]).post("/faults", json).send();
        assert_eq!(answer.status, 200, "{name} takes {json}: {}", answer.body);
    }

    /// Asks a process with GET.
    pub fn get(&self, name: &str, path: &str) -> serde_json::Value {
        Caller::new(self.addrs[name]).get(path).send().json()
    }

    /// The free KV memory of the engine `name`.
    pub fn free_memory(&self, name: &str) -> u64 {
        let list = self.get(&format!("{name}-engine"), "/v1/sequences");
        list["free"].as_u64().unwrap_or(0)
    }

    /// How many sequences the engine `name` has.
    pub fn sequences(&self, name: &str) -> usize {
        let list = self.get(&format!("{name}-engine"), "/v1/sequences");
        list["sequences"].as_array().map_or(0, Vec::len)
    }

    /// Waits until `holds`, or fails with the logs.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(
                start.elapsed() < PATIENCE,
                "{what} never came about\n{}",
                self.logs()
            );
            std::thread::sleep(POLL);
        }
    }

    /// What all processes logged.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, process) in &self.processes {
            let _ = writeln!(text, "--- {name}\n{}", process.log());
        }
        text
    }

    /// The settings' lines that say where the catalogue comes from.
    fn source(&self) -> String {
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

    fn contacts(&self) -> String {
        let names = self.entries.iter().map(|entry| format!("{entry}-peer"));
        let peers: Vec<String> = names
            .map(|name| format!("\"{}\"", self.addrs[&name]))
            .collect();
        format!("entries: [{}]\n", peers.join(", "))
    }

    /// How many agents the entry `name` knows and believes to live.
    pub fn agents_known(&self, name: &str) -> usize {
        let status = self.get(name, "/status");
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let agents = members
            .iter()
            .filter(|m| m["role"] == "agent" && m["suspect"] == false);
        agents.count()
    }

    /// Whether the entry `name` knows the process `other`.
    pub fn knows(&self, name: &str, other: &str) -> bool {
        let status = self.get(name, "/status");
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().any(|member| member["node"] == other)
    }

    fn agent(&mut self, name: &str, backend: &str, model: &str) {
        let listen = self.address(&format!("{name}-agent"));
        let admin = self.address(&format!("{name}-admin"));
        let text = format!(
            "node: {name}\ndomain: d1\nlisten: \"{listen}\"\nadmin: \"{admin}\"\nbackend: {{{backend}}}\nmodels: [{model}]\nmemory: {}\n{}",
            self.memory,
            self.contacts(),
        );
        let settings = self.write(&format!("{name}.yaml"), &text);
        let args = words(&["--settings", &settings.display().to_string()]);
        self.start(&format!("{name}-agent"), "jujube-agent", args);
        self.wait_ready(&format!("{name}-admin"));
    }

    fn start(&mut self, name: &str, binary: &str, args: Vec<String>) {
        let process = Process::start(binary, &args);
        self.commands
            .insert(name.to_owned(), (binary.to_owned(), args));
        self.processes.insert(name.to_owned(), process);
    }

    /// Waits until a process says that it is ready.
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

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
