//! A part of a prompt crashes engines, and one engine crashes without the fault of a prompt, at a time of
//! little traffic.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Outcome;
use crate::caller;
use crate::caller::Call;
use crate::entry::Entry;
use crate::http::Message;
use crate::record;
use crate::server;
use crate::server::Channel;
use crate::server::LAST_CHUNK;
use crate::server::Server;
use crate::store::Store;

pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"short","host":"host.example","prefix":"/short/","kind":"streaming","timeout_ms":10000,"slo_ms":300,"priority":1,"service":"llm","attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":250}],
"services":[{"name":"llm","health_path":"/health","max_conns":354,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity_tokens":405000,"kv_token_bytes":163840,"link_mbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":5000,"answer":300},"hop_ms":0.1}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"office","api_keys":["key-1"],"priority":1}]}"#;

/// The part that all prompts share, and the one that crashes engines.
const SHARED_PART: &str = "5c1e07a2";
const FATAL_PART: &str = "91bd3f06";
/// Of this request the engine crashes without the fault of a prompt.
const UNLUCKY: &str = "c0000000000000ff";

const ENGINES: usize = 7;
/// How long an engine is away after a crash.
const DOWN: Duration = Duration::from_secs(2);
const PREFILL: Duration = Duration::from_millis(60);
const EVENT_GAP: Duration = Duration::from_millis(40);
const EVENTS: u64 = 8;
/// Between two sound requests, and between two with the fatal part.
const SOUND_GAP: Duration = Duration::from_millis(400);
const FATAL_GAP: Duration = Duration::from_millis(1_000);
/// Sound requests before the disruption and after it.
const BEFORE: u64 = 30;
const AFTER: u64 = 75;
/// Without requests.
const QUIET: Duration = Duration::from_secs(6);
/// Twice `stable_window_ms` of the settings.
const SETTLING: Duration = Duration::from_secs(6);

/// What the engines have seen.
#[derive(Default)]
struct Seen {
    /// Requests whose answer an engine has begun.
    begun: BTreeSet<String>,
    crashes: Vec<Duration>,
}

fn answer(engine: &Server, request: &Message, channel: &mut Channel, seen: &Mutex<Seen>) -> bool {
    let id = server::id_of(request).to_owned();
    let parts = request
        .header("x-jujubewind-prompt-prefix")
        .unwrap_or_default();
    record::line(&format!("{} gets {id} {parts}", engine.id()));
    std::thread::sleep(PREFILL);
    let is_fatal = parts.contains(FATAL_PART);
    if !is_fatal {
        seen.lock()
            .expect("no thread panics")
            .begun
            .insert(id.clone());
        if !channel.send(&server::stream_head(engine, request)) {
            return false;
        }
    }
    for event in 1..=EVENTS {
        let is_unlucky = id == UNLUCKY && event == 3 && !crashed(seen, &id);
        if is_fatal || is_unlucky {
            seen.lock()
                .expect("no thread panics")
                .crashes
                .push(record::elapsed());
            engine.crash(DOWN);
            return false;
        }
        if !channel.send(&server::chunk(&format!("id: {event}\ndata: {id}\n\n"))) {
            return false;
        }
        std::thread::sleep(EVENT_GAP);
    }
    channel.send(LAST_CHUNK)
}

/// Whether the engine of the unlucky request has crashed: it does so once.
fn crashed(seen: &Mutex<Seen>, id: &str) -> bool {
    let mut seen = seen.lock().expect("no thread panics");
    !seen.begun.insert(format!("{id} crashed"))
}

fn call(id: String, parts: &str) -> Call {
    Call {
        method: "POST".to_owned(),
        path: "/short/2f".to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 10_000,
        headers: format!(
            "X-Jujubewind-Model: m\r\nX-Jujubewind-Token-Counts: 5000,272\r\nX-Jujubewind-Prompt-Prefix: {parts},{id}:4000\r\n"
        ),
        body: id.clone().into_bytes(),
        id,
    }
}

/// Sends a request from a thread of its own and notes the status and the reason of a refusal.
fn send(
    front: SocketAddr,
    call: Call,
    statuses: Arc<Mutex<BTreeMap<String, u16>>>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let reply = caller::send(front, &call);
        let status = reply.status();
        let answer = reply.answer.unwrap_or_default();
        let (wait, body) = (answer.header("retry-after").unwrap_or("-"), &answer.body);
        let body = String::from_utf8_lossy(&body[..body.len().min(60)]).replace('\n', " ");
        record::line(&format!(
            "caller {}: status {status}, retry-after {wait}, {body}",
            call.id
        ));
        statuses
            .lock()
            .expect("no thread panics")
            .insert(call.id, status);
    })
}

