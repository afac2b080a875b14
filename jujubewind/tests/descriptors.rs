//! A server whose process has no descriptors left.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
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
use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use nix::sys::resource::setrlimit;

const MAX_DESCRIPTORS: u64 = 200;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
/// Keeps the test from hanging.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers each request at once.
struct Answering;

impl Handler for Answering {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Reply {
        plain(StatusCode::OK, "done")
    }
}

/// Starts a server in a thread of its own, which ends with the test's process.
fn start_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a listener");
            serve(listener, Rc::new(Answering), ServerHandle::new()).await;
        });
    });
    addr
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the server listens");
    let limited = stream.set_read_timeout(Some(READ_TIMEOUT));
    limited.expect("a socket");
    stream
}

/// Waits until the server has taken the connection, by the first part of a request.
fn begin(stream: &mut TcpStream) {
    stream.write_all(&REQUEST[..10]).expect("the server reads");
    std::thread::sleep(Duration::from_millis(100));
}

fn response(mut stream: TcpStream) -> String {
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response
}

/// Uses up the descriptors that are left.
fn exhaust_descriptors() -> Vec<File> {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard).expect("a lower limit");
    let files = std::iter::from_fn(|| File::open("/dev/null").ok());
    files.collect()
}

#[test]
fn a_request_is_answered_while_a_connection_cannot_be_accepted() {
    let addr = start_server();
    let mut accepted = connect(addr);
    begin(&mut accepted);
    let mut files = exhaust_descriptors();
    files.pop();
    let mut waiting = connect(addr);
    waiting.write_all(REQUEST).expect("a connection");

    std::thread::sleep(Duration::from_millis(100));
    accepted.write_all(&REQUEST[10..]).expect("a connection");
    let answered = response(accepted);
    drop(files);
    let accepted_later = response(waiting);

    assert!(answered.starts_with("HTTP/1.1 200"), "{answered}");
    assert!(
        accepted_later.starts_with("HTTP/1.1 200"),
        "{accepted_later}"
    );
}
