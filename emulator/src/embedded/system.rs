//! Starts and holds all components of the embedded system.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Instant;

use cyper::Client;
use jujubewind::entry::EntryStatus;
use jujubewind::memory::ProcessMemory;
use jujubewind::scheduler::Cost;
use jujubewind::settings::AgentSettings;
use jujubewind::settings::Backend;
use jujubewind::settings::EntrySettings;
use jujubewind::types::Millis;
use tempfile::TempDir;

use super::Error;
use super::MODEL;
use super::Result;
use super::SystemOptions;
use super::catalogue;
use super::catalogue::SERVICE;
use super::client;
use super::daemon_thread::DaemonThread;
use crate::engine::EngineOptions;
use crate::engine::core::EngineConfig;
use crate::http::RunningServer;
use crate::platform::PlatformOptions;
use crate::reserved_addr::ReservedAddr;
use crate::service::ServiceFaults;

/// Failure domains, each with one entry.
const DOMAINS: [&str; 2] = ["zone-a", "zone-b"];
/// Timeout for the entries to discover all agents.
const READY_TIMEOUT: Millis = Millis(20_000);
/// Interval between readiness checks.
const POLL_INTERVAL: Millis = Millis(50);
/// Prefill time per prompt token at speed 1.
const TOKEN_NANOS: u64 = 40_000;
/// Additional prefill time per prompt token and 1,024 preceding tokens at speed 1.
const CONTEXT_NANOS: u64 = 600;
/// Decode time per output token at speed 1.
const STEP_MICROS: u64 = 20_000;

/// A running system; dropping this stops it without draining.
#[derive(Debug)]
pub struct System {
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    /// Engine emulators.
    pub engines: Vec<RunningServer>,
    /// Plain service emulator.
    pub service: RunningServer,
    /// Platform emulator.
    pub platform: RunningServer,
    daemons: Vec<DaemonThread>,
    peers: Vec<SocketAddr>,
    /// The addresses of the daemons; held so that nothing else binds them first.
    reserved: Vec<ReservedAddr>,
    catalogue: TempDir,
    cost: Cost,
}

impl System {
    /// Starts all components and waits until all entries know all agents.
    ///
    /// # Errors
    /// A port or thread cannot be created, or the components do not discover each other in time.
    pub async fn start(options: &SystemOptions) -> Result<Self> {
        let engines = (0..options.engines).map(|_| engine(options.speed));
        let mut system = Self {
            entries: Vec::new(),
            engines: engines.collect::<Result<Vec<RunningServer>>>()?,
            service: service()?,
            platform: platform()?,
            daemons: Vec::new(),
            peers: Vec::new(),
            reserved: Vec::new(),
            catalogue: catalogue::write()?,
            cost: cost(options.speed),
        };
        for _ in DOMAINS {
            let peer = system.reserve(0)?;
            system.peers.push(peer);
        }
        system.start_agents()?;
        for index in 0..DOMAINS.len() {
            system.start_entry(index, options.port)?;
        }
        system.wait_ready().await?;
        Ok(system)
    }

    fn start_agents(&mut self) -> Result<()> {
        let engines: Vec<SocketAddr> = self.engines.iter().map(|engine| engine.addr).collect();
        for (index, addr) in engines.into_iter().enumerate() {
            let fencing = true;
            let backend = Backend::Engine { addr, fencing };
            self.start_agent(&format!("engine-{}", index + 1), index, backend, MODEL)?;
        }
        let backend = Backend::Service {
            addr: self.service.addr,
        };
        self.start_agent("desk-1", 0, backend, SERVICE)
    }

    fn start_agent(
        &mut self,
        name: &str,
        index: usize,
        backend: Backend,
        model: &str,
    ) -> Result<()> {
        let settings = AgentSettings {
            node: name.parse()?,
            domain: DOMAINS[index % DOMAINS.len()].parse()?,
            listen: self.reserve(0)?,
            admin: self.reserve(0)?,
            backend,
            models: vec![model.parse()?],
            memory: EngineConfig::default().capacity,
            cost: self.cost.clone(),
            slots: 64,
            entries: self.peers.clone(),
            platform: Some(self.platform.addr),
            orphan: Millis(5_000),
            drain: Millis(120_000),
            max_memory: ProcessMemory::DEFAULT,
            log: log::LevelFilter::Info,
        };
        let daemon = DaemonThread::start(name, settings, jujubewind::agent::run)?;
        self.daemons.push(daemon);
        Ok(())
    }

