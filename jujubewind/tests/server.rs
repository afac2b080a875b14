//! The end of a server's connections.

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
use jujubewind::http;
use jujubewind::http::Handler;
use jujubewind::http::Reply;
use jujubewind::http::ServerHandle;

/// Keeps a test from hanging; no test depends on the value.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers every request.
struct Answers;

impl Handler for Answers {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Reply {
        http::plain(StatusCode::OK, "done")
    }
}

/// Starts a server in the current runtime.
async fn start() -> (SocketAddr, ServerHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handle = ServerHandle::new();
    compio::runtime::spawn(http::serve(listener, Rc::new(Answers), handle.clone())).detach();
    (addr, handle)
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the server listens");
    let limited = stream.set_read_timeout(Some(READ_TIMEOUT));
    limited.expect("a socket");
    stream
}

fn send(mut stream: &TcpStream) {
    let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
    sent.expect("the server reads");
}

/// Reads what the server sends next, without blocking it; nothing if it closes the connection.
async fn read(stream: &TcpStream) -> String {
    let mut stream = stream.try_clone().expect("a socket");
    let reading = compio::runtime::spawn_blocking(move || {
        let mut bytes = [0; 1_024];
        let length = stream.read(&mut bytes).unwrap_or(0);
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    });
    reading.await.expect("no panic")
}

#[test]
fn a_request_that_has_arrived_on_an_idle_connection_is_answered_when_the_server_closes() {
    let runtime = Runtime::new().expect("a runtime");
    let (first, second) = runtime.block_on(async {
        let (addr, handle) = start().await;
        let stream = connect(addr);
        send(&stream);
        let first = read(&stream).await;

        // The server does not run between these two.
        send(&stream);
        handle.close();
        (first, read(&stream).await)
    });

    assert!(first.starts_with("HTTP/1.1 200"), "{first:?}");
    assert!(second.starts_with("HTTP/1.1 200"), "{second:?}");
}

#[test]
fn an_idle_connection_ends_when_the_server_closes() {
    let runtime = Runtime::new().expect("a runtime");
    let rest = runtime.block_on(async {
        let (addr, handle) = start().await;
        let stream = connect(addr);
        send(&stream);
        read(&stream).await;

        handle.close();
        read(&stream).await
    });

    assert_eq!(rest, "");
}
