//! The commands that run the whole system in this process.

use std::pin::pin;

use anyhow::Context;
use compio::runtime::Runtime;
use futures::future::select;

use super::options::DemoCommand;
use super::options::UpCommand;
use crate::embedded::Demo;
use crate::embedded::Guide;
use crate::embedded::System;
use crate::embedded::SystemOptions;
use crate::load::LoadPlan;

/// Prints what was served; an answer that is cut or wrong, or lost memory, is an error.
pub(super) fn demo(command: DemoCommand) -> anyhow::Result<()> {
    let demo = Demo {
        system: SystemOptions {
            engines: command.engines,
            speed: command.speed,
            port: 0,
        },
        plan: LoadPlan {
            count: command.count,
            seed: command.seed,
            rate: command.rate,
            lengths: command.lengths,
            max_tokens: command.max_tokens,
        },
    };
    let runtime = Runtime::new().context("cannot start the runtime")?;
    let summary = runtime.block_on(demo.run())?;
    print!("{summary}");
    anyhow::ensure!(
        summary.is_success(),
        "an answer was cut, wrong or lost, or memory is missing: run again with --seed {} and file it",
        command.seed
    );
    Ok(())
}

/// Keeps the system up until Ctrl-C or a request to stop.
pub(super) fn up(command: &UpCommand) -> anyhow::Result<()> {
    let options = SystemOptions {
        engines: command.engines,
        speed: command.speed,
        port: command.port,
    };
    jujubewind::logging::start(log::LevelFilter::Warn)?;
    let runtime = Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(async {
        let system = System::start(&options).await?;
        let interrupt = pin!(compio::signal::ctrl_c());
        let stop = pin!(jujubewind::daemon::stop_signal());
        let mut ended = select(interrupt, stop);
        // Signals are caught from the first poll on, so this stands before the guide.
        if futures::poll!(&mut ended).is_pending() {
            print!("{}", Guide(&system));
            ended.await;
        }
        Ok(())
    })
}
