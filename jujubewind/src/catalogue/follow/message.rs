//! What processes ask and tell each other about the catalogue.

use std::sync::Arc;

use crate::catalogue::Catalogue;
use crate::catalogue::ContentHash;
use crate::catalogue::Head;
use crate::types::NodeId;

crate::data! {
    /// A question to the store or to a peer.
    pub enum Query {
        /// The head it has.
        Head,
        /// Pages and parts.
        Texts(Vec<ContentHash>),
    }

    /// The answer to an [`Query`].
    pub enum Answer {
        /// The head, if it has any.
        Head(Option<Head>),
        /// Those of the texts that it has.
        Texts(Vec<String>),
        /// No answer.
        Silence,
    }

    /// A newer revision, passed on unasked.
    pub struct Update {
        /// The head.
        pub head: Head,
        /// The texts that the sender lacked before; the receiver asks for others.
        pub texts: Vec<String>,
        /// The entry that had it from the store, from which the relay tree grows.
        pub root: NodeId,
    }

    /// Who is asked.
    pub enum Source {
        /// The platform's store.
        Store,
        /// Another process of ours.
        Peer(NodeId),
    }
}

/// What a follower wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Put this question, and hand in its answer, or silence.
    Query(Source, Query),
    /// This catalogue is in force from now on.
    Install(Arc<Catalogue>),
    /// Pass this on to the entries of the failure domain that stand below this one.
    Relay(Update),
    /// The store or a peer gave a catalogue that breaks the rules; it is not taken.
    Refuse(Source, String),
}
