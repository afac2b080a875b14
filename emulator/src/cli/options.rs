//! The options of each command.

use std::net::SocketAddr;

use bpaf::Bpaf;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;

/// Stand-ins for the systems around jujubewind, and tools to try it with.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Serve a model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_command))] EngineCommand),
    /// Serve a plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(service_command))] ServiceCommand),
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
