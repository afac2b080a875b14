//! Accepting connections and handing their requests to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;

use super::Reply;
use crate::types::Millis;

/// The longest wait for a request's header, which ends slow-loris connections.
const HEADER_TIMEOUT: Millis = Millis(5_000);

/// What answers the requests of a listener.
pub trait Handler: 'static {
    /// Answers one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply>;
}

/// Serves every connection that `listener` accepts, until the future is dropped.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        compio::runtime::spawn(serve_connection(stream, handler.clone())).detach();
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let _ = Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT.duration())
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}
