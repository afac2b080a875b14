//! A process named in the settings or in the platform's VM list.

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
    /// A member as named in the settings or in the platform's VM list.
    pub struct Seed {
        /// The process.
        pub node: NodeId,
        /// Its role.
        pub role: Role,
        /// Its listen address.
        pub addr: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Whether its VM is about to be removed.
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
