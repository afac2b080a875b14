//! All parts of the system, started in order.

use std::net::SocketAddr;
use std::time::Instant;

use cyper::Client;
use jujubewind::entry::EntryStatus;
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
use super::addrs;
use super::catalogue;
use super::catalogue::SERVICE;
use super::client;
use super::role::Role;
use crate::engine::EngineOptions;
use crate::engine::core::EngineConfig;
use crate::http::RunningServer;
use crate::platform::PlatformOptions;
use crate::service::ServiceFaults;

/// The failure domains; each has one entry.
const DOMAINS: [&str; 2] = ["zone-a", "zone-b"];
/// The longest wait until the parts know each other.
const READY: Millis = Millis(20_000);
/// How often they are asked.
const POLL: Millis = Millis(50);
/// Nanoseconds an engine takes for a prompt token in real time.
const TOKEN_NANOS: u64 = 40_000;
/// Nanoseconds for a prompt token and each 1,024 tokens before it, in real time.
const CONTEXT_NANOS: u64 = 600;
/// Microseconds for each token of an answer, in real time.
const STEP_MICROS: u64 = 20_000;

/// The running system; it is cut off when this is dropped.
#[derive(Debug)]
pub struct System {
    /// Where callers reach the entries.
    pub entries: Vec<SocketAddr>,
    /// The engine stand-ins.
    pub engines: Vec<RunningServer>,
    /// The plain service's stand-in.
    pub service: RunningServer,
    /// The platform's stand-in.
    pub platform: RunningServer,
    roles: Vec<Role>,
    peers: Vec<SocketAddr>,
    catalogue: TempDir,
    cost: Cost,
}

impl System {
    /// Starts every part and waits until all entries know all agents.
    ///
    /// # Errors
    /// A port or thread cannot be had, or the parts do not find each other.
    pub async fn start(options: &SystemOptions) -> Result<Self> {
        let engines = (0..options.engines).map(|_| engine(options.speed));
        let mut system = Self {
            entries: Vec::new(),
            engines: engines.collect::<Result<Vec<RunningServer>>>()?,
            service: service()?,
            platform: platform()?,
            roles: Vec::new(),
            peers: addrs::free(DOMAINS.len())?,
            catalogue: catalogue::write()?,
            cost: cost(options.speed),
        };
        system.start_agents()?;
        for place in 0..DOMAINS.len() {
            system.start_entry(place, options.port)?;
        }
        system.wait_ready().await?;
        Ok(system)
    }

    fn start_agents(&mut self) -> Result<()> {
        let engines: Vec<SocketAddr> = self.engines.iter().map(|engine| engine.addr).collect();
        for (place, addr) in engines.into_iter().enumerate() {
            let fencing = true;
            let backend = Backend::Engine { addr, fencing };
            self.start_agent(&format!("engine-{}", place + 1), place, backend, MODEL)?;
        }
        let backend = Backend::Service {
            addr: self.service.addr,
        };
        self.start_agent("desk-1", 0, backend, SERVICE)
    }

    fn start_agent(
        &mut self,
        name: &str,
        place: usize,
        backend: Backend,
        model: &str,
    ) -> Result<()> {
        let addrs = addrs::free(2)?;
        let settings = AgentSettings {
            node: name.parse()?,
            domain: DOMAINS[place % DOMAINS.len()].parse()?,
            listen: addrs[0],
            admin: addrs[1],
            backend,
            models: vec![model.parse()?],
            memory: EngineConfig::default().capacity,
            cost: self.cost.clone(),
            slots: 64,
            entries: self.peers.clone(),
            platform: Some(self.platform.addr),
            orphan: Millis(5_000),
            drain: Millis(120_000),
            log: log::LevelFilter::Info,
        };
        let role = Role::start(name, settings, jujubewind::agent::run)?;
        self.roles.push(role);
        Ok(())
    }

    fn start_entry(&mut self, place: usize, port: u16) -> Result<()> {
        let name = format!("entry-{}", place + 1);
        let offset = u16::try_from(place).unwrap_or(0);
        let port = if port == 0 { 0 } else { port + offset };
        let listen = addrs::at(port)?;
        let settings = EntrySettings {
            node: name.parse()?,
            domain: DOMAINS[place].parse()?,
            listen,
            peer: self.peers[place],
            platform: Some(self.platform.addr),
            entries: self.peers.clone(),
            catalogue: Some(self.catalogue.path().to_owned()),
            body: jujubewind::types::Bytes(16 << 20),
            arrival: Millis(20_000),
            grace: Millis(5_000),
            log: log::LevelFilter::Info,
        };
        let role = Role::start(&name, settings, jujubewind::entry::run)?;
        self.roles.push(role);
        self.entries.push(listen);
        Ok(())
    }

    async fn wait_ready(&mut self) -> Result<()> {
        let client = Client::new()?;
        let start = Instant::now();
        while !self.is_ready(&client).await {
            if let Some(error) = self.roles.iter_mut().find_map(Role::failure) {
                return Err(Error::Ended(error));
            }
            if start.elapsed() > READY.duration() {
                return Err(Error::NotReady(READY));
            }
            compio::time::sleep(POLL.duration()).await;
        }
        Ok(())
    }

    async fn is_ready(&self, client: &Client) -> bool {
        for entry in &self.entries {
            let status = client::get::<EntryStatus>(client, *entry, "/status").await;
            if !status.is_ok_and(|status| agents(&status) == self.engines.len() + 1) {
                return false;
            }
        }
        true
    }
}

/// The agents that an entry believes to live.
fn agents(status: &EntryStatus) -> usize {
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
    Ok(RunningServer::start(addrs::listener(0)?, serve)?)
}

fn service() -> Result<RunningServer> {
    let serve = |listener| crate::service::serve(listener, ServiceFaults::default());
    Ok(RunningServer::start(addrs::listener(0)?, serve)?)
}

fn platform() -> Result<RunningServer> {
    let serve = |listener| crate::platform::serve(listener, PlatformOptions::default());
    Ok(RunningServer::start(addrs::listener(0)?, serve)?)
}

/// What the agents believe at first: the engines' real costs at their speed.
fn cost(speed: f64) -> Cost {
    Cost::new(
        faster(TOKEN_NANOS, speed),
        faster(CONTEXT_NANOS, speed),
        faster(STEP_MICROS, speed),
    )
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "costs are small, and the result saturates"
)]
fn faster(cost: u64, speed: f64) -> u64 {
    ((cost as f64 / speed) as u64).max(1)
}
