//! Logging that neither blocks nor grows without bound.

use std::io::Write;

use jujubewind::direct::RefusalSampler;
use jujubewind::logging::LineQueue;
use jujubewind::refusal::Reason;

use crate::fixture::at;

/// An output whose reader is gone: every write after the first fails.
struct Stuck {
    taken: usize,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.taken > 0 {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        self.taken = bytes.len().min(10);
        Ok(self.taken)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn line(number: usize) -> Vec<u8> {
    format!("level=INFO event=request_ended request={number:08}\n").into_bytes()
}

#[test]
fn lines_are_written_in_order() {
    let queue = LineQueue::default();

    queue.push(line(1));
    queue.push(line(2));

    assert_eq!(queue.take(), [line(1), line(2)].concat());
    assert!(queue.take().is_empty());
}

#[test]
fn unread_output_uses_bounded_memory_and_does_not_block() {
    let queue = LineQueue::default();

    for number in 0..100_000 {
        queue.push(line(number));
    }
    let bytes = queue.take();

    assert!(bytes.len() < 600_000, "{} bytes", bytes.len());
    let text = String::from_utf8_lossy(&bytes);
    let last = text.lines().last().unwrap_or_default();
    assert!(last.contains("event=log_lines_dropped count="), "{last}");
}

#[test]
fn failing_output_does_not_stop_later_lines() {
    let queue = LineQueue::default();
    queue.push(line(1));
    queue.drain(&mut Stuck { taken: 0 });
    let mut later = Vec::new();

    queue.push(line(2));
    queue.drain(&mut later);

    assert_eq!(later, line(2));
}

#[test]
fn refusals_beyond_a_rate_are_aggregated() {
    let sampler = RefusalSampler::default();

    let single = (0..200)
        .filter(|number| sampler.count(at(1_000 + number), Reason::QueueFull).0)
        .count();
    let other = sampler.count(at(1_300), Reason::NoTime);
    let next = sampler.count(at(2_100), Reason::QueueFull);

    assert_eq!(single, 50);
    assert_eq!(other, (true, 0));
    assert_eq!(next, (true, 150));
}
