//! Callers that connect while a server ends.

use std::future::poll_fn;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::Poll;

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

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

/// Answers each request at once.
struct Answering;

impl Handler for Answering {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Reply {
        plain(StatusCode::OK, "done")
    }
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
        let serving = serve(listener, Rc::new(Answering), handle.clone());
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
