//! Our operations as calls of the gateway.

use super::Key;
use super::LeaseId;
use super::Op;
use super::Version;
use super::Write;
use crate::wire::Base64;
use crate::wire::Int64;
use crate::wire::platform::Compare;
use crate::wire::platform::CompareResult;
use crate::wire::platform::CompareTarget;
use crate::wire::platform::DeleteRangeRequest;
use crate::wire::platform::LeaseGrantRequest;
use crate::wire::platform::LeaseKeepAliveRequest;
use crate::wire::platform::PutRequest;
use crate::wire::platform::RangeRequest;
use crate::wire::platform::RequestOp;
use crate::wire::platform::TxnRequest;

/// Milliseconds in the gateway's unit of leases.
const SECOND: u64 = 1_000;

/// A route of the gateway with the body of one call.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) path: &'static str,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// The call that makes `op`.
    pub(super) fn new(op: &Op) -> Self {
        match op {
            Op::Get(key) => Self::json("/v3/kv/range", &read(key)),
            Op::List(prefix) => Self::json("/v3/kv/range", &list(prefix)),
            Op::Put { key, value, lease } => {
                Self::json("/v3/kv/put", &put(key, value.clone(), *lease))
            }
            Op::Delete(key) => Self::json("/v3/kv/deleterange", &delete(key)),
            Op::CompareAndSwap(write) => {
                Self::json("/v3/kv/txn", &transaction(std::slice::from_ref(write)))
            }
            Op::Commit(writes) => Self::json("/v3/kv/txn", &transaction(writes)),
            Op::GrantLease(length) => Self::json("/v3/lease/grant", &grant(length.get())),
            Op::KeepAlive(lease) => Self::json("/v3/lease/keepalive", &keep_alive(*lease)),
        }
    }

    fn json(path: &'static str, body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { path, body }
    }
}

/// The first key after all that begin with `prefix`.
pub(super) fn end_of(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end);
        }
    }
    Base64(vec![0])
}

/// A number as the gateway writes it.
pub(super) fn int64(number: u64) -> Int64 {
    Int64(i64::try_from(number).unwrap_or(i64::MAX))
}

fn read(key: &Key) -> RangeRequest {
    RangeRequest {
        key: key.as_str().into(),
        keys_only: None,
        limit: None,
        range_end: None,
        revision: None,
    }
}

fn list(prefix: &str) -> RangeRequest {
    RangeRequest {
        key: prefix.into(),
        keys_only: None,
        limit: None,
        range_end: Some(end_of(prefix)),
        revision: None,
    }
}

fn put(key: &Key, value: Vec<u8>, lease: Option<LeaseId>) -> PutRequest {
    PutRequest {
        key: key.as_str().into(),
        lease: lease.map(|lease| int64(lease.get())),
        prev_kv: None,
        value: Some(value.into()),
    }
}

fn delete(key: &Key) -> DeleteRangeRequest {
    DeleteRangeRequest {
        key: key.as_str().into(),
        range_end: None,
    }
}

fn grant(millis: u64) -> LeaseGrantRequest {
    LeaseGrantRequest {
        id: None,
        ttl: int64(millis.div_ceil(SECOND)),
    }
}

fn keep_alive(lease: LeaseId) -> LeaseKeepAliveRequest {
    LeaseKeepAliveRequest {
        id: int64(lease.get()),
    }
}

/// All writes if every version is as expected; else a look at each key.
fn transaction(writes: &[Write]) -> TxnRequest {
    TxnRequest {
        compare: writes.iter().map(condition).collect(),
        success: writes.iter().map(change).collect(),
        failure: writes.iter().map(look).collect(),
    }
}

fn condition(write: &Write) -> Compare {
    let Version(version) = write.expect;
    Compare {
        create_revision: None,
        key: write.key.as_str().into(),
        lease: None,
        mod_revision: Some(int64(version)),
        result: Some(CompareResult::Equal),
        target: Some(CompareTarget::Mod),
        value: None,
        version: None,
    }
}

fn change(write: &Write) -> RequestOp {
    let mut op = RequestOp::default();
    match &write.value {
        Some(value) => op.request_put = Some(put(&write.key, value.clone(), write.lease)),
        None => op.request_delete_range = Some(delete(&write.key)),
    }
    op
}

fn look(write: &Write) -> RequestOp {
    RequestOp {
        request_range: Some(read(&write.key)),
        ..RequestOp::default()
    }
}
