//! Runs the commands.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::time::SystemTime;

use anyhow::Context;
use compio::runtime::Runtime;
use jujubewind::wire::platform::Vm;
use jujubewind::wire::platform::VmList;

use super::Command;
use super::options::EngineCommand;
use super::options::LoadCommand;
use super::options::PlatformCommand;
use crate::engine::EngineOptions;
use crate::engine::core::EngineConfig;
use crate::load::LoadPlan;
use crate::load::Target;
use crate::platform::PlatformFaults;
use crate::platform::PlatformOptions;
use crate::service::ServiceFaults;

/// Runs `command`; an emulator serves until the process ends.
///
/// # Errors
/// The address cannot be listened on, the system or the runtime does not start, or a load run
/// finds incomplete or incorrect answers.
pub fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Demo(command) => super::embedded::demo(command),
        Command::Engine(command) => {
            let options = engine_options(&command);
            serve(command.listen, |listener| {
                crate::engine::serve(listener, options)
            })
        }
        Command::Load(command) => run_load(command),
        Command::Platform(command) => {
            let options = platform_options(&command)?;
            serve(command.listen, |listener| {
                crate::platform::serve(listener, options)
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
        Command::Up(command) => super::embedded::up(&command),
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

/// Runs the load and prints the report; fails if an answer is incomplete or incorrect.
fn run_load(command: LoadCommand) -> anyhow::Result<()> {
    let plan = LoadPlan {
        count: command.count,
        seed: command.seed,
        rate: command.rate,
        lengths: command.lengths,
        max_tokens: command.max_tokens,
    };
    let target = Target {
        url: command.target,
        key: command.key,
        model: command.model,
    };
    let runtime = Runtime::new().context("cannot start the runtime")?;
    let report = runtime.block_on(crate::load::run(target, plan))?;
    print!("{report}");
    let bad = report.bad_answers();
    anyhow::ensure!(
        bad == 0,
        "{bad} answers were incomplete or incorrect: see the log of the entry"
    );
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
        incarnation: new_incarnation(),
        speed: command.speed,
        exit_on_crash: command.exit_on_crash,
    }
}

fn platform_options(command: &PlatformCommand) -> anyhow::Result<PlatformOptions> {
    let vms = command.vms.as_deref().map(read_vms).transpose()?;
    Ok(PlatformOptions {
        writes: command.writes,
        reads: command.reads,
        vms: vms.unwrap_or_default(),
        faults: PlatformFaults {
            vm_lag_ms: command.vm_lag,
            ..PlatformFaults::default()
        },
    })
}

fn read_vms(path: &Path) -> anyhow::Result<Vec<Vm>> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    let list: VmList = serde_json::from_slice(&text)
        .with_context(|| format!("{} is not a valid list of VMs", path.display()))?;
    Ok(list.vms)
}

/// Incarnation that grows with each start without stored state: the Unix time in milliseconds.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |span| u64::try_from(span.as_millis()).unwrap_or(1))
}
