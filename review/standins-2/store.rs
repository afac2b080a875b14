//! A stand-in for the platform's store: items, revisions, leases and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http;
use crate::http::Message;
use crate::record::Record;

/// How often leases are checked.
const LEASE_CHECK: Duration = Duration::from_millis(20);
const JSON: (&str, &str) = ("Content-Type", "application/json");

#[derive(Clone, Debug)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    end: Instant,
    span: Duration,
}

/// A write whose answer is lost and that is carried out late.
#[derive(Clone, Debug)]
struct Loss {
    key: String,
    delay: Duration,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// Each change; `None` for a removal.
    changes: Vec<(u64, String, Option<Item>)>,
    losses: Vec<Loss>,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts a store on a free port of `ip`.
    pub fn start(ip: &str, record: Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Self {
            addr,
            state: Arc::default(),
            record,
        };
        let (serving, sweeping) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                sweeping.expire();
            }
        });
        store
    }

    /// Writes an item without a lease, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, base64::encode(value.as_bytes()), 0);
    }

    /// Whether there is an item.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    /// Loses the answer to the next write of `key` and carries that write out `delay` later.
    pub fn lose_answer(&self, key: &str, delay: Duration) {
        let key = key.to_owned();
        self.lock().losses.push(Loss { key, delay });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, key: &str, value: String, lease: u64) -> u64 {
        let mut state = self.lock();
        state.put(key, value, lease);
        self.state.1.notify_all();
        state.revision
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = state.leases.iter().filter(|(_, lease)| lease.end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.leases.remove(&id);
            let keys = state.items.iter().filter(|(_, item)| item.lease == id);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.record
                    .write(&format!("store: lease {id} has ended, {key} is removed"));
                state.remove(&key);
            }
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let Some((status, body)) = self.answer(&request) else {
                // A channel on which an answer is lost returns nothing further.
                thread::park();
                continue;
            };
            let headers = [JSON, ("Store-Era", "0")];
            if http::write(
                &mut writer,
                &format!("HTTP/1.1 {status} -"),
                &headers,
                body.as_bytes(),
            )
            .is_err()
            {
                return;
            }
        }
    }

    /// The answer to a call; `None` if it is lost.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let target = request.second();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let answer = match path {
            "/kv-key" => self.get(&parameter(query, "key")),
            "/kv-range" => self.range(&parameter(query, "prefix")),
            "/kv-watch" => self.watch(query),
            "/kv-txn" => return self.transact(&body),
            "/kv-lease" => self.grant(number(&body, "ttl_ms")),
            _ => match path.strip_prefix("/kv-keep/") {
                Some(id) => self.keep(id.parse().unwrap_or(0)),
                None => (400, "{}".to_owned()),
            },
        };
        Some(answer)
    }

    fn get(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item.json(key, state.revision)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str) -> (u16, String) {
        let state = self.lock();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items
            .map(|(key, item)| item.json(key, state.revision))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        (
            200,
            format!(r#"{{"items":[{items}],"more_pages":false,"current_rev":{revision}}}"#),
        )
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let changes = state.changes.iter();
            let changes =
                changes.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key, *revision),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#),
                );
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &str) -> Option<(u16, String)> {
        let (key, value, lease) = (
            text(body, "key"),
            text(body, "value"),
            number(body, "lease"),
        );
        let lost = {
            let mut state = self.lock();
            let index = state.losses.iter().position(|loss| loss.key == key);
            index.map(|index| state.losses.remove(index))
        };
        if let Some(loss) = lost {
            self.record.write(&format!(
                "store: the answer to a write of {key} is lost, lease {lease}"
            ));
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(loss.delay);
                if store.lock().leases.contains_key(&lease) {
                    store.write(&key, value, lease);
                    store.record.write(&format!(
                        "store: the write of {key} is carried out late, lease {lease}"
                    ));
                }
            });
            return None;
        }
        if lease > 0 && !self.lock().leases.contains_key(&lease) {
            return Some((404, "{}".to_owned()));
        }
        let revision = self.write(&key, value, lease);
        self.record
            .write(&format!("store: {key} is written, lease {lease}"));
        Some((200, format!(r#"{{"revision":{revision}}}"#)))
    }

    fn grant(&self, millis: u64) -> (u16, String) {
        let mut state = self.lock();
        state.last_lease += 1;
        let (id, span) = (state.last_lease, Duration::from_millis(millis));
        let end = Instant::now() + span;
        state.leases.insert(id, Lease { end, span });
        (200, format!(r#"{{"lease":{id},"ttl_ms":{millis}}}"#))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        match self.lock().leases.get_mut(&id) {
            Some(lease) => {
                lease.end = Instant::now() + lease.span;
                (200, format!(r#"{{"ttl_ms":{}}}"#, lease.span.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }
}

impl Item {
    fn json(&self, key: &str, current: u64) -> String {
        let Self {
            value,
            revision,
            created,
            lease,
        } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created_rev":{created},"lease":{lease},"current_rev":{current}}}"#
        )
    }
}

/// A parameter of a query, decoded.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value);
    let mut decoded = String::new();
    let mut rest = value;
    while let Some((before, after)) = rest.split_once('%') {
        decoded.push_str(before);
        let code = after
            .get(..2)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        decoded.push(code.map_or('?', char::from));
        rest = after.get(2..).unwrap_or_default();
    }
    decoded + rest
}

/// A text field of a flat JSON body whose texts hold no quotes.
fn text(body: &str, name: &str) -> String {
    let start = body
        .find(&format!("\"{name}\":\""))
        .map(|at| at + name.len() + 4);
    let rest = start.map_or("", |at| &body[at..]);
    rest.split('"').next().unwrap_or_default().to_owned()
}

/// A number field of a flat JSON body.
fn number(body: &str, name: &str) -> u64 {
    let start = body
        .find(&format!("\"{name}\":"))
        .map(|at| at + name.len() + 3);
    let rest = start.map_or("", |at| &body[at..]);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
