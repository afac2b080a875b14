//! Commands that run the whole system in one process.

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

/// Runs the load and prints the results; fails on a bad answer, a repeated call or a memory leak.
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
        "an answer was incomplete, wrong or lost, or memory leaked: rerun with --seed {}, report it",
        command.seed
    );
    Ok(())
}

/// Runs the system until Ctrl-C or a stop signal.
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
        // The first poll installs the signal handlers; they must be active before the guide is
        // printed.
        if futures::poll!(&mut ended).is_pending() {
            print!("{}", Guide(&system));
            ended.await;
        }
        Ok(())
    })
}
