//! The HTTP server: accepts connections and passes their requests to a handler.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use flume::Receiver;
use flume::Sender;
use futures::future::Either;
use futures::future::select;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use socket2::SockRef;

use super::FairStream;
use super::Phase;
use super::ReadLimit;
use super::Reply;
use super::ReplyBody;
use super::ServerHandle;
use super::connections::Counted;
use super::guarded_body::GuardedBody;
use super::handshake_filter;
use crate::types::Millis;

/// How long a connection without a request stays open after the close of its server, so that a
/// first request that is already on its way, or sent once more after a loss, is answered; the same
/// for a later request that has arrived.
const FIRST_REQUEST_LIMIT: Millis = Millis(1_000);

/// How long handshakes that are under way may take to complete before a listener closes: a round trip,
/// without the retransmission of a lost packet.
const HANDSHAKE_LIMIT: Millis = Millis(200);

/// How long a server may take to end once it accepts no more, if its callers send what they have begun:
/// the handshakes under way and the first requests on their connections.
pub const END_LIMIT: Millis = Millis(HANDSHAKE_LIMIT.0 + FIRST_REQUEST_LIMIT.0);

/// The pause after a connection that could not be accepted, as when no descriptor is left.
const ACCEPT_PAUSE: Millis = Millis(10);

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Returns the response to one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply>;
}

/// Serves all connections that `listener` accepts, until `handle` ends that.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, handle: ServerHandle) {
    let _counted = handle.count_listener();
    let start = |stream: TcpStream, caller| {
        let _ = stream.set_nodelay(true);
        // Counted before its task runs: a stop that looks in between would end the process.
        let Some((counted, phase, ended)) = handle.add_connection() else {
            return;
        };
        let state = (phase, ended);
        let connection = serve_connection(stream, caller, handler.clone(), handle.clone(), state);
        compio::runtime::spawn(count(connection, counted)).detach();
    };
    let mut ended = std::pin::pin!(async {
        handle.accepting_ended().await;
        complete_handshakes(&listener).await;
    });
    let mut is_failing = false;
    loop {
        let accepting = std::pin::pin!(listener.accept());
        match select(accepting, ended.as_mut()).await {
            Either::Left((Ok((stream, caller)), _)) => {
                is_failing = false;
                start(stream, caller);
            }
            Either::Left((Err(error), _)) => {
                if !std::mem::replace(&mut is_failing, true) {
                    crate::event!(warn, "accept_failed", error = error);
                }
                let pause = std::pin::pin!(compio::time::sleep(ACCEPT_PAUSE.duration()));
                if let Either::Right(_) = select(pause, ended.as_mut()).await {
                    break;
                }
            }
            Either::Right(_) => break,
        }
    }
    for (stream, caller) in close_listener(&listener) {
        start(stream, caller);
    }
}

/// Keeps a connection in the count until it has ended.
async fn count(connection: impl Future<Output = ()>, counted: Counted) {
    connection.await;
    drop(counted);
}

/// Ignores new connections, whose callers try again and find the listener closed, and waits until the
/// handshakes under way have completed: the close of a listener resets them.
async fn complete_handshakes(listener: &TcpListener) {
    match handshake_filter::attach(&SockRef::from(listener)) {
        Ok(()) => compio::time::sleep(HANDSHAKE_LIMIT.duration()).await,
        Err(error) => crate::event!(info, "handshake_filter_refused", error = error),
    }
}

/// Closes a listener and returns the connections that had reached it.
fn close_listener(listener: &TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let socket = SockRef::from(listener);
    let _ = socket.set_nonblocking(true);
    let mut accepted = Vec::new();
    let failure = loop {
        match socket.accept() {
            Ok((stream, caller)) => {
                let stream = TcpStream::from_std(stream.into());
                accepted.extend(stream.ok().zip(caller.as_socket()));
            }
            Err(error) => break error,
        }
    };
    if failure.kind() != ErrorKind::WouldBlock {
        crate::event!(warn, "accept_failed", error = failure);
    }
    // The descriptor may be in use by an accept that is being cancelled.
    if let Err(error) = socket.shutdown(Shutdown::Both) {
        crate::event!(warn, "listener_not_closed", error = error);
    }
    accepted
}

/// Waits until a connection is to be ended after the request in progress.
async fn await_end(handle: &ServerHandle, has_request: &Cell<bool>, socket: &TcpStream) {
    handle.closed().await;
    if !has_request.get() || has_arrived(socket) {
        compio::time::sleep(FIRST_REQUEST_LIMIT.duration()).await;
    }
}

/// Whether bytes have arrived that the connection has not read.
fn has_arrived(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream)
        .peek(&mut byte)
        .is_ok_and(|length| length > 0)
}

/// Serves one connection; once `handle` is closed, it ends after the request in progress, or after
/// `FIRST_REQUEST_LIMIT` if there was none or another one has arrived.
async fn serve_connection<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    handler: Rc<H>,
    handle: ServerHandle,
    (phase, ended): (Phase, Receiver<()>),
) {
    let socket = stream.clone();
    let has_request = Rc::new(Cell::new(false));
    let requested = has_request.clone();
    let (expired, unread) = flume::bounded(1);
    let service = service_fn(move |mut request: Request<Incoming>| {
        requested.set(true);
        phase.serve();
        request.extensions_mut().insert(phase.clone());
        let (handler, expired, phase) = (handler.clone(), expired.clone(), phase.clone());
        async move {
            let reply = limit(handler.handle(request).await, expired);
            Ok::<_, Infallible>(track(reply, phase))
        }
    });
    let idle_timer = handle.idle_timer();
    let connection = Builder::new()
        .max_buf_size(handle.buffer_bytes())
        .header_read_timeout(idle_timer.limit().duration())
        .timer(idle_timer)
        .serve_connection(FairStream::new(HyperStream::new_plain(stream)), service);
    let mut connection = std::pin::pin!(connection);
    let closing = std::pin::pin!(await_end(&handle, &has_request, &socket));
    let serving = std::pin::pin!(async {
        match select(connection.as_mut(), closing).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(((), _)) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    });
    let broken_off = select(unread.into_recv_async(), ended.into_recv_async());
    match select(serving, broken_off).await {
        Either::Left((Err(error), _)) if error.is_timeout() => {
            crate::event!(debug, "idle_connection_closed", caller = caller);
        }
        Either::Left(_) => {}
        Either::Right((Either::Left(_), _)) => {
            crate::event!(info, "reply_not_read", caller = caller);
        }
        Either::Right((Either::Right(_), _)) => {
            crate::event!(debug, "connection_closed_for_another", caller = caller);
        }
    }
}

/// Tells a connection's phase that it waits once the response has been sent.
struct WaitGuard(Phase);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.wait();
    }
}

/// Tells `phase` when the body of `reply` has been sent.
fn track(reply: Reply, phase: Phase) -> Reply {
    let guard = WaitGuard(phase);
    reply.map(|body| -> ReplyBody { Box::pin(GuardedBody::new(body, guard)) })
}

/// Applies the read limit of `reply`, if it has one.
fn limit(reply: Reply, expired: Sender<()>) -> Reply {
    let Some(limit) = reply.extensions().get::<ReadLimit>().copied() else {
        return reply;
    };
    // A timer of its own: hyper does not poll a body while its caller reads nothing.
    let timer = compio::runtime::spawn(async move {
        compio::time::sleep(limit.0.duration()).await;
        let _ = expired.try_send(());
    });
    reply.map(|body| -> ReplyBody { Box::pin(GuardedBody::new(body, timer)) })
}
