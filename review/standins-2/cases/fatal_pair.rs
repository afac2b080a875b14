//! A caller sends its prompts in pairs, and one of each pair has a part that crashes servers.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::case::Case;
use crate::case::Play;
use crate::case::Result;
use crate::case::STABLE_WINDOW;
use crate::case::Verdict;
use crate::case::ip;
use crate::entry::Entry;
use crate::http;
use crate::payouts;
use crate::worker::FATAL;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-pytanie","host":"kasa.example","prefix":"/pytanie/","kind":"streaming","timeout_ms":10000,"slo_ms":300,"priority":1,"service":"pula","attempts":1,"public":false,"sticky":true,"can_resume":false,"gap_aim_ms":250}],"services":[{"name":"pula","health_path":"/health","max_conns":354,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity_tokens":405000,"kv_token_bytes":163840,"link_mbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"hop_ms":0.1}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
const SERVERS: u8 = 14;
/// The part that crashes servers.
const FATAL_PART: &str = "91bd3f06";
/// A part of the sound prompts, in place of it.
const SOUND_PART: &str = "c0ffee01";
/// Sound prompts before the first pair, and a pause after them.
const BEFORE: usize = 20;
const BEFORE_EVERY: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_secs(7);
const PAIRS: usize = 16;
const PAIR_EVERY: Duration = Duration::from_millis(1_500);
/// A server crashes within this time after it has begun to run a prompt with the part.
const CRASH_DELAY: Duration = Duration::from_millis(500);
/// Crashes after which the bound holds, a stable window later.
const CRASHES: usize = 5;
/// Requests with the part that the rule lets through then.
const MAX_REQUESTS: usize = 3;
const PROMPT_LIMIT: Duration = Duration::from_secs(10);
const CALM: Duration = Duration::from_secs(1);

pub fn play(play: &Play<'_>) -> Result<Verdict> {
    let case = Case::start(play, CONFIG)?;
    for number in 0..SERVERS {
        let zone = if number % 2 == 0 { "lub-a" } else { "lub-b" };
        case.fleet
            .add(&format!("m-{number}"), "pula", &ip(20 + number), zone)?;
    }
    thread::sleep(CALM);
    let entry = Entry::start("front-lub-a-1", &ip(2), "lub-a", case.store.addr)?;
    entry.wait_ready()?;
    // With `TROUBLE=alone` the prompts with the fatal part come by themselves.
    let is_alone = play.trouble == "alone";
    thread::scope(|scope| {
        let (case, front) = (&case, entry.front);
        let send = move |part, body| scope.spawn(move || prompt(case, front, part, body));
        for _ in 0..BEFORE {
            send(SOUND_PART, "sound");
            thread::sleep(BEFORE_EVERY);
        }
        thread::sleep(PAUSE);
        for _ in 0..PAIRS {
            if !is_alone {
                send(SOUND_PART, "sound");
            }
            if case.has_trouble {
                send(FATAL_PART, FATAL);
            }
            thread::sleep(PAIR_EVERY);
        }
    });
    entry.save_log(play.record);
    let runs = case.fleet.runs();
    let fatal = runs.iter().filter(|run| run.is_fatal).map(|run| run.at);
    let fatal: Vec<Instant> = fatal.collect();
    let fifth = fatal.get(CRASHES - 1);
    let is_late =
        |at: &&Instant| fifth.is_some_and(|fifth| **at > *fifth + CRASH_DELAY + STABLE_WINDOW);
    let late = fatal.iter().filter(is_late).count();
    case.record.write(&format!(
        "requests with the part that reached servers: {}, later than the stable window after the \
         fifth crash: {late}, {MAX_REQUESTS} are allowed",
        fatal.len()
    ));
    Ok(if late > MAX_REQUESTS {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends one prompt, alike to no other, and reads its stream.
fn prompt(case: &Case, front: SocketAddr, part: &str, body: &str) {
    let id = case.next_attempt();
    let body = format!("{body} {id}");
    let parts = format!("5c1e07a2:40,{part}:60,{id}:20");
    let headers = [
        ("Host", "kasa.example"),
        ("X-Jujubewind-Attempt-Id", id.as_str()),
        ("X-Jujubewind-Deadline-Ms", "10000"),
        ("X-Api-Key", payouts::KEY),
        ("X-Jujubewind-Model", "m"),
        ("X-Jujubewind-Token-Counts", "120,80"),
        ("X-Jujubewind-Prompt-Prefix", parts.as_str()),
    ];
    case.record
        .write(&format!("client sends prompt {id}: {body}"));
    let answer = http::call(
        front,
        "POST /pytanie/2f HTTP/1.1",
        &headers,
        body.as_bytes(),
        PROMPT_LIMIT,
    );
    let text = match &answer {
        Ok(answer) => format!("{}, {} bytes", answer.status(), answer.body.len()),
        Err(error) => format!("no whole answer: {error}"),
    };
    case.record
        .write(&format!("client gets to prompt {id}: {text}"));
}
