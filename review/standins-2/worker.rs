//! Stand-ins for backend servers, each a process of its own.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::entry;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// How long a server that has crashed stays away.
const DOWNTIME: Duration = Duration::from_secs(2);
/// A request with this body crashes the server that runs it.
pub const FATAL: &str = "fatal";

/// How long a server works on a large body.
const LARGE_WORK: Duration = Duration::from_millis(300);
/// How much of a body is recorded.
const MAX_SHOWN: usize = 64;
/// What a sound server sends of a stream.
const EVENTS: usize = 19;
const EVENT_GAP: Duration = Duration::from_millis(40);

/// A request that a server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    pub is_fatal: bool,
}

#[derive(Default)]
struct Shared {
    children: Mutex<Vec<Child>>,
    runs: Mutex<Vec<Run>>,
    is_over: AtomicBool,
}

/// The servers of a case; dropping them ends their processes.
pub struct Fleet {
    shared: Arc<Shared>,
    store: Store,
    record: Record,
}

impl Fleet {
    /// Creates a fleet without servers that registers them in `store`.
    pub fn new(store: Store, record: Record) -> Self {
        Self {
            shared: Arc::default(),
            store,
            record,
        }
    }

    /// Starts a server, which comes back after each crash.
    pub fn add(&self, id: &str, service: &str, ip: &str, zone: &str) -> Result<(), String> {
        let addr = entry::free_addr(ip)?;
        let (shared, store, record) =
            (self.shared.clone(), self.store.clone(), self.record.clone());
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            while !shared.is_over.load(Ordering::Relaxed) {
                let Some(output) = shared.spawn(addr, &id) else {
                    return;
                };
                let mut lines = BufReader::new(output).lines();
                if lines.next().is_none() {
                    record.write(&format!("server {id} did not start"));
                    return;
                }
                store.put(
                    &format!("servers/{id}"),
                    &registration(addr, &service, &zone),
                );
                record.write(&format!("server {id} is listed"));
                for line in lines.map_while(Result::ok) {
                    record.write(&format!("server {id} runs {line}"));
                    let (attempt, body) = line.split_once(' ').unwrap_or((&line, ""));
                    let run = Run {
                        at: Instant::now(),
                        attempt: attempt.to_owned(),
                        is_fatal: body.contains(FATAL),
                    };
                    lock(&shared.runs).push(run);
                }
                if !shared.is_over.load(Ordering::Relaxed) {
                    record.write(&format!("server {id} has crashed"));
                    thread::sleep(DOWNTIME);
                }
            }
        });
        Ok(())
    }

    /// What the servers have begun to run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        for child in lock(&self.shared.children).iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Shared {
    fn spawn(&self, addr: SocketAddr, id: &str) -> Option<std::process::ChildStdout> {
        let mut children = lock(&self.children);
        if self.is_over.load(Ordering::Relaxed) {
            return None;
        }
        let program = std::env::current_exe().ok()?;
        let mut command = Command::new(program);
        command
            .args(["server", &addr.to_string(), id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn().ok()?;
        let output = child.stdout.take();
        children.push(child);
        output
    }
}

/// Serves as one server until the process is ended; prints a line for each request that it runs.
pub fn serve(addr: SocketAddr, id: &str) {
    let Ok(listener) = TcpListener::bind(addr) else {
        return;
    };
    println!("listening");
    // The pipe closes when the case ends, however it ends.
    thread::spawn(|| {
        let _ = std::io::stdin().lines().count();
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || answer_all(stream, &id));
    }
}

fn answer_all(stream: TcpStream, id: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        if answer(&mut writer, &request, id).is_err() {
            return;
        }
    }
}

fn answer(writer: &mut TcpStream, request: &Message, id: &str) -> std::io::Result<()> {
    let attempt = request.header("x-jujubewind-attempt-id").unwrap_or("-");
    let mut headers = vec![("X-Jujubewind-Attempt-Id", attempt)];
    if request
        .header("x-jujubewind-expect-instance")
        .is_some_and(|other| other != id)
    {
        headers.push(("X-Jujubewind-Instance-Id", id));
        return http::write(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
    }
    let body = String::from_utf8_lossy(&request.body[..request.body.len().min(MAX_SHOWN)]);
    println!("{attempt} {body}");
    let is_prompt = request.header("x-jujubewind-token-counts").is_some();
    if body.contains(FATAL) && !is_prompt {
        std::process::abort();
    }
    if let Some(millis) = body
        .strip_prefix("hold ")
        .and_then(|text| text.parse().ok())
    {
        thread::sleep(Duration::from_millis(millis));
    }
    if request.body.len() > MAX_SHOWN {
        thread::sleep(LARGE_WORK);
    }
    let seal = format!("seal.{id}.{attempt}");
    if is_prompt {
        return answer_prompt(writer, attempt, &seal, body.contains(FATAL));
    }
    headers.push(("X-Jujubewind-Server-Seal", &seal));
    http::write(
        writer,
        "HTTP/1.1 200 OK",
        &headers,
        format!("{id} {attempt}").as_bytes(),
    )
}

/// Sends a stream of events; a fatal prompt crashes the server after the first one.
fn answer_prompt(
    writer: &mut TcpStream,
    attempt: &str,
    seal: &str,
    is_fatal: bool,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Jujubewind-Attempt-Id: {attempt}\r\nX-Jujubewind-Server-Seal: {seal}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        thread::sleep(EVENT_GAP);
        if is_fatal && number > 1 {
            std::process::abort();
        }
        write_chunk(
            writer,
            format!("id: {number}\ndata: {attempt}\n\n").as_bytes(),
        )?;
    }
    writer.write_all(b"0\r\n\r\n")
}

fn write_chunk(writer: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let head = format!("{:x}\r\n", bytes.len());
    writer.write_all(&[head.as_bytes(), bytes, b"\r\n"].concat())
}

fn registration(addr: SocketAddr, service: &str, zone: &str) -> String {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.unwrap_or_default().as_millis();
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":{born}}}"#
    )
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
