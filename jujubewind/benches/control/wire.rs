//! The length of a message on the wire.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use jujubewind::rpc::PeerRequest;
use jujubewind::rpc::PeerResponse;
use jujubewind::rpc::message::Gossip;
use jujubewind::rpc::message::News;
use tarpc::ClientMessage;
use tarpc::Request;
use tarpc::Response;
use tokio_serde::Serializer;
use tokio_serde::formats::Bincode;

/// The prefix with the frame's length.
const LENGTH: usize = 4;
/// Headers of IP and TCP with timestamps, three packets for a call and its answer.
const HEADERS: usize = 52 * 3 / 2;
/// What a call waits for its answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a call or answer: encoded as the daemons do, framed, with headers.
pub fn length(news: &Gossip) -> usize {
    let body = match news.news {
        News::Answer { .. } => encoded(&Response {
            request_id: 1_000,
            message: Ok(PeerResponse::Gossip(Some(news.clone()))),
        }),
        _ => encoded(&ClientMessage::Request(request(news))),
    };
    body + LENGTH + HEADERS
}

fn request(news: &Gossip) -> Request<PeerRequest> {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + TIMEOUT;
    let news = news.clone();
    Request {
        context,
        id: 1_000,
        message: PeerRequest::Gossip { news },
    }
}

fn encoded<T: serde::Serialize>(message: &T) -> usize {
    let codec = pin!(Bincode::<T, T>::default());
    let bytes = codec.serialize(message);
    bytes.expect("messages can be encoded").len()
}
