//! The replicated record of one process.

use std::net::SocketAddr;

use rapidhash::v3::rapidhash_v3;

use super::Role;
use super::Seed;
use super::Status;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::ModelId;
use crate::types::NodeId;

crate::data! {
    /// A member's record. Only the member itself raises `version`; others may raise `status` and
    /// set `leaving`, so merging two records of a member is commutative.
    pub struct Member {
        /// The process.
        pub node: NodeId,
        /// Its role.
        pub role: Role,
        /// Its listen address.
        pub addr: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// The failure domain whose entries monitor its heartbeats.
        pub watch: DomainId,
        /// The models and services it serves.
        pub models: Vec<ModelId>,
        /// Its incarnation number; zero while only a seed is known.
        pub incarnation: Incarnation,
        /// Number of changes it made to its record in this incarnation.
        pub version: u32,
        /// Its liveness as others judge it.
        pub status: Status,
        /// Whether it accepts no new work; stays set until it restarts.
        pub leaving: bool,
    }
}

impl Member {
    /// Creates the record of a member that has just started.
    #[must_use]
    pub fn new(seed: Seed, models: Vec<ModelId>, incarnation: Incarnation) -> Self {
        Self {
            node: seed.node,
            role: seed.role,
            addr: seed.addr,
            watch: seed.domain.clone(),
            domain: seed.domain,
            models,
            incarnation,
            version: 0,
            status: Status::Alive,
            leaving: seed.leaving,
        }
    }

    /// Creates a placeholder for a process that has not sent its own record yet.
    #[must_use]
    pub fn provisional(seed: Seed) -> Self {
        Self::new(seed, Vec::new(), Incarnation::ZERO)
    }

    /// Whether only a seed of this member is known.
    #[must_use]
    pub fn is_provisional(&self) -> bool {
        self.incarnation == Incarnation::ZERO
    }

    /// Merges two records of the same member; the newer one wins.
    #[must_use]
    pub fn merged(&self, other: &Self) -> Self {
        let mut newer = if other.rank() > self.rank() {
            other.clone()
        } else {
            self.clone()
        };
        newer.leaving |= self.incarnation == other.incarnation && (self.leaving || other.leaving);
        newer
    }

    /// Returns a hash of the mutable fields, for comparing two views.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = self.node.as_str().as_bytes().to_vec();
        bytes.extend(self.incarnation.get().to_le_bytes());
        bytes.extend(self.version.to_le_bytes());
        bytes.push(u8::from(self.leaving));
        bytes.extend(self.status.as_str().as_bytes());
        rapidhash_v3(&bytes)
    }

    fn rank(&self) -> (Incarnation, u32, Status) {
        (self.incarnation, self.version, self.status)
    }
}
