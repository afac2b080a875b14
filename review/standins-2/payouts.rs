//! Callers whose payouts must not be lost, and the platform, which limits the memory of an entry.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::case::Case;
use crate::entry::Entry;
use crate::http;

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const PAYERS: usize = 20;
/// Requests that the rule lets a machine lose.
pub const MAX_LOST: usize = 3;
/// A payout is at work for so long.
const PAYOUT: &str = "hold 900";
const PAYOUT_LIMIT: Duration = Duration::from_secs(3);
const RECORD_DELAY: Duration = Duration::from_millis(300);
const WATCH_EVERY: Duration = Duration::from_millis(20);

/// Kills the entry once it takes more memory than its machine allows, as the platform does.
pub fn limit_memory(case: &Case, entry: &Entry, memory_mb: u64, is_over: &AtomicBool) -> u64 {
    let mut peak = 0;
    while !is_over.load(Ordering::Relaxed) {
        let memory = entry.memory_kb();
        peak = peak.max(memory);
        if memory > memory_mb * 1_024 {
            case.record.write(&format!(
                "platform: the entry takes {memory} kB and is killed"
            ));
            entry.kill();
            break;
        }
        thread::sleep(WATCH_EVERY);
    }
    peak
}

/// Posts payouts one after the other on a kept connection; returns how many were passed on to a server
/// and got no answer.
pub fn pay(case: &Case, front: SocketAddr, is_over: &AtomicBool) -> usize {
    let Ok(mut writer) = TcpStream::connect(front) else {
        return 0;
    };
    let _ = writer.set_read_timeout(Some(PAYOUT_LIMIT));
    let Ok(stream) = writer.try_clone() else {
        return 0;
    };
    let mut reader = BufReader::new(stream);
    while !is_over.load(Ordering::Relaxed) {
        let id = case.next_attempt();
        let headers = [
            ("Host", "kasa.example"),
            ("X-Jujubewind-Attempt-Id", id.as_str()),
            ("X-Jujubewind-Deadline-Ms", "1500"),
            ("X-Api-Key", KEY),
        ];
        let first = "POST /przelew/2f HTTP/1.1";
        case.record.write(&format!("client sends payout {id}"));
        let sent = http::write(&mut writer, first, &headers, PAYOUT.as_bytes());
        let answer = sent.and_then(|()| http::read(&mut reader));
        if let Ok(Some(answer)) = answer {
            case.record
                .write(&format!("client gets {} to payout {id}", answer.status()));
            continue;
        }
        // What a server has begun to run is recorded a little later.
        thread::sleep(RECORD_DELAY);
        let is_at_server = case.fleet.runs().iter().any(|run| run.attempt == id);
        case.record.write(&format!(
            "the channel of payout {id} ends without an answer, at a server: {is_at_server}"
        ));
        return usize::from(is_at_server);
    }
    0
}
