//! Accepting connections and handing their requests to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures::future::Either;
use futures::future::select;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;

use super::Reply;
use super::ServerHandle;

/// What answers the requests of a listener.
pub trait Handler: 'static {
    /// Answers one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply>;
}

/// Serves every connection that `listener` accepts, until the future is dropped.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, handle: ServerHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = serve_connection(stream, handler.clone(), handle.clone());
        compio::runtime::spawn(connection).detach();
    }
}

/// Serves one connection; once `handle` closes, it ends after the request in hand.
async fn serve_connection<H: Handler>(stream: TcpStream, handler: Rc<H>, handle: ServerHandle) {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(handle.header_timeout().duration())
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = std::pin::pin!(handle.closed());
    if let Either::Right(((), _)) = select(connection.as_mut(), closing).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
