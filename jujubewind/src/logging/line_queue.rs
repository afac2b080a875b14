//! Queue of log lines to be written to standard output.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// How often lines are written: often enough to follow the log, with few wake-ups of the thread.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum size of the queue; enough for several thousand lines.
const MAX_QUEUED_BYTES: usize = 512 * 1_024;

/// Queued lines, and the number of lines dropped since the last write.
#[derive(Debug, Default)]
struct QueuedLines {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
}

/// A bounded queue of lines: logging never blocks on a slow reader of standard output.
#[derive(Clone, Debug, Default)]
pub struct LineQueue {
    queued: Arc<Mutex<QueuedLines>>,
}

impl LineQueue {
    /// Adds a line, or counts it as dropped if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        let mut queued = self.lock();
        if queued.bytes + line.len() > MAX_QUEUED_BYTES {
            queued.dropped += 1;
            return;
        }
        queued.bytes += line.len();
        queued.lines.push_back(line);
    }

    /// Takes all queued lines, followed by a line with the number of dropped ones, if any.
    #[must_use]
    pub fn take(&self) -> Vec<u8> {
        let taken = std::mem::take(&mut *self.lock());
        let mut bytes = Vec::with_capacity(taken.bytes);
        for line in taken.lines {
            bytes.extend_from_slice(&line);
        }
        if taken.dropped > 0 {
            let line = format!(
                "level=WARN event=log_lines_dropped count={}\n",
                taken.dropped
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Writes all queued lines to `output`; lines that cannot be written are lost.
    pub fn drain(&self, output: &mut impl Write) {
        let bytes = self.take();
        if !bytes.is_empty() {
            let _ = output.write_all(&bytes).and_then(|()| output.flush());
        }
    }

    /// Starts the thread that writes queued lines to standard output.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(&self) -> std::io::Result<()> {
        let queue = self.clone();
        let write = move || {
            loop {
                std::thread::sleep(FLUSH_INTERVAL);
                queue.drain(&mut std::io::stdout());
            }
        };
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(write)?;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, QueuedLines> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
