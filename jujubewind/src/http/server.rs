//! The HTTP server: accepts connections and passes their requests to a handler.

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

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Returns the response to one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply>;
}

/// Serves all connections that `listener` accepts, until the future is dropped.
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

/// Serves one connection; once `handle` is closed, it ends after the request in progress.
async fn serve_connection<H: Handler>(stream: TcpStream, handler: Rc<H>, handle: ServerHandle) {
    let _counted = handle.count_connection();
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
