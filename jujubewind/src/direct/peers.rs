//! Datagrams exchanged between entries.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::BufResult;
use compio::net::UdpSocket;
use flume::Receiver;
use flume::Sender;

use super::Control;
use super::Digest;
use super::Message;

/// The largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

/// A digest with its recipients.
#[derive(Clone, Debug)]
pub struct OutboundDigest {
    /// The digest.
    pub digest: Digest,
    /// The addresses of the recipients.
    pub to: Rc<[SocketAddr]>,
}

/// The socket over which entries exchange their load digests.
#[derive(Debug)]
pub struct PeerLink {
    socket: UdpSocket,
}

impl PeerLink {
    /// Binds the socket.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(Self { socket })
    }

    /// Creates a channel for digests to send.
    #[must_use]
    pub fn channel() -> (Sender<OutboundDigest>, Receiver<OutboundDigest>) {
        flume::unbounded()
    }

    /// Sends the digests from `outbound` and passes received digests to `control`.
    pub async fn run(self, outbound: Receiver<OutboundDigest>, control: Control) {
        let sending = self.send(outbound);
        let receiving = self.receive(control);
        futures::join!(sending, receiving);
    }

    /// A datagram that cannot be sent is treated as lost; the next full digest makes up for it.
    async fn send(&self, outbound: Receiver<OutboundDigest>) {
        while let Ok(outgoing) = outbound.recv_async().await {
            let Ok(bytes) = bincode::serialize(&outgoing.digest) else {
                crate::event!(
                    error,
                    "digest_not_encoded",
                    rows = outgoing.digest.rows.len()
                );
                continue;
            };
            for addr in outgoing.to.iter() {
                let BufResult(sent, _) = self.socket.send_to(bytes.clone(), *addr).await;
                if let Err(error) = sent {
                    crate::event!(debug, "digest_not_sent", peer = addr, error = error);
                }
            }
        }
    }

    async fn receive(&self, control: Control) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let BufResult(received, bytes) = self.socket.recv_from(buffer).await;
            buffer = bytes;
            match received.map(|(count, _)| bincode::deserialize::<Digest>(&buffer[..count])) {
                Ok(Ok(digest)) => control.send(Message::PeerLoad(digest)),
                Ok(Err(error)) => {
                    crate::event!(warn, "digest_not_read", error = error);
                }
                Err(error) => {
                    crate::event!(debug, "digest_not_received", error = error);
                }
            }
        }
    }
}
