//! Handling of the stop and reload signals.

use std::pin::Pin;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;

/// The signal that asks a process to stop.
const SIGTERM: i32 = 15;

/// Waits for the stop signal.
///
/// # Errors
/// The signal handler cannot be installed.
pub async fn stop_signal() -> std::io::Result<()> {
    compio::signal::unix::signal(SIGTERM).await
}

/// Keeps a listener for the stop signal registered.
///
/// While it exists, a second stop signal does not end the process: the runtime restores the
/// signal's default action only when the last listener is dropped.
pub struct StopSignalGuard {
    _listener: Pin<Box<dyn Future<Output = std::io::Result<()>>>>,
}

impl StopSignalGuard {
    /// Registers the listener with the runtime.
    pub async fn new() -> Self {
        let mut listener: Pin<Box<dyn Future<Output = std::io::Result<()>>>> =
            Box::pin(stop_signal());
        let _ = futures::poll!(listener.as_mut());
        Self {
            _listener: listener,
        }
    }
}

/// Blocks the reload signal, whose default action ends the process.
///
/// Settings can change without a signal, so their users poll the file instead. Must be called
/// before any other thread starts. A signal listener is not enough: between two signals it is not
/// registered for a moment, and a signal in that moment would end the process.
///
/// # Errors
/// The operating system rejects the signal mask.
pub fn block_reload_signal() -> nix::Result<()> {
    let mut set = SigSet::empty();
    set.add(Signal::SIGHUP);
    set.thread_block()
}
