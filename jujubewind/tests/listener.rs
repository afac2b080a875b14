//! Callers that connect while a server ends.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::Poll;
use std::thread::JoinHandle;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::Runtime;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujubewind::http::Handler;
use jujubewind::http::Reply;
use jujubewind::http::ServerHandle;
use jujubewind::http::plain;
use jujubewind::http::serve;

const SERVERS: usize = 16;
const CALLERS: usize = 8;
const ROUNDS: usize = 12;
/// After which a caller takes the server for closed.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

/// Answers each request at once, and counts them.
#[derive(Default)]
struct Answering {
    answered: Cell<usize>,
}

impl Handler for Answering {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Reply {
        self.answered.set(self.answered.get() + 1);
        plain(StatusCode::OK, "done")
    }
}

/// Serves until each caller may have had an answer, ends accepting, and returns when the connections have
/// ended.
async fn serve_briefly(listener: TcpListener) {
    let handle = ServerHandle::new();
    let handler = Rc::new(Answering::default());
    let serving = serve(listener, handler.clone(), handle.clone());
    compio::runtime::spawn(serving).detach();
    while handler.answered.get() < CALLERS {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
    handle.close();
    handle.end_accepting();
    while handle.connections() > 0 {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Starts a server in a thread of its own.
fn start_server() -> (SocketAddr, JoinHandle<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            serve_briefly(TcpListener::from_std(listener).expect("a listener")).await;
        });
    });
    (addr, server)
}

/// Sends one request and returns the bytes of its response.
fn exchange(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let mut response = Vec::new();
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(REQUEST)?;
    stream.read_to_end(&mut response)?;
    Ok(response)
}

/// Sends requests, each on a new connection, until the server accepts none; returns how those without
/// a response ended.
fn failures(addr: SocketAddr) -> Vec<String> {
    let mut failures = Vec::new();
    while let Ok(mut stream) = TcpStream::connect_timeout(&addr, CONNECT_LIMIT) {
        match exchange(&mut stream) {
            Ok(response) if response.starts_with(b"HTTP/1.1 200") => {}
            Ok(response) => failures.push(format!("{} bytes", response.len())),
            Err(error) => failures.push(error.to_string()),
        }
    }
    failures
}

/// Starts a server with callers; returns how their requests without a response ended.
fn run_server() -> Vec<String> {
    let (addr, server) = start_server();
    let callers = [(); CALLERS].map(|()| std::thread::spawn(move || failures(addr)));
    let failed = callers.map(|caller| caller.join().expect("no panic"));
    server.join().expect("no panic");
    failed.into_iter().flatten().collect()
}

/// Keeps the runtime busy with other tasks until the server has ended.
fn start_other_tasks(handle: &ServerHandle) {
    for _ in 0..500 {
        let handle = handle.clone();
        compio::runtime::spawn(async move {
            while handle.connections() > 0 {
                yield_now().await;
            }
        })
        .detach();
    }
}

/// Yields to other tasks once.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

#[test]
fn a_server_waits_for_a_connection_that_it_accepted_last() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handle = ServerHandle::new();
    let runtime = Runtime::new().expect("a runtime");

    let mut stream = runtime.block_on(async {
        let listener = TcpListener::from_std(listener).expect("a listener");
        let serving = serve(listener, Rc::new(Answering::default()), handle.clone());
        compio::runtime::spawn(serving).detach();
        yield_now().await;
        start_other_tasks(&handle);
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream.write_all(REQUEST).expect("the server listens");
        handle.close();
        handle.end_accepting();
        while handle.connections() > 0 {
            yield_now().await;
        }
        stream
    });
    drop(runtime);

    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    assert!(response.starts_with("HTTP/1.1 200"), "{read:?} {response}");
}

#[test]
fn a_request_on_a_connection_made_as_its_listener_closes_is_answered() {
    let mut unanswered = Vec::new();

    for _ in 0..ROUNDS {
        let servers = [(); SERVERS].map(|()| std::thread::spawn(run_server));
        let failed = servers.map(|server| server.join().expect("no panic"));
        unanswered.extend(failed.into_iter().flatten());
    }

    assert_eq!(unanswered, Vec::<String>::new());
}
