//! The log4rs appender that fills the line queue.

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

use super::LineQueue;

/// Encodes log records and appends them to a queue.
#[derive(Debug)]
pub struct QueueAppender {
    queue: LineQueue,
    encoder: Box<dyn Encode>,
}

impl QueueAppender {
    /// Creates an appender for `queue`.
    #[must_use]
    pub fn new(queue: LineQueue, encoder: Box<dyn Encode>) -> Self {
        Self { queue, encoder }
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        self.queue.push(line.0);
        Ok(())
    }

    /// Writes the queued lines, so that none are lost when the process exits.
    fn flush(&self) {
        self.queue.drain(&mut std::io::stdout());
    }
}
