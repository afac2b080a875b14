//! Framing and serialization of tarpc messages.

use std::pin::Pin;

use compio::io::compat::AsyncStream;
use compio::net::TcpListener;
use compio::net::TcpStream;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Serve;
use tokio_serde::formats::Bincode;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::types::Bytes;
use crate::types::Millis;

/// The maximum frame length: fits a prompt of a million tokens and its envelope.
const MAX_FRAME: Bytes = Bytes(32 << 20);

/// The pause after a connection that could not be accepted, as when no descriptor is left.
const ACCEPT_PAUSE: Millis = Millis(10);

type Stream = Compat<Pin<Box<AsyncStream<TcpStream>>>>;

/// A connection that sends `Out` and receives `In`.
pub(super) type FramedTransport<In, Out> = Transport<Stream, In, Out, Bincode<In, Out>>;

/// Adds framing and the codec to a connected socket.
pub(super) fn framed<In, Out>(stream: TcpStream) -> FramedTransport<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(usize::try_from(MAX_FRAME.get()).unwrap_or(usize::MAX));
    let stream = Box::pin(AsyncStream::new(stream)).compat();
    tarpc::serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

/// Serves calls on each connection that `listener` accepts, until the future is dropped.
pub async fn serve<S>(listener: TcpListener, service: S)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + tarpc::RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_PAUSE.duration()).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        compio::runtime::spawn(serve_connection(stream, service.clone())).detach();
    }
}

async fn serve_connection<S>(stream: TcpStream, service: S)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + tarpc::RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    BaseChannel::with_defaults(framed(stream))
        .execute(service)
        .for_each(|call| async move {
            compio::runtime::spawn(call).detach();
        })
        .await;
}
