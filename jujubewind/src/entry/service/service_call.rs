//! One call to a plain service.

use crate::claims::CallKey;
use crate::memory::Blob;
use crate::memory::Held;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::OrgId;

/// An authenticated call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The organisation of the caller.
    pub org: OrgId,
    /// The service.
    pub name: ModelId,
    /// The method: the path below the service's root.
    pub method: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The request's body.
    pub body: Held<Blob>,
    /// The deadline of the answer.
    pub deadline: MonoTime,
}

impl ServiceCall {
    /// Returns the key under which the call is claimed; `None` without an idempotency key.
    pub(super) fn call_key(&self) -> Option<CallKey> {
        Some(CallKey {
            org: self.org.clone(),
            service: self.name.clone(),
            method: self.method.clone(),
            key: self.key.clone()?,
        })
    }
}
