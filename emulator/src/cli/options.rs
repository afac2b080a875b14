//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;

use crate::load::LengthMix;

/// Emulators of the systems around jujubewind, and tools for trying it out.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the whole system in one process under load and print the results.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_command))] DemoCommand),
    /// Emulate a model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_command))] EngineCommand),
    /// Send requests to an entry and check every answer.
    #[bpaf(command)]
    Load(#[bpaf(external(load_command))] LoadCommand),
    /// Emulate the platform: key-value service and list of VMs.
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_command))] PlatformCommand),
    /// Emulate a plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Run the whole system in one process until Ctrl-C.
    #[bpaf(command)]
    Up(#[bpaf(external(up_command))] UpCommand),
}

/// Options of the `demo` command.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoCommand {
    /// Number of requests
    #[bpaf(argument("COUNT"), fallback(200), display_fallback)]
    pub count: u64,
    /// Seed for lengths, prompts and send times
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Mean requests per second
    #[bpaf(argument("RATE"), fallback(20.0), display_fallback)]
    pub rate: f64,
    /// Prompt lengths in tokens, with weights
    #[bpaf(
        argument("LENGTH:WEIGHT,.."),
        fallback(LengthMix::default()),
        display_fallback
    )]
    pub lengths: LengthMix,
    /// Requested answer length in tokens
    #[bpaf(argument("TOKENS"), fallback(32), display_fallback)]
    pub max_tokens: u64,
    /// Number of engines, each with an agent
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub engines: u16,
    /// Speed of the engines as a multiple of real time
    #[bpaf(argument("FACTOR"), fallback(10.0), display_fallback)]
    pub speed: f64,
}

/// Options of the `up` command.
#[derive(Clone, Debug, Bpaf)]
pub struct UpCommand {
    /// Number of engines, each with an agent
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub engines: u16,
    /// Speed of the engines as a multiple of real time
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    pub speed: f64,
    /// Port of the first entry; the second uses the next one, and 0 selects free ports
    #[bpaf(argument("PORT"), fallback(8080), display_fallback)]
    pub port: u16,
}

/// Options of the `engine` command.
#[derive(Clone, Debug, Bpaf)]
pub struct EngineCommand {
    /// Address to listen on; port 0 selects a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Model that is loaded at start; may be repeated
    #[bpaf(argument("NAME"), some("name a --model"))]
    pub model: Vec<String>,
    /// Speed of the engine as a multiple of real time
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    pub speed: f64,
    /// KV memory in tokens
    #[bpaf(argument("TOKENS"), fallback(Tokens(400_000)), display_fallback)]
    pub capacity: Tokens,
    /// Maximum number of sequences in the batch
    #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
    pub batch: usize,
    /// Time the engine is unavailable after a crash
    #[bpaf(argument("MILLIS"), fallback(Millis(5_000)), display_fallback)]
    pub restart: Millis,
    /// Exit the process on a crash
    pub exit_on_crash: bool,
}

/// Options of the `service` command.
#[derive(Clone, Debug, Bpaf)]
pub struct ServiceCommand {
    /// Address to listen on; port 0 selects a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Delay before each execution
    #[bpaf(argument("MILLIS"), fallback(Millis(0)), display_fallback)]
    pub delay: Millis,
}

/// Options of the `platform` command.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformCommand {
    /// Address to listen on; port 0 selects a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Maximum writes per second
    #[bpaf(argument("COUNT"), fallback(500), display_fallback)]
    pub writes: u64,
    /// Maximum reads per second, each open watch included
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    pub reads: u64,
    /// JSON file with the list of VMs
    #[bpaf(argument("FILE"))]
    pub vms: Option<PathBuf>,
    /// Age of the VM list that is returned
    #[bpaf(argument("MILLIS"), fallback(Millis(2_000)), display_fallback)]
    pub vm_lag: Millis,
}

/// Options of the `load` command.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadCommand {
    /// Root URL of the entry
    #[bpaf(argument("URL"))]
    pub target: String,
    /// API key of the organisation
    #[bpaf(argument("KEY"))]
    pub key: String,
    /// Name of the model in the catalogue
    #[bpaf(argument("NAME"))]
    pub model: String,
    /// Number of requests
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    pub count: u64,
    /// Seed for lengths, prompts and send times
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Mean requests per second
    #[bpaf(argument("RATE"), fallback(5.0), display_fallback)]
    pub rate: f64,
    /// Prompt lengths in tokens, with weights
    #[bpaf(
        argument("LENGTH:WEIGHT,.."),
        fallback(LengthMix::default()),
        display_fallback
    )]
    pub lengths: LengthMix,
    /// Requested answer length in tokens
    #[bpaf(argument("TOKENS"), fallback(32), display_fallback)]
    pub max_tokens: u64,
}
