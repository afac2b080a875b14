//! Errors of setting up logging.

/// An error of setting up logging.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// log4rs rejected the configuration.
    #[error("invalid logging configuration: {0}; report this as a bug")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The thread that writes log lines could not be started.
    #[error("cannot start the log writer thread: {0}; raise the process's thread limit")]
    Thread(#[from] std::io::Error),
    /// A logger is already installed.
    #[error("logging was already started: {0}; start it only once in a process")]
    Installed(#[from] log::SetLoggerError),
}

/// The result of setting up logging.
pub type Result<T> = std::result::Result<T, Error>;
