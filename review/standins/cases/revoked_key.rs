//! The store comes back from a copy that lacks the latest configuration, and all entries are killed
//! meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::caller;
use crate::caller::Call;
use crate::entry::Entry;
use crate::http::Message;
use crate::record;
use crate::server;
use crate::server::Channel;
use crate::server::Server;
use crate::store::Store;

const ENTRIES: u8 = 2;
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// The age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_millis(6_500);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// How long after the return of the store the operator writes the configuration again.
const REWRITE: Duration = Duration::from_millis(1_500);
const REVOKED_KEY: &str = "key-2";

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"once","host":"host.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":1000,"slo_ms":200,"priority":1,"service":"app","attempts":1,"public":false}}],
"services":[{{"name":"app","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"office","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

/// Plays the case.
pub fn play(trouble: bool) -> Outcome {
    let store = Store::start()?;
    store.put("op/config", config(7, r#""key-1","key-2""#).as_bytes());
    let ran = Arc::new(Mutex::new(BTreeMap::new()));
    let noted = ran.clone();
    let answer = move |server: &Server, request: &Message, channel: &mut Channel| {
        let id = server::id_of(request).to_owned();
        noted
            .lock()
            .expect("no thread panics")
            .insert(id, record::elapsed());
        std::thread::sleep(Duration::from_millis(15));
        channel.send(&server::success(server, request, &[b'x'; 800]))
    };
    let answer = Arc::new(answer);
    for id in ["s1", "s2", "s3"] {
        Server::start(&store, id, "app", 6, answer.clone())?;
    }
    let mut entries = Vec::new();
    for number in 1..=ENTRIES {
        let mut entry = Entry::new(number, store.addr)?;
        entry.start()?;
        entries.push(entry);
    }
    for entry in &entries {
        entry.wait_until_ready()?;
    }
    // The entries have registered, and know each other.
    std::thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    std::thread::sleep(COPY_AGE.saturating_sub(REVOKE + AWAY));
    store.put("op/config", config(8, r#""key-1""#).as_bytes());
    let revoked = record::elapsed();
    record::line("the store acknowledges version 8, which takes key-2 away");

    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let (front, sent, is_over) = (entry.front, sent.clone(), is_over.clone());
        threads.push(std::thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let call = Call {
                    method: "POST".to_owned(),
                    path: "/once/2f".to_owned(),
                    id: format!("c{number}{count:014x}"),
                    key: REVOKED_KEY.to_owned(),
                    deadline_ms: 1_000,
                    body: vec![b'y'; 600],
                    ..Call::default()
                };
                let at = record::elapsed();
                sent.lock()
                    .expect("no thread panics")
                    .insert(call.id.clone(), at);
                let status = caller::send(front, &call).status();
                record::line(&format!(
                    "caller {}: entry {}, status {status}",
                    call.id,
                    number + 1
                ));
                std::thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    std::thread::sleep(REVOKE);
    if trouble {
        record::line("the store goes away");
        store.go_down();
        for entry in &mut entries {
            record::line(&format!("{} is killed", entry.name));
            entry.kill();
        }
        std::thread::sleep(AWAY);
        store.come_back(&copy);
        record::line("the store comes back from the copy, with version 7");
        for entry in &mut entries {
            entry.start()?;
            record::line(&format!("{} is started again", entry.name));
        }
        std::thread::sleep(REWRITE);
        store.put("op/config", config(8, r#""key-1""#).as_bytes());
        record::line("the operator writes version 8 again");
    }
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| "a caller panicked")?;
    }
    let (sent, ran) = (
        sent.lock().expect("no thread panics"),
        ran.lock().expect("no thread panics"),
    );
    let mut late = 0;
    for (id, at) in sent.iter() {
        if let Some(began) = ran.get(id).filter(|_| *at > revoked + REVOKE) {
            let after = at.saturating_sub(revoked);
            record::line(&format!(
                "request {id} with the revoked key, sent {after:?} after the acknowledgement, ran at {began:?}"
            ));
            late += 1;
        }
    }
    record::line(&format!(
        "requests with the revoked key that were sent too late and ran: {late}"
    ));
    Ok(late == 0)
}
