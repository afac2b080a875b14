//! A process that settings or the platform's list name.

use std::net::SocketAddr;

use super::Member;
use super::Role;
use crate::types::DomainId;
use crate::types::NodeId;

crate::data! {
    /// One line of the settings or of the platform's list of VMs.
    pub struct Seed {
        /// The process.
        pub node: NodeId,
        /// Its role.
        pub role: Role,
        /// Where it answers.
        pub addr: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Whether its VM is about to go.
        pub leaving: bool,
    }
}

impl From<&Member> for Seed {
    fn from(member: &Member) -> Self {
        Self {
            node: member.node.clone(),
            role: member.role,
            addr: member.addr,
            domain: member.domain.clone(),
            leaving: member.leaving,
        }
    }
}
