//! Leases; the keys attached to a lease are deleted when it ends.

use std::collections::BTreeSet;

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::Int64;
use jujubewind::wire::platform::LeaseGrantRequest;
use jujubewind::wire::platform::LeaseGrantResponse;
use jujubewind::wire::platform::LeaseKeepAlive;
use jujubewind::wire::platform::LeaseKeepAliveResponse;
use jujubewind::wire::platform::LeaseRevokeResponse;

use super::Error;
use super::Result;
use super::Store;

/// Minimum time to live of a lease.
const MIN_TTL_SECONDS: i64 = 1;

#[derive(Clone, Debug)]
pub(crate) struct Lease {
    ttl_seconds: i64,
    expires: MonoTime,
    pub(crate) keys: BTreeSet<Vec<u8>>,
}

impl Store {
    /// Grants a lease.
    ///
    /// # Errors
    /// The requested id is in use.
    pub fn grant(
        &mut self,
        now: MonoTime,
        request: &LeaseGrantRequest,
    ) -> Result<LeaseGrantResponse> {
        self.expire(now);
        let id = match Int64::or_zero(request.id) {
            0 => self.next_lease_id(),
            id => id,
        };
        if self.leases.contains_key(&id) {
            return Err(Error::LeaseExists);
        }
        let ttl = request.ttl.0.max(MIN_TTL_SECONDS);
        let lease = Lease {
            ttl_seconds: ttl,
            expires: now.after(seconds(ttl)),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Ok(LeaseGrantResponse {
            error: None,
            header: Some(self.header()),
            id: Some(Int64(id)),
            ttl: Some(Int64(ttl)),
        })
    }

    /// Renews a lease; the returned time to live is zero if the lease has ended.
    pub fn keep_alive(&mut self, now: MonoTime, id: i64) -> LeaseKeepAliveResponse {
        self.expire(now);
        let ttl = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now.after(seconds(lease.ttl_seconds));
                lease.ttl_seconds
            }
            None => 0,
        };
        let result = LeaseKeepAlive {
            header: Some(self.header()),
            id: Some(Int64(id)),
            ttl: Some(Int64(ttl)),
        };
        LeaseKeepAliveResponse {
            result: Some(result),
        }
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// The lease does not exist.
    pub fn revoke(&mut self, now: MonoTime, id: i64) -> Result<LeaseRevokeResponse> {
        self.expire(now);
        self.end_lease(id).ok_or(Error::NoLease)?;
        Ok(LeaseRevokeResponse {
            header: Some(self.header()),
        })
    }

    /// Ends all expired leases.
    pub fn expire(&mut self, now: MonoTime) {
        let expired_id = |(id, lease): (&i64, &Lease)| (lease.expires <= now).then_some(*id);
        let expired: Vec<i64> = self.leases.iter().filter_map(expired_id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: i64) -> Option<()> {
        let lease = self.leases.remove(&id)?;
        self.delete_keys(lease.keys);
        Some(())
    }

    fn next_lease_id(&mut self) -> i64 {
        self.last_lease += 1;
        self.last_lease
    }
}

fn seconds(count: i64) -> Millis {
    Millis(u64::try_from(count).unwrap_or(0).saturating_mul(1_000))
}
