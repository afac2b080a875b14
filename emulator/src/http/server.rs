//! Accept loop with one task per connection.

use std::io;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::Call;
use super::Handler;
use super::Reply;

/// Serves requests on `listener` until the task is dropped.
///
/// # Errors
/// The listener cannot be used.
pub async fn serve<H: Handler>(listener: std::net::TcpListener, handler: Rc<H>) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        // A connection that fails before it is accepted must not stop the server.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        compio::runtime::spawn(serve_connection(stream, handler.clone())).detach();
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(request, handler.clone()));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}

async fn respond<H: Handler>(
    request: Request<Incoming>,
    handler: Rc<H>,
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let call = Call::read(request).await?;
    Ok(handler.handle(call).await?)
}
