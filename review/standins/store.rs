//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http;
use crate::http::Message;

/// The most items in a page of a range, and the most bytes of keys and values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_048_576;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// The contents, which a copy restores.
#[derive(Clone, Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Writes and removals by revision.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, u64)>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    era: u64,
    last_lease: u64,
    down: bool,
    connections: Vec<TcpStream>,
    calls: u64,
}

/// A copy of the contents.
#[derive(Clone)]
pub struct Copy(Contents);

/// A running store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let store = Self {
            addr: listener.local_addr().map_err(|error| error.to_string())?,
            state: Arc::default(),
        };
        {
            let mut state = store.lock();
            state.era = 1;
            state.contents.revision = 100;
        }
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(&stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator or a backend server does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.contents.write(key, base64::encode(value), 0);
        self.state.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.contents.remove(key);
        self.state.1.notify_all();
    }

    /// Copies the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().contents.clone())
    }

    /// Goes away: closes all connections and answers nobody.
    pub fn go_down(&self) {
        let mut state = self.lock();
        state.down = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.state.1.notify_all();
    }

    /// Comes back with the contents of a copy; leases that were granted since are gone.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.lock();
        state.contents = copy.0.clone();
        state.era += 1;
        state.down = false;
        self.state.1.notify_all();
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics")
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .contents
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.contents.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: &TcpStream) {
        {
            let mut state = self.lock();
            if state.down {
                return;
            }
            if let Ok(stream) = stream.try_clone() {
                state.connections.push(stream);
            }
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_request_body(&mut reader, &mut request).is_err() {
                return;
            }
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let era = self.lock().era;
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if (&*stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The status and body of an answer; `None` if the store is down.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let mut state = self.lock();
        state.calls += 1;
        if state.down {
            return None;
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let parameter = |name| request.parameter(name).unwrap_or_default();
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = parameter("key");
                let contents = &state.contents;
                let found = contents.items.get(&key);
                Some(found.map_or((404, "{}".to_owned()), |item| {
                    (200, item_json(&key, item, Some(contents.revision)))
                }))
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                Some((200, state.contents.page(&prefix, &after)))
            }
            ("GET", "/kv-watch") => {
                let wait = parameter("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let prefix = parameter("prefix");
                loop {
                    if state.down {
                        return None;
                    }
                    if let Some(answer) = state.contents.watch(&prefix, after) {
                        return Some(answer);
                    }
                    let now = Instant::now();
                    if now >= until {
                        let revision = state.contents.revision;
                        let body = format!(r#"{{"events":[],"current_rev":{revision}}}"#);
                        return Some((200, body));
                    }
                    let waited = self.state.1.wait_timeout(state, until - now);
                    state = waited.expect("no thread panics").0;
                }
            }
            ("POST", "/kv-lease") => {
                let ttl = number(&body, "ttl_ms").unwrap_or(1_000).max(1_000);
                state.last_lease += 1;
                let lease = state.last_lease;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.contents.leases.insert(lease, (end, ttl));
                Some((200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#)))
            }
            ("POST", "/kv-txn") => {
                let key = text(&body, "key")?;
                let value = text(&body, "value")?;
                let lease = number(&body, "lease").unwrap_or(0);
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return Some((403, "{}".to_owned()));
                }
                if lease != 0 && !state.contents.leases.contains_key(&lease) {
                    return Some((404, "{}".to_owned()));
                }
                state.contents.write(&key, value, lease);
                self.state.1.notify_all();
                let revision = state.contents.revision;
                Some((200, format!(r#"{{"revision":{revision}}}"#)))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let known = state.contents.leases.get_mut(&lease);
                Some(known.map_or((404, "{}".to_owned()), |(end, ttl)| {
                    *end = Instant::now() + Duration::from_millis(*ttl);
                    (200, format!(r#"{{"ttl_ms":{ttl}}}"#))
                }))
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.contents.end_lease(lease);
                Some((200, "{}".to_owned()))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }
}

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter();
        let gone: Vec<String> = items
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }

    /// The page of the items with `prefix` that begins after the key `after`.
    fn page(&self, prefix: &str, after: &str) -> String {
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            let row = item_json(key, item, None);
            let size = key.len() + item.value.len() / 4 * 3;
            let is_full = rows.len() >= PAGE_ITEMS || bytes + size > PAGE_BYTES;
            if is_full && !rows.is_empty() {
                more = true;
                break;
            }
            bytes += size;
            rows.push(row);
        }
        let (rows, revision) = (rows.join(","), self.revision);
        format!(r#"{{"items":[{rows}],"more_pages":{more},"current_rev":{revision}}}"#)
    }

    /// The answer to a watch; `None` if there is no event yet.
    fn watch(&self, prefix: &str, after: u64) -> Option<(u16, String)> {
        if after > self.revision {
            return Some((410, "{}".to_owned()));
        }
        let events = self.history.iter();
        let events: Vec<String> = events
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item, None),
                None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
            })
            .collect();
        if events.is_empty() {
            return None;
        }
        let (events, revision) = (events.join(","), self.revision);
        let body = format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#);
        Some((200, body))
    }
}

fn item_json(key: &str, item: &Item, current: Option<u64>) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    let current = current.map_or(String::new(), |at| format!(r#","current_rev":{at}"#));
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created_rev":{created},"lease":{lease}{current}}}"#
    )
}

/// The first number of a field in a body.
pub fn number(body: &str, field: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{field}\":"))?.1.trim_start();
    let digits = rest.split(|byte: char| !byte.is_ascii_digit()).next()?;
    digits.parse().ok()
}

/// The first text of a field in a body.
pub fn text(body: &str, field: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{field}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}