/// Plays the case.
pub fn play(trouble: bool) -> Outcome {
    let store = Store::start()?;
    store.put("op/config", CONFIG.as_bytes());
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 0..ENGINES {
        let seen = seen.clone();
        let answer = move |engine: &Server, request: &Message, channel: &mut Channel| {
            answer(engine, request, channel, &seen)
        };
        Server::start(&store, &format!("e{number}"), "llm", 16, Arc::new(answer))?;
    }
    std::thread::sleep(Duration::from_millis(100));
    let mut entry = Entry::new(1, store.addr)?;
    entry.start()?;
    entry.wait_until_ready()?;
    let front = entry.front;
    let statuses = Arc::new(Mutex::new(BTreeMap::new()));
    let mut threads = Vec::new();
    let sound = format!("{SHARED_PART}:40");
    let fatal = format!("{SHARED_PART}:40,{FATAL_PART}:960");
    for number in 0..BEFORE {
        threads.push(send(
            front,
            call(format!("a{number:015x}"), &sound),
            statuses.clone(),
        ));
        std::thread::sleep(SOUND_GAP);
    }
    std::thread::sleep(QUIET);
    let with_crash = std::env::var("TROUBLE").map_or(true, |value| value != "part");
    if trouble {
        let statuses = statuses.clone();
        threads.push(std::thread::spawn(move || {
            let count = 4 + u64::try_from(SOUND_GAP.as_millis()).unwrap_or(0) * AFTER / 1_000;
            for number in 0..count {
                let _ = send(
                    front,
                    call(format!("b{number:015x}"), &fatal),
                    statuses.clone(),
                );
                std::thread::sleep(FATAL_GAP);
            }
        }));
        // The requests with the fatal part have had the time to crash three engines or more.
        std::thread::sleep(Duration::from_millis(3_500));
    }
    let id = if with_crash && trouble {
        UNLUCKY.to_owned()
    } else {
        "c0000000000000fe".to_owned()
    };
    threads.push(send(front, call(id, &sound), statuses.clone()));
    std::thread::sleep(Duration::from_millis(1_000));
    let mut sent = BTreeMap::new();
    for number in 0..AFTER {
        let id = format!("d{number:015x}");
        sent.insert(id.clone(), record::elapsed());
        threads.push(send(front, call(id, &sound), statuses.clone()));
        std::thread::sleep(SOUND_GAP);
    }
    for thread in threads {
        thread.join().map_err(|_| "a caller panicked")?;
    }
    std::thread::sleep(Duration::from_millis(500));
    let seen = seen.lock().expect("no thread panics");
    let last = seen
        .crashes
        .iter()
        .take(5)
        .last()
        .copied()
        .unwrap_or_default();
    let begun_before = seen.begun.iter().filter(|id| id.starts_with('a')).count();
    let late: Vec<&String> = sent
        .iter()
        .filter(|(_, at)| **at >= last + SETTLING)
        .map(|(id, _)| id)
        .collect();
    let begun = late.iter().filter(|id| seen.begun.contains(**id)).count();
    record::line(&format!("crashes at {:?}", seen.crashes));
    record::line(&format!(
        "sound requests before: {begun_before} of {BEFORE} begun"
    ));
    record::line(&format!(
        "sound requests later than {SETTLING:?} after the last crash: {begun} of {} begun",
        late.len()
    ));
    if late.len() < 20 || begun_before < 20 {
        return Err("too few sound requests".to_owned());
    }
    let (before, after) = (
        begun_before * late.len(),
        begun * usize::try_from(BEFORE).unwrap_or(1),
    );
    Ok(2 * after >= before)
}
