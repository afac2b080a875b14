//! The operating system's request to stop.

/// The signal by which the platform asks a process to stop.
const SIGTERM: i32 = 15;

/// Waits until this process is asked to stop.
///
/// # Errors
/// The signal cannot be listened for.
pub async fn stop_signal() -> std::io::Result<()> {
    compio::signal::unix::signal(SIGTERM).await
}
