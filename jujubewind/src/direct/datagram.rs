//! The datagrams between entries.

use std::net::SocketAddr;
use std::rc::Rc;

use bincode::Options;

use super::Digest;
use super::FeedAnswer;
use super::FeedQuestion;

/// The largest datagram that is read.
const MAX_DATAGRAM_BYTES: u64 = 16 * 1_024;

crate::data! {
    /// A datagram from one entry to another.
    pub enum Datagram {
        /// The sender's load on backend servers.
        Load(Digest),
        /// The same, to be passed on to the entries of the receiver's failure domain.
        Relay(Digest),
        /// Asks for changes in the store.
        Question(FeedQuestion),
        /// Tells changes in the store.
        Answer(FeedAnswer),
    }
}

/// A datagram with its recipients.
#[derive(Clone, Debug)]
pub struct OutboundDatagram {
    /// The datagram.
    pub datagram: Datagram,
    /// The addresses of the recipients.
    pub to: Rc<[SocketAddr]>,
}

impl Datagram {
    /// Encodes it; small numbers take few bytes.
    ///
    /// # Errors
    /// It is too large.
    pub fn encode(&self) -> bincode::Result<Vec<u8>> {
        codec().serialize(self)
    }

    /// Decodes it.
    ///
    /// # Errors
    /// The bytes are no datagram.
    pub fn decode(bytes: &[u8]) -> bincode::Result<Self> {
        codec().deserialize(bytes)
    }
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new()
        .with_limit(MAX_DATAGRAM_BYTES)
        .allow_trailing_bytes()
}