    fn start_entry(&mut self, index: usize, port: u16) -> Result<()> {
        let name = format!("entry-{}", index + 1);
        let offset = u16::try_from(index).unwrap_or(0);
        let port = if port == 0 { 0 } else { port + offset };
        let listen = self.reserve(port)?;
        let settings = EntrySettings {
            node: name.parse()?,
            domain: DOMAINS[index].parse()?,
            listen,
            peer: self.peers[index],
            platform: Some(self.platform.addr),
            entries: self.peers.clone(),
            catalogue: Some(self.catalogue.path().to_owned()),
            body: jujubewind::types::Bytes(16 << 20),
            arrival: Millis(20_000),
            grace: Millis(5_000),
            max_memory: ProcessMemory::DEFAULT,
            log: log::LevelFilter::Info,
        };
        let daemon = DaemonThread::start(&name, settings, jujubewind::entry::run)?;
        self.daemons.push(daemon);
        self.entries.push(listen);
        Ok(())
    }

    /// Reserves a loopback port for a daemon; port 0 selects a free one.
    fn reserve(&mut self, port: u16) -> Result<SocketAddr> {
        let reserved = ReservedAddr::new(port)?;
        let addr = reserved.addr();
        self.reserved.push(reserved);
        Ok(addr)
    }

    async fn wait_ready(&mut self) -> Result<()> {
        let client = Client::new()?;
        let start = Instant::now();
        while !self.is_ready(&client).await {
            if let Some(error) = self.daemons.iter_mut().find_map(DaemonThread::failure) {
                return Err(Error::Ended(error));
            }
            if start.elapsed() > READY_TIMEOUT.duration() {
                return Err(Error::NotReady(READY_TIMEOUT));
            }
            compio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        Ok(())
    }

    async fn is_ready(&self, client: &Client) -> bool {
        for entry in &self.entries {
            let status = client::get::<EntryStatus>(client, *entry, "/status").await;
            if !status.is_ok_and(|status| live_agents(&status) == self.engines.len() + 1) {
                return false;
            }
        }
        true
    }
}

/// Number of agents that an entry considers alive.
fn live_agents(status: &EntryStatus) -> usize {
    let members = status.members.iter();
    let agents = members.filter(|member| member.role == "agent" && !member.suspect);
    agents.count()
}

fn engine(speed: f64) -> Result<RunningServer> {
    let options = EngineOptions {
        config: EngineConfig {
            models: vec![MODEL.to_owned()],
            ..EngineConfig::default()
        },
        speed,
        ..EngineOptions::default()
    };
    let serve = |listener| crate::engine::serve(listener, options);
    Ok(RunningServer::start(listener()?, serve)?)
}

fn service() -> Result<RunningServer> {
    let serve = |listener| crate::service::serve(listener, ServiceFaults::default());
    Ok(RunningServer::start(listener()?, serve)?)
}

fn platform() -> Result<RunningServer> {
    let serve = |listener| crate::platform::serve(listener, PlatformOptions::default());
    Ok(RunningServer::start(listener()?, serve)?)
}

/// Listens on a free loopback port.
fn listener() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

/// Initial cost estimates of the agents: the engines' actual costs at `speed`.
fn cost(speed: f64) -> Cost {
    Cost::new(
        scale_cost(TOKEN_NANOS, speed),
        scale_cost(CONTEXT_NANOS, speed),
        scale_cost(STEP_MICROS, speed),
    )
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "costs are small, and the result saturates"
)]
fn scale_cost(cost: u64, speed: f64) -> u64 {
    ((cost as f64 / speed) as u64).max(1)
}
