//! A process of the project, started as the deploy file says.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::caller;
use crate::caller::Call;
use crate::record;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/jujube-platform";
const START_LIMIT: Duration = Duration::from_secs(20);
/// After this time a case is given up.
const CASE_LIMIT: Duration = Duration::from_secs(112);

/// All processes that were started and not yet waited for.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// A running entry; it is killed when this is dropped.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
    child: Option<Arc<Mutex<Child>>>,
}

impl Entry {
    /// Prepares the entry with this number on a loopback address of its own.
    pub fn new(number: u8, store: SocketAddr) -> Result<Self, String> {
        let id = std::process::id();
        let name = &format!("front-{number}");
        let ip = &format!("127.{}.{}.{number}", 32 + (id >> 8) % 128, id % 256);
        let front = free_port(ip)?;
        let ready = free_port(ip)?;
        let peer = 7_340;
        let folder = std::env::temp_dir().join(format!("standins-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let settings = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
port_range = [{peer},{}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
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
            peer + 15
        );
        let mut file =
            File::create(folder.join("settings.toml")).map_err(|error| error.to_string())?;
        file.write_all(settings.as_bytes())
            .map_err(|error| error.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            folder,
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log.txt"))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("JUJUBEWIND_CONFIG", self.folder.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        let child = Arc::new(Mutex::new(child));
        let mut started = STARTED.lock().expect("no thread panics");
        started.push(child.clone());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            end(&child);
        }
    }

    /// Whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let call = Call {
            method: "GET".to_owned(),
            path: "/ready".to_owned(),
            deadline_ms: 1_000,
            ..Call::default()
        };
        caller::send(self.ready, &call).status() == 200
    }

    /// Waits until the process reports that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready after {START_LIMIT:?}", self.name))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn free_port(ip: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

fn end(child: &Mutex<Child>) {
    let mut child = child.lock().expect("no thread panics");
    let _ = child.kill();
    let _ = child.wait();
}

/// Gives the case up, and ends all processes, if it takes too long.
pub fn limit_case() {
    std::thread::spawn(|| {
        std::thread::sleep(CASE_LIMIT);
        for child in STARTED.lock().expect("no thread panics").iter() {
            end(child);
        }
        record::line("result: the case could not run: it took too long");
        exit(2);
    });
}
