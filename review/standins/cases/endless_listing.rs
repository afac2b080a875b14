//! Another writer leaves an item among the registrations of the backend servers, and all processes are
//! killed after a change of the configuration.

use std::sync::Arc;
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

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"safe","host":"host.example","prefix":"/safe/","kind":"idempotent","timeout_ms":1000,"slo_ms":200,"priority":1,"service":"app","attempts":2,"public":false}}],
"services":[{{"name":"app","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"office","api_keys":["key-1"],"priority":1}}]}}"#
    )
}

/// The item of the other writer: a key that a query has to encode, and bytes that cannot be read.
const FOREIGN_KEY: &str = "servers/#tmp";
const FOREIGN_BYTES: usize = 1_048_500;

/// How many requests are sent after the system has had the time to recover.
const CALLS: usize = 40;

/// How long the process is down.
const DOWN: Duration = Duration::from_millis(900);

/// `recovery_s` of the settings, and a second more.
const RECOVERY: Duration = Duration::from_secs(13);

fn serve(front: std::net::SocketAddr, first: usize, count: usize) -> usize {
    let mut served = 0;
    for number in first..first + count {
        let call = Call {
            method: "GET".to_owned(),
            path: "/safe/2f".to_owned(),
            id: format!("c{number:015x}"),
            key: "key-1".to_owned(),
            deadline_ms: 1_000,
            ..Call::default()
        };
        let reply = caller::send(front, &call);
        record::line(&format!("caller {}: status {}", call.id, reply.status()));
        served += usize::from(reply.status() == 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    served
}

/// Plays the case.
pub fn play(trouble: bool) -> Outcome {
    let store = Store::start()?;
    store.put("op/config", config(7).as_bytes());
    let answer = |server: &Server, request: &Message, channel: &mut Channel| {
        record::line(&format!("{} runs {}", server.id(), server::id_of(request)));
        std::thread::sleep(Duration::from_millis(15));
        channel.send(&server::success(server, request, &[b'x'; 800]))
    };
    let answer = Arc::new(answer);
    for name in ["i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"] {
        Server::start(&store, name, "app", 6, answer.clone())?;
    }
    let mut entry = Entry::new(1, store.addr)?;
    entry.start()?;
    entry.wait_until_ready()?;
    let is_foreign = trouble && std::env::var("TROUBLE").as_deref() != Ok("kill");
    if is_foreign {
        record::line(&format!(
            "another writer puts {FOREIGN_BYTES} bytes under {FOREIGN_KEY}"
        ));
        store.put(FOREIGN_KEY, &vec![0xff; FOREIGN_BYTES]);
    }
    let before = serve(entry.front, 0, CALLS);
    record::line(&format!("before: {before} of {CALLS} served"));
    store.put("op/config", config(8).as_bytes());
    record::line("the store acknowledges version 8");
    let calls = store.calls();
    if trouble {
        entry.kill();
        record::line("the process is killed");
        std::thread::sleep(DOWN);
        entry.start()?;
        record::line("the process is started again");
    }
    std::thread::sleep(RECOVERY);
    let calls = store.calls() - calls;
    record::line(&format!("calls to the store in {RECOVERY:?}: {calls}"));
    let after = serve(entry.front, CALLS, CALLS);
    let is_ready = entry.is_ready();
    record::line(&format!(
        "after: {after} of {CALLS} served, ready: {is_ready}"
    ));
    if before < CALLS / 4 {
        return Err("too little was served before".to_owned());
    }
    Ok(after >= CALLS / 4)
}
