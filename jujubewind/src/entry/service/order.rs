//! One call to a plain service.

use crate::claims::CallKey;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::OrgId;

/// A call whose caller is known, with the end of its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The organisation that calls.
    pub org: OrgId,
    /// The service.
    pub name: ModelId,
    /// The method: the path below the service's root.
    pub method: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The request's body.
    pub body: Vec<u8>,
    /// When the caller must have its answer.
    pub deadline: MonoTime,
}

impl Order {
    /// What the call is claimed by; `None` without an idempotency key.
    pub(super) fn call_key(&self) -> Option<CallKey> {
        Some(CallKey {
            org: self.org.clone(),
            service: self.name.clone(),
            method: self.method.clone(),
            key: self.key.clone()?,
        })
    }
}
