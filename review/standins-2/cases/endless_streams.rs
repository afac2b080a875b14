//! Half of the model servers send bytes that are no events, without end, while sound calls go on.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::case::Case;
use crate::case::Result;
use crate::case::Verdict;
use crate::case::ip;
use crate::entry::Entry;
use crate::http;
use crate::payouts;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-przeglad","host":"kasa.example","prefix":"/przeglad/","kind":"streaming","timeout_ms":15000,"slo_ms":4000,"priority":1,"service":"pula","attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":1000},{"name":"r-przelew","host":"kasa.example","prefix":"/przelew/","kind":"non_idempotent","timeout_ms":1500,"slo_ms":200,"priority":2,"service":"kasa","attempts":1,"public":false}],"services":[{"name":"pula","health_path":"/health","max_conns":368,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":405000,"kv_token_bytes":163840,"link_mbps":400000.0,"stride":38,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"hop_ms":0.1}},{"name":"kasa","health_path":"/health","max_conns":190,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
/// The least that a front machine of the pages allows.
const MEMORY_MB: u64 = 160;
const MODEL_SERVERS: usize = 40;
/// `garble`: a half of the servers.
const FAULTY_SERVERS: usize = 20;
const PROMPTS: usize = 480;
/// All prompts come within this time.
const BURST: Duration = Duration::from_millis(1_500);
const PROMPT_LIMIT: Duration = Duration::from_secs(15);
const CALM: Duration = Duration::from_secs(2);

pub fn play(folder: &Path) -> Result<Verdict> {
    let case = Case::start(folder, CONFIG)?;
    for number in 0..MODEL_SERVERS {
        let is_faulty = case.has_trouble && number < FAULTY_SERVERS;
        let (mode, id) = (
            if is_faulty { "faulty" } else { "sound" },
            format!("m-{number}"),
        );
        case.fleet
            .add_as(mode, &id, "pula", &ip(20 + number as u8), "lub-a")?;
    }
    for number in 0..3 {
        case.fleet
            .add(&format!("k-{number}"), "kasa", &ip(10 + number), "lub-a")?;
    }
    thread::sleep(CALM);
    let entry = Entry::start_with("front-lub-a-1", &ip(2), "lub-a", case.store.addr, MEMORY_MB)?;
    entry.wait_ready()?;
    let is_over = AtomicBool::new(false);
    let (mut lost, mut peak) = (0, 0);
    thread::scope(|scope| {
        let (case, entry, is_over) = (&case, &entry, &is_over);
        let platform = scope.spawn(move || payouts::limit_memory(case, entry, MEMORY_MB, is_over));
        let payers = (0..payouts::PAYERS)
            .map(|_| scope.spawn(move || payouts::pay(case, entry.front, is_over)));
        let payers: Vec<_> = payers.collect();
        thread::sleep(CALM);
        let prompts = (0..PROMPTS).map(|number| {
            scope.spawn(move || {
                thread::sleep(BURST * number as u32 / PROMPTS as u32);
                prompt(case, entry.front);
            })
        });
        let prompts: Vec<_> = prompts.collect();
        for one in prompts {
            let _ = one.join();
        }
        is_over.store(true, Ordering::Relaxed);
        lost = payers
            .into_iter()
            .map(|payer| payer.join().unwrap_or(0))
            .sum();
        peak = platform.join().unwrap_or(0);
    });
    case.record.write(&format!(
        "most memory of the entry: {peak} kB, {MEMORY_MB} MB are allowed"
    ));
    case.record.write(&format!(
        "payouts that were at a server and got no answer: {lost}, {} are allowed",
        payouts::MAX_LOST
    ));
    entry.save_log(folder);
    Ok(if lost > payouts::MAX_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends one prompt and reads its stream.
fn prompt(case: &Case, front: SocketAddr) {
    let id = case.next_attempt();
    let last = format!("5c1e07a2:40,{id}:60000");
    let headers = [
        ("Host", "kasa.example"),
        ("X-Jujubewind-Attempt-Id", id.as_str()),
        ("X-Jujubewind-Deadline-Ms", "15000"),
        ("X-Api-Key", payouts::KEY),
        ("X-Jujubewind-Model", "m"),
        ("X-Jujubewind-Token-Counts", "30000,700"),
        ("X-Jujubewind-Prompt-Prefix", last.as_str()),
    ];
    case.record.write(&format!("client sends prompt {id}"));
    let answer = http::call(
        front,
        "POST /przeglad/2f HTTP/1.1",
        &headers,
        b"prompt",
        PROMPT_LIMIT,
    );
    let text = match &answer {
        Ok(answer) => format!("{}, {} bytes", answer.status(), answer.body.len()),
        Err(error) => format!("no whole answer: {error}"),
    };
    case.record
        .write(&format!("client gets to prompt {id}: {text}"));
}
