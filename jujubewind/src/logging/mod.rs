//! Structured logging: one line of key=value pairs for each event.

mod error;
mod line_queue;
mod queue_appender;
mod value;

pub use error::Error;
pub use error::Result;
pub use line_queue::LineQueue;
pub use queue_appender::QueueAppender;
pub use value::Value;

use log::LevelFilter;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;

/// The format of a line: time, level, then the pairs of the event.
const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Logs lines of `level` and above to standard output, through a bounded queue that never blocks.
///
/// # Errors
/// A logger is already installed in this process, or the writer thread cannot be started.
pub fn start(level: LevelFilter) -> Result<()> {
    let queue = LineQueue::default();
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender = QueueAppender::new(queue.clone(), encoder);
    queue.start()?;
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .logger(Logger::builder().build("tarpc", LevelFilter::Warn))
        .build(Root::builder().appender("stdout").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Logs one event as a line of key=value pairs.
///
/// ```
/// jujubewind::event!(info, "request_ended", request = 7, tokens = 12);
/// ```
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::$level!(
            concat!("event=", $name, $(" ", stringify!($key), "={}",)*)
            $(, $crate::logging::Value(&$value))*
        )
    };
}
