//! Encodes store operations as requests to etcd's JSON gateway.

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

/// The gateway states lease lengths in seconds.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Path and body of a gateway request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) path: &'static str,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Encodes `op`.
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

/// The end of the key range of `prefix`: the first key after all keys that start with it.
pub(super) fn prefix_end(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end);
        }
    }
    Base64(vec![0])
}

/// Encodes a number.
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
        range_end: Some(prefix_end(prefix)),
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
        ttl: int64(millis.div_ceil(MILLIS_PER_SECOND)),
    }
}

fn keep_alive(lease: LeaseId) -> LeaseKeepAliveRequest {
    LeaseKeepAliveRequest {
        id: int64(lease.get()),
    }
}

/// Makes all writes if every version matches, and reads every key otherwise.
fn transaction(writes: &[Write]) -> TxnRequest {
    TxnRequest {
        compare: writes.iter().map(compare_version).collect(),
        success: writes.iter().map(write_op).collect(),
        failure: writes.iter().map(read_op).collect(),
    }
}

fn compare_version(write: &Write) -> Compare {
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

fn write_op(write: &Write) -> RequestOp {
    let mut op = RequestOp::default();
    match &write.value {
        Some(value) => op.request_put = Some(put(&write.key, value.clone(), write.lease)),
        None => op.request_delete_range = Some(delete(&write.key)),
    }
    op
}

fn read_op(write: &Write) -> RequestOp {
    RequestOp {
        request_range: Some(read(&write.key)),
        ..RequestOp::default()
    }
}
