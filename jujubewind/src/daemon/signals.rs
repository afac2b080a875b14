//! The operating system's requests to stop and to read the settings again.

use std::pin::Pin;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;

/// The signal by which the platform asks a process to stop.
const SIGTERM: i32 = 15;

/// Waits until this process is asked to stop.
///
/// # Errors
/// The signal cannot be listened for.
pub async fn stop_signal() -> std::io::Result<()> {
    compio::signal::unix::signal(SIGTERM).await
}

/// A listener for the stop signal that nobody asks.
///
/// While it lives, a second stop signal does not end the process: the runtime puts the default action back
/// only with the last listener.
pub struct StopSignalGuard {
    _listener: Pin<Box<dyn Future<Output = std::io::Result<()>>>>,
}

impl StopSignalGuard {
    /// Registers the listener.
    pub async fn new() -> Self {
        let mut listener: Pin<Box<dyn Future<Output = std::io::Result<()>>>> =
            Box::pin(stop_signal());
        let _ = futures::poll!(listener.as_mut());
        Self {
            _listener: listener,
        }
    }
}

/// Keeps the signal that the settings have changed from ending the process; whoever depends on the settings
/// looks at the file now and then, since it may change without a signal as well.
///
/// To be called before any other thread starts. A listener would not do: between two signals it leaves a
/// moment in which the next one ends the process.
///
/// # Errors
/// The operating system refuses.
pub fn block_reload_signal() -> nix::Result<()> {
    let mut set = SigSet::empty();
    set.add(Signal::SIGHUP);
    set.thread_block()
}
