//! Starts the program of the deploy file as a process of its own.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The names of an entry's files.
const SETTINGS: &str = "settings.toml";
const LOG: &str = "log.txt";
const PROGRAM: &str = "target/release/jujube-platform";
/// What most machines allow a process.
const MEMORY_MB: u64 = 260;
const READY_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(50);

/// An entry; dropping it kills the process.
pub struct Entry {
    pub node: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Child,
    folder: PathBuf,
}

impl Entry {
    /// Starts the entry `node` on its own loopback address.
    pub fn start(node: &str, ip: &str, zone: &str, store: SocketAddr) -> Result<Self, String> {
        Self::start_with(node, ip, zone, store, MEMORY_MB)
    }

    /// The same on a machine that allows `memory_mb`.
    pub fn start_with(
        node: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        memory_mb: u64,
    ) -> Result<Self, String> {
        let folder =
            std::env::temp_dir().join(format!("jujube-review-{}-{node}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (front, ready, peer) = (free_addr(ip)?, free_addr(ip)?, free_addr(ip)?);
        let text = settings(node, ip, zone, [front, ready, peer, store], memory_mb);
        fs::write(folder.join(SETTINGS), text).map_err(|error| error.to_string())?;
        let process = spawn(&folder)?;
        let node = node.to_owned();
        Ok(Self {
            node,
            front,
            ready,
            process,
            folder,
        })
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(POLL);
        }
        Err(format!("{} is not ready", self.node))
    }

    /// Whether the entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET /ready HTTP/1.1",
            &[("Host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// The resident memory of the process in kB; 0 once it has ended.
    pub fn memory_kb(&self) -> u64 {
        let text =
            fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    }

    /// The code with which the process has ended, if it has.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.process
            .try_wait()
            .ok()?
            .map(|status| status.code().unwrap_or(-1))
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) -> Result<(), String> {
        self.process = spawn(&self.folder)?;
        Ok(())
    }

    /// Kills the process, as the platform does.
    pub fn kill(&self) {
        let _ = Command::new("kill")
            .args(["-9", &self.process.id().to_string()])
            .status();
    }

    /// Keeps the log beside a case's record if `KEEP_LOGS` is set.
    pub fn save_log(&self, record: &Path) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            return;
        }
        let _ = fs::copy(
            self.folder.join(LOG),
            record.with_file_name(format!("{}.log", self.node)),
        );
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(folder: &Path) -> Result<Child, String> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(LOG));
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(PROGRAM);
    command
        .env("JUJUBEWIND_CONFIG", folder.join(SETTINGS))
        .stdout(log)
        .stderr(errors);
    command
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}"))
}

/// An address with a port that is free for TCP and UDP at the moment.
pub fn free_addr(ip: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| format!("{ip}: {error}"))?;
    listener.local_addr().map_err(|error| error.to_string())
}

fn settings(
    node: &str,
    ip: &str,
    zone: &str,
    [front, ready, peer, store]: [SocketAddr; 4],
    memory_mb: u64,
) -> String {
    format!(
        r#"node_name = "{node}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "lubelskie"
port_range = [{first}, {last}]
seeds = []
bootstrap = true
counts_toward_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]

[zones]
lub-a = "lubelskie"
lub-b = "lubelskie"

[listen]
front = "{front}"
ready = "{ready}"

[limits]
cpu_share = 0.19
cores = 1
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 100
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000

[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
        first = peer.port(),
        last = peer.port()
    )
}
