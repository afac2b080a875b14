//! A stand-in for a backend server.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record;
use crate::store::Store;

/// How often a backend server writes to the store, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// After this silence the platform removes a registration: three heartbeats.
const SILENCE: Duration = Duration::from_millis(3_600);
/// How often the tasks of a server look for changes.
const POLL: Duration = Duration::from_millis(2);
/// The start of the first lifetime, in Unix milliseconds.
const BORN: u64 = 1_790_000_000_000;

/// One connection to a backend server.
pub struct Channel {
    stream: TcpStream,
    /// Bytes that are sent in front of the answer to the next request that is no order.
    pub late: Vec<u8>,
}

impl Channel {
    /// Sends bytes; `false` if the connection has ended.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Answers one request; `false` closes the connection.
pub type Answer = dyn Fn(&Server, &Message, &mut Channel) -> bool + Send + Sync;

/// One lifetime of a server.
#[derive(Default)]
struct Life {
    /// The number of starts so far.
    number: u64,
    /// When it comes back, while it is down.
    down_until: Option<Instant>,
    streams: Vec<TcpStream>,
}

/// A running backend server; clones share it.
#[derive(Clone)]
pub struct Server {
    name: String,
    service: String,
    pub addr: SocketAddr,
    slots: u32,
    life: Arc<Mutex<Life>>,
}

impl Server {
    /// Starts a server on a free port and lists it in the store.
    pub fn start(
        store: &Store,
        name: &str,
        service: &str,
        slots: u32,
        answer: Arc<Answer>,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let server = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().map_err(|error| error.to_string())?,
            slots,
            life: Arc::default(),
        };
        let serving = server.clone();
        std::thread::spawn(move || serving.listen(listener, &answer));
        let (listing, store) = (server.clone(), store.clone());
        std::thread::spawn(move || listing.keep_listed(&store));
        Ok(server)
    }

    /// The identifier of the present lifetime, or of the last one.
    pub fn id(&self) -> String {
        let number = self.lock().number;
        format!("{}n{number}", self.name)
    }

    /// Ends as a process does that crashes; a new lifetime begins after `span`.
    pub fn crash(&self, span: Duration) {
        record::line(&format!("{} crashes", self.id()));
        let mut life = self.lock();
        life.down_until = Some(Instant::now() + span);
        for stream in life.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no thread panics")
    }

    fn is_down(&self) -> bool {
        self.lock().down_until.is_some()
    }

    /// Accepts connections; the port is closed while the server is down.
    fn listen(&self, listener: TcpListener, answer: &Arc<Answer>) {
        let mut listener = Some(listener);
        loop {
            let ends = self.lock().down_until;
            if let Some(until) = ends {
                listener = None;
                if Instant::now() < until {
                    std::thread::sleep(POLL);
                    continue;
                }
            }
            let Some(listening) = &listener else {
                listener = TcpListener::bind(self.addr).ok();
                if listener.is_some() {
                    let mut life = self.lock();
                    life.number += 1;
                    life.down_until = None;
                }
                continue;
            };
            let _ = listening.set_nonblocking(true);
            let Ok((stream, _)) = listening.accept() else {
                std::thread::sleep(POLL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let mut life = self.lock();
            if life.down_until.is_none()
                && let Ok(kept) = stream.try_clone()
            {
                life.streams.push(kept);
            }
            let (server, answer) = (self.clone(), answer.clone());
            std::thread::spawn(move || serve(&server, stream, &*answer));
        }
    }

    /// Writes the registration as long as the server is up, and removes those of earlier lifetimes as
    /// the platform does.
    fn keep_listed(&self, store: &Store) {
        let mut sequence = 0;
        let mut listed = String::new();
        let mut due = Instant::now();
        let mut gone: Vec<(Instant, String)> = Vec::new();
        loop {
            let id = self.id();
            if !listed.is_empty() && id != listed {
                due = Instant::now();
                gone.push((Instant::now() + SILENCE, listed.clone()));
            }
            if !self.is_down() && Instant::now() >= due {
                sequence += 1;
                let born = BORN + self.lock().number * 1_000;
                let value = format!(
                    r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":{},"state":"ready","cold_left_ms":0,"sequence":{sequence},"born":{born}}}"#,
                    self.service, self.addr, self.slots
                );
                store.put(&format!("servers/{id}"), value.as_bytes());
                listed = id;
                due = Instant::now() + HEARTBEAT;
            }
            gone.retain(|(at, id)| {
                let is_due = Instant::now() >= *at;
                if is_due {
                    store.remove(&format!("servers/{id}"));
                }
                !is_due
            });
            std::thread::sleep(POLL);
        }
    }
}

fn serve(server: &Server, stream: TcpStream, answer: &Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    let mut channel = Channel {
        stream,
        late: Vec::new(),
    };
    while let Ok(Some(mut request)) = http::read_head(&mut reader) {
        if http::read_request_body(&mut reader, &mut request).is_err() || server.is_down() {
            break;
        }
        let expected = request.header("x-jujubewind-expect-instance");
        if expected.is_some_and(|expected| expected != server.id()) {
            if !channel.send(&misdirected(server, &request)) {
                break;
            }
            continue;
        }
        if !answer(server, &request, &mut channel) {
            break;
        }
    }
    let _ = channel.stream.shutdown(Shutdown::Both);
}

fn misdirected(server: &Server, request: &Message) -> Vec<u8> {
    format!(
        "HTTP/1.1 421 Misdirected Request\r\nX-Jujubewind-Attempt-Id: {}\r\nX-Jujubewind-Not-Executed: 1\r\nX-Jujubewind-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
        id_of(request),
        server.id()
    )
    .into_bytes()
}

/// The caller's id of a request.
pub fn id_of(request: &Message) -> &str {
    let id = request.header("x-jujubewind-attempt-id");
    id.unwrap_or_default()
}

/// The answer to a request that has run.
pub fn success(server: &Server, request: &Message, body: &[u8]) -> Vec<u8> {
    let id = id_of(request);
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nX-Jujubewind-Attempt-Id: {id}\r\nX-Jujubewind-Server-Seal: seal.{}.{id}\r\nContent-Length: {}\r\n\r\n",
        server.id(),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The head of a stream that has begun to run.
pub fn stream_head(server: &Server, request: &Message) -> Vec<u8> {
    let id = id_of(request);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Jujubewind-Attempt-Id: {id}\r\nX-Jujubewind-Server-Seal: seal.{}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
        server.id()
    )
    .into_bytes()
}

/// A chunk of a body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
