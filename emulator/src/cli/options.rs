//! The options of each command.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;

use crate::load::LengthMix;

/// Stand-ins for the systems around jujubewind, and tools to try it with.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the whole system in this process, put a load on it and print what was served.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_command))] DemoCommand),
    /// Serve a model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_command))] EngineCommand),
    /// Send requests to an entry and check every answer.
    #[bpaf(command)]
    Load(#[bpaf(external(load_command))] LoadCommand),
    /// Serve the platform: key-value service and list of VMs.
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_command))] PlatformCommand),
    /// Serve a plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Keep the whole system up in this process until Ctrl-C.
    #[bpaf(command)]
    Up(#[bpaf(external(up_command))] UpCommand),
}

/// The options of a demonstration.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoCommand {
    /// How many requests
    #[bpaf(argument("COUNT"), fallback(200), display_fallback)]
    pub count: u64,
    /// The seed of lengths, prompts and times
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Requests a second
    #[bpaf(argument("RATE"), fallback(20.0), display_fallback)]
    pub rate: f64,
    /// Lengths of prompts in tokens, with weights
    #[bpaf(
        argument("LENGTH:WEIGHT,.."),
        fallback(LengthMix::default()),
        display_fallback
    )]
    pub lengths: LengthMix,
    /// The length asked of each answer, in tokens
    #[bpaf(argument("TOKENS"), fallback(32), display_fallback)]
    pub max_tokens: u64,
    /// Engines, each with an agent
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub engines: u16,
    /// How many times faster than real time the engines run
    #[bpaf(argument("FACTOR"), fallback(10.0), display_fallback)]
    pub speed: f64,
}

/// The options of a system that stays up.
#[derive(Clone, Debug, Bpaf)]
pub struct UpCommand {
    /// Engines, each with an agent
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub engines: u16,
    /// How many times faster than real time the engines run
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    pub speed: f64,
    /// The first entry's port, followed by the second's; 0 takes free ones
    #[bpaf(argument("PORT"), fallback(8080), display_fallback)]
    pub port: u16,
}

/// The options of an engine.
#[derive(Clone, Debug, Bpaf)]
pub struct EngineCommand {
    /// Where to listen; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// A model that is loaded at start; may be repeated
    #[bpaf(argument("NAME"), some("name a --model"))]
    pub model: Vec<String>,
    /// How many times faster than real time the engine runs
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    pub speed: f64,
    /// KV memory in tokens
    #[bpaf(argument("TOKENS"), fallback(Tokens(400_000)), display_fallback)]
    pub capacity: Tokens,
    /// The most sequences in the batch
    #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
    pub batch: usize,
    /// How long the engine is gone after a crash
    #[bpaf(argument("MILLIS"), fallback(Millis(5_000)), display_fallback)]
    pub restart: Millis,
    /// End the process on a crash
    pub exit_on_crash: bool,
}

/// The options of a plain service.
#[derive(Clone, Debug, Bpaf)]
pub struct ServiceCommand {
    /// Where to listen; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// How long each execution waits before it begins
    #[bpaf(argument("MILLIS"), fallback(Millis(0)), display_fallback)]
    pub delay: Millis,
}

/// The options of the platform.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformCommand {
    /// Where to listen; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Writes a second that are taken
    #[bpaf(argument("COUNT"), fallback(500), display_fallback)]
    pub writes: u64,
    /// Reads a second that are taken, each waiting watch included
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    pub reads: u64,
    /// A file with the list of VMs, as JSON
    #[bpaf(argument("FILE"))]
    pub vms: Option<PathBuf>,
    /// How far the list of VMs lags behind
    #[bpaf(argument("MILLIS"), fallback(Millis(2_000)), display_fallback)]
    pub vm_lag: Millis,
}

/// The options of the load generator.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadCommand {
    /// The entry's root URL
    #[bpaf(argument("URL"))]
    pub target: String,
    /// The organisation's bearer key
    #[bpaf(argument("KEY"))]
    pub key: String,
    /// The model's name in the catalogue
    #[bpaf(argument("NAME"))]
    pub model: String,
    /// How many requests
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    pub count: u64,
    /// The seed of lengths, prompts and times
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Requests a second
    #[bpaf(argument("RATE"), fallback(5.0), display_fallback)]
    pub rate: f64,
    /// Lengths of prompts in tokens, with weights
    #[bpaf(
        argument("LENGTH:WEIGHT,.."),
        fallback(LengthMix::default()),
        display_fallback
    )]
    pub lengths: LengthMix,
    /// The length asked of each answer, in tokens
    #[bpaf(argument("TOKENS"), fallback(32), display_fallback)]
    pub max_tokens: u64,
}
