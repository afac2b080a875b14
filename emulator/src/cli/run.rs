//! Carries out a command.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::SystemTime;

use anyhow::Context;
use compio::runtime::Runtime;

use super::Command;
use super::options::EngineCommand;
use crate::engine::EngineOptions;
use crate::engine::core::EngineConfig;
use crate::service::ServiceFaults;

/// Carries out `command`; a stand-in serves until the process is ended.
///
/// # Errors
/// The address cannot be listened on.
pub fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Engine(command) => {
            let options = engine_options(&command);
            serve(command.listen, |listener| {
                crate::engine::serve(listener, options)
            })
        }
        Command::Service(command) => {
            let faults = ServiceFaults {
                delay_ms: command.delay,
                ..ServiceFaults::default()
            };
            serve(command.listen, |listener| {
                crate::service::serve(listener, faults)
            })
        }
    }
}

fn serve<F>(addr: SocketAddr, serve: impl FnOnce(TcpListener) -> F) -> anyhow::Result<()>
where
    F: Future<Output = io::Result<()>>,
{
    let listener = TcpListener::bind(addr)
        .with_context(|| format!("cannot listen on {addr}: choose another address"))?;
    println!("listening addr={}", listener.local_addr()?);
    let runtime = Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(serve(listener))?;
    Ok(())
}

fn engine_options(command: &EngineCommand) -> EngineOptions {
    EngineOptions {
        config: EngineConfig {
            models: command.model.clone(),
            capacity: command.capacity,
            batch: command.batch,
            restart: command.restart,
            ..EngineConfig::default()
        },
        incarnation: start_number(),
        speed: command.speed,
        exit_on_crash: command.exit_on_crash,
    }
}

/// A number that rises from start to start: the machine keeps nothing else.
fn start_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |span| u64::try_from(span.as_millis()).unwrap_or(1))
}
