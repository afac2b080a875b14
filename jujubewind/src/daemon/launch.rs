//! Starts a daemon from its command line.

use std::process::ExitCode;

use log::LevelFilter;

use super::Options;
use super::options::options;
use crate::logging;
use crate::rpc::TimeDriver;
use crate::settings;
use crate::settings::Validate;

/// The exit code for an invalid settings file.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Reads options and settings, then runs `daemon` until it ends; prints at most one error.
pub fn launch<S: Validate>(
    level: impl FnOnce(&S) -> LevelFilter,
    daemon: impl AsyncFnOnce(S) -> anyhow::Result<()>,
) -> ExitCode {
    let options: Options = options().run();
    let settings: S = match settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match start(&settings, level).and_then(|driver| serve(&driver, settings, daemon)) {
        Ok(()) => {
            log::logger().flush();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::logger().flush();
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start<S>(settings: &S, level: impl FnOnce(&S) -> LevelFilter) -> anyhow::Result<TimeDriver> {
    logging::start(level(settings))?;
    Ok(TimeDriver::start()?)
}

fn serve<S>(
    driver: &TimeDriver,
    settings: S,
    daemon: impl AsyncFnOnce(S) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let _timers = driver.enter();
    compio::runtime::Runtime::new()?.block_on(daemon(settings))
}
