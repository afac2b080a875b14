//! Messages by which processes exchange the catalogue.

use std::sync::Arc;

use crate::catalogue::Catalogue;
use crate::catalogue::ContentHash;
use crate::catalogue::Head;
use crate::types::NodeId;

crate::data! {
    /// A query to the store or to a peer.
    pub enum Query {
        /// The current head.
        Head,
        /// Pages and parts by content address.
        Texts(Vec<ContentHash>),
    }

    /// The answer to a [`Query`].
    pub enum Answer {
        /// The current head, if there is one.
        Head(Option<Head>),
        /// The requested texts that are available.
        Texts(Vec<String>),
        /// No answer arrived.
        Silence,
    }

    /// A newer revision, pushed without a query.
    pub struct Update {
        /// The head.
        pub head: Head,
        /// The texts that were new to the sender; the receiver queries for any others.
        pub texts: Vec<String>,
        /// The entry that read it from the store; the root of the relay tree.
        pub root: NodeId,
    }

    /// The receiver of a query.
    pub enum Source {
        /// The platform's store.
        Store,
        /// Another process of the fleet.
        Peer(NodeId),
    }
}

/// An action requested by a follower.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this query and pass its answer, or [`Answer::Silence`], to the follower.
    Query(Source, Query),
    /// Install this catalogue.
    Install(Arc<Catalogue>),
    /// Send this to the entries below this one in the relay tree of the failure domain.
    Relay(Update),
    /// Report an invalid catalogue from the store or a peer; it is not installed.
    Refuse(Source, String),
}
