//! Planned stops under load: repeated signals, callers that keep sending, and a rolling restart.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use jujube_emulator::engine::core::answer::expected;
use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::caller;
use crate::caller::Caller;
use crate::fleet::Fleet;

/// Length of each answer.
const TOKENS: u64 = 300;
/// Number of concurrent callers.
const CALLERS: u64 = 6;
/// Number of threads that connect anew for each request.
const CONNECTING: usize = 4;
/// When the bodies of slow requests end, in milliseconds: the last one after an idle entry has stopped
/// accepting.
const SLOW_BODIES_MILLIS: [u64; 2] = [1_000, 6_500];
/// The time within which connections have been made.
const SETTLING: Duration = Duration::from_millis(200);
/// Number of threads that send continuously.
const SENDERS: u64 = 3;

fn fleet(entries: &[&str]) -> Fleet {
    let mut fleet = Fleet::new().speed(10).engine("a").engine("b");
    for entry in entries {
        fleet = fleet.entry(entry);
    }
    for entry in entries {
        wait_for_agents(&fleet, entry);
    }
    fleet
}

fn wait_for_agents(fleet: &Fleet, entry: &str) {
    fleet.wait_until("both agents are known to serve", |fleet| {
        let status = fleet.get(entry, "/status");
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let serve = members
            .iter()
            .filter(|m| m["role"] == "agent" && m["suspect"] == false && m["leaving"] == false);
        serve.count() == 2
    });
}

fn prompt(number: u64) -> String {
    format!("bundle of mutations {number} ").repeat(100)
}

fn start_requests(fleet: &Fleet, numbers: std::ops::Range<u64>) -> Vec<(u64, JoinHandle<Answer>)> {
    let send = |number| {
        let caller = fleet.caller("e1").complete(&prompt(number), TOKENS);
        (number, thread::spawn(move || caller.send()))
    };
    numbers.map(send).collect()
}

fn is_ready(caller: &Caller) -> bool {
    caller.clone().get("/readyz").send().status == 200
}

/// Sends requests to a ready entry until `stop` is set; returns the failed ones.
fn keep_sending(
    entries: [Caller; 2],
    sender: u64,
    stop: Arc<AtomicBool>,
) -> JoinHandle<SenderReport> {
    thread::spawn(move || {
        let mut report = SenderReport::default();
        while !stop.load(Ordering::Relaxed) {
            let Some(entry) = entries.iter().find(|entry| is_ready(entry)) else {
                continue;
            };
            let text = prompt(sender);
            let answer = entry.clone().complete(&text, TOKENS).send();
            report.sent += 1;
            if answer.text() != expected(&text, TOKENS) || !answer.is_complete() {
                report
                    .failures
                    .push(format!("{} {}", answer.status, answer.body));
            }
        }
        report
    })
}

/// Results of a sender.
#[derive(Debug, Default)]
struct SenderReport {
    sent: usize,
    failures: Vec<String>,
}

#[test]
fn an_entry_stopped_twice_serves_what_still_comes() {
    let mut fleet = fleet(&["e1"]);
    let mut answers = start_requests(&fleet, 0..CALLERS);
    fleet.wait_until("an engine works", |fleet| {
        fleet.sequences("a") + fleet.sequences("b") > 0
    });

    fleet.signal("e1", Signal::SIGTERM);
    fleet.signal("e1", Signal::SIGTERM);
    fleet.wait_until("readiness fails", |fleet| !is_ready(&fleet.caller("e1")));
    answers.extend(start_requests(&fleet, CALLERS..2 * CALLERS));

    for (number, answer) in answers {
        let answer = answer.join().expect("the caller ends");
        assert!(answer.is_complete(), "{}\n{}", answer.body, fleet.logs());
        assert_eq!(answer.text(), expected(&prompt(number), TOKENS));
    }
    assert!(fleet.wait("e1"), "the entry ends by itself");
}

/// Sends requests on new connections until none can be made; returns how many got no response.
fn connect_until_refused(entry: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect(entry) {
        let request = b"GET /readyz HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
        let is_sent = stream.write_all(request).is_ok();
        unanswered += usize::from(!is_sent || caller::read(stream).status == 0);
    }
    unanswered
}

/// Sends a request whose body ends after `delay`; returns the status of its response, zero if there
/// is none.
fn send_slowly(entry: SocketAddr, delay: Duration) -> u16 {
    let mut stream = TcpStream::connect(entry).expect("connects");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    thread::sleep(delay);
    let _ = stream.write_all(b"}");
    caller::read(stream).status
}

#[test]
fn an_entry_that_stops_resets_no_connection() {
    let mut fleet = fleet(&["e1"]);
    let entry = fleet.addr("e1");
    let connecting = [(); CONNECTING].map(|()| thread::spawn(move || connect_until_refused(entry)));
    let slow = SLOW_BODIES_MILLIS.map(|millis| {
        let delay = Duration::from_millis(millis);
        thread::spawn(move || send_slowly(entry, delay))
    });
    thread::sleep(SETTLING);

    fleet.signal("e1", Signal::SIGTERM);

    assert!(fleet.wait("e1"), "the entry ends by itself");
    let unanswered = connecting.map(|caller| caller.join().expect("the caller ends"));
    let statuses = slow.map(|caller| caller.join().expect("the caller ends"));
    assert_eq!(unanswered, [0; CONNECTING]);
    assert!(statuses.iter().all(|status| *status != 0), "{statuses:?}");
}

#[test]
fn replacing_every_process_in_turn_cuts_no_answer() {
    let mut fleet = fleet(&["e1", "e2"]);
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| {
            let entries = [fleet.caller("e1"), fleet.caller("e2")];
            keep_sending(entries, sender, stop.clone())
        })
        .collect();

    for (process, admin) in [
        ("a-agent", "a-admin"),
        ("b-agent", "b-admin"),
        ("e1", "e1"),
        ("e2", "e2"),
    ] {
        fleet.signal(process, Signal::SIGTERM);
        assert!(fleet.wait(process), "{process} ends by itself");
        fleet.restart(process);
        fleet.wait_ready(admin);
        wait_for_agents(&fleet, "e1");
        wait_for_agents(&fleet, "e2");
    }
    stop.store(true, Ordering::Relaxed);

    for sender in senders {
        let report = sender.join().expect("the sender ends");
        assert!(report.sent > 0, "a sender sent nothing\n{}", fleet.logs());
        assert!(report.failures.is_empty(), "{report:?}\n{}", fleet.logs());
    }
}
