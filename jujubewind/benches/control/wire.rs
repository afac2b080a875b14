//! The size of a message on the wire.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use jujubewind::rpc::PeerRequest;
use jujubewind::rpc::PeerResponse;
use jujubewind::rpc::message::Gossip;
use jujubewind::rpc::message::GossipBody;
use tarpc::ClientMessage;
use tarpc::Request;
use tarpc::Response;
use tokio_serde::Serializer;
use tokio_serde::formats::Bincode;

/// The length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// The IP and TCP headers per message: three packets with TCP timestamps for a call and its reply.
const HEADER_BYTES: usize = 52 * 3 / 2;
/// The timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the bytes of a call or reply: encoded as by the daemons, framed, with headers.
pub fn length(gossip: &Gossip) -> usize {
    let body = match gossip.news {
        GossipBody::Answer { .. } => encoded_length(&Response {
            request_id: 1_000,
            message: Ok(PeerResponse::Gossip(Some(gossip.clone()))),
        }),
        _ => encoded_length(&ClientMessage::Request(request(gossip))),
    };
    body + LENGTH_PREFIX_BYTES + HEADER_BYTES
}

fn request(gossip: &Gossip) -> Request<PeerRequest> {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + TIMEOUT;
    let gossip = gossip.clone();
    Request {
        context,
        id: 1_000,
        message: PeerRequest::Gossip { gossip },
    }
}

fn encoded_length<T: serde::Serialize>(message: &T) -> usize {
    let codec = pin!(Bincode::<T, T>::default());
    let bytes = codec.serialize(message);
    bytes.expect("messages can be encoded").len()
}
