//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

static FILE: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record.
pub fn open(path: PathBuf, trouble: bool) {
    let file = File::create(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let _ = FILE.set((Mutex::new(file), Instant::now()));
    line(if trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
}

/// The time since the record was opened.
pub fn elapsed() -> Duration {
    FILE.get()
        .map_or(Duration::ZERO, |(_, start)| start.elapsed())
}

/// Adds a line with the time in seconds.
pub fn line(text: &str) {
    let Some((file, start)) = FILE.get() else {
        return;
    };
    let now = start.elapsed().as_secs_f64();
    let mut file = file.lock().expect("no thread panics");
    let _ = writeln!(file, "{now:8.3} {text}");
}
