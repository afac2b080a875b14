//! A process that settings or the platform's list name.

use std::net::SocketAddr;

use super::Error;
use super::Member;
use super::Result;
use super::Role;
use crate::types::DomainId;
use crate::types::NodeId;
use crate::wire::platform::Vm;
use crate::wire::platform::VmRole;
use crate::wire::platform::VmState;

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

impl TryFrom<&Vm> for Seed {
    type Error = Error;

    fn try_from(vm: &Vm) -> Result<Self> {
        let addr = vm.addr.parse();
        Ok(Self {
            node: vm.name.parse()?,
            role: match vm.role {
                VmRole::Entry => Role::Entry,
                VmRole::Agent => Role::Agent,
            },
            addr: addr.map_err(|_| Error::Address(vm.addr.clone()))?,
            domain: vm.domain.parse()?,
            leaving: vm.state == VmState::Leaving,
        })
    }
}
