//! The socket over which entries exchange datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::BufResult;
use compio::net::UdpSocket;
use flume::Receiver;
use flume::Sender;

use super::Control;
use super::Datagram;
use super::Feed;
use super::Message;
use super::OutboundDatagram;
use crate::util::yield_now;

/// The buffer for a received datagram.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Datagrams that may wait to be sent; more are dropped, as each is made up for by a later one.
const MAX_WAITING_DATAGRAMS: usize = 512;

/// The socket over which entries exchange their load and the store's changes.
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

    /// Creates a channel for datagrams to send.
    #[must_use]
    pub fn channel() -> (Sender<OutboundDatagram>, Receiver<OutboundDatagram>) {
        flume::bounded(MAX_WAITING_DATAGRAMS)
    }

    /// Sends the datagrams from `outbound` and passes received ones to `control` and `feed`.
    pub async fn run(self, outbound: Receiver<OutboundDatagram>, control: Control, feed: Rc<Feed>) {
        let sending = self.send(outbound);
        let receiving = self.receive(control, &feed);
        futures::join!(sending, receiving);
    }

    /// A datagram that cannot be sent is treated as lost; a later one makes up for it.
    async fn send(&self, outbound: Receiver<OutboundDatagram>) {
        while let Ok(outgoing) = outbound.recv_async().await {
            let bytes = match outgoing.datagram.encode() {
                Ok(bytes) => bytes,
                Err(error) => {
                    crate::event!(error, "datagram_not_encoded", error = error);
                    continue;
                }
            };
            for addr in outgoing.to.iter() {
                let BufResult(sent, _) = self.socket.send_to(bytes.clone(), *addr).await;
                if let Err(error) = sent {
                    crate::event!(debug, "datagram_not_sent", peer = addr, error = error);
                }
            }
        }
    }

    async fn receive(&self, control: Control, feed: &Feed) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            yield_now().await;
            buffer.clear();
            let BufResult(received, bytes) = self.socket.recv_from(buffer).await;
            buffer = bytes;
            let (count, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    crate::event!(debug, "datagram_not_received", error = error);
                    continue;
                }
            };
            match Datagram::decode(&buffer[..count]) {
                Ok(Datagram::Load(digest)) => control.send(Message::PeerLoad {
                    digest,
                    pass_on: false,
                }),
                Ok(Datagram::Relay(digest)) => control.send(Message::PeerLoad {
                    digest,
                    pass_on: true,
                }),
                Ok(Datagram::Question(question)) => feed.reply(&question, from),
                Ok(Datagram::Answer(answer)) => feed.accept(answer),
                Err(error) => {
                    crate::event!(warn, "datagram_not_read", peer = from, error = error);
                }
            }
        }
    }
}
