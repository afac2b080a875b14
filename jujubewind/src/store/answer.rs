//! Decodes responses of etcd's JSON gateway.

use super::Entry;
use super::LeaseId;
use super::Op;
use super::Outcome;
use super::Version;
use crate::types::Millis;
use crate::wire::Int64;
use crate::wire::platform::KeyValue;
use crate::wire::platform::LeaseGrantResponse;
use crate::wire::platform::LeaseKeepAliveResponse;
use crate::wire::platform::PutResponse;
use crate::wire::platform::RangeResponse;
use crate::wire::platform::ResponseHeader;
use crate::wire::platform::ResponseOp;
use crate::wire::platform::TxnResponse;

/// The gateway states lease lengths in seconds.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Decodes `body`, the successful response to `op`.
///
/// # Errors
/// Fails if the body is malformed; the call may have taken effect nevertheless.
pub(super) fn decode(op: &Op, body: &[u8]) -> serde_json::Result<Outcome> {
    Ok(match op {
        Op::Get(_) => Outcome::Found(first_entry(serde_json::from_slice(body)?)),
        Op::List(_) => Outcome::Listed(entries(serde_json::from_slice(body)?)),
        Op::Put { .. } | Op::Delete(_) => {
            let response: PutResponse = serde_json::from_slice(body)?;
            write_outcome(response.header.as_ref())
        }
        Op::CompareAndSwap(_) => swap_outcome(serde_json::from_slice(body)?),
        Op::Commit(_) => commit_outcome(serde_json::from_slice(body)?),
        Op::GrantLease(_) => grant_outcome(&serde_json::from_slice(body)?),
        Op::KeepAlive(_) => keep_alive_outcome(serde_json::from_slice(body)?),
    })
}

/// Decodes a key-value pair; `None` if the key is empty or not UTF-8.
pub(super) fn decode_entry(kv: KeyValue) -> Option<Entry> {
    let key = String::from_utf8(kv.key.0).ok()?.parse().ok()?;
    Some(Entry {
        key,
        value: kv.value.unwrap_or_default().0,
        version: Version(decode_number(kv.mod_revision)),
    })
}

/// Decodes a number; the gateway omits zeros.
pub(super) fn decode_number(field: Option<Int64>) -> u64 {
    u64::try_from(Int64::or_zero(field)).unwrap_or(0)
}

fn entries(response: RangeResponse) -> Vec<Entry> {
    response.kvs.into_iter().filter_map(decode_entry).collect()
}

fn first_entry(response: RangeResponse) -> Option<Entry> {
    entries(response).into_iter().next()
}

fn write_outcome(header: Option<&ResponseHeader>) -> Outcome {
    let revision = header.and_then(|header| header.revision);
    Outcome::Applied(Version(decode_number(revision)))
}

fn swap_outcome(response: TxnResponse) -> Outcome {
    match commit_outcome(response) {
        Outcome::Conflicts(states) => Outcome::Conflict(states.into_iter().next().flatten()),
        outcome => outcome,
    }
}

fn commit_outcome(response: TxnResponse) -> Outcome {
    if response.succeeded.unwrap_or(false) {
        return write_outcome(response.header.as_ref());
    }
    let state = |op: ResponseOp| op.response_range.and_then(first_entry);
    Outcome::Conflicts(response.responses.into_iter().map(state).collect())
}

fn grant_outcome(response: &LeaseGrantResponse) -> Outcome {
    lease_outcome(response.id, response.ttl)
}

fn keep_alive_outcome(response: LeaseKeepAliveResponse) -> Outcome {
    let state = response.result.unwrap_or_default();
    lease_outcome(state.id, state.ttl)
}

fn lease_outcome(id: Option<Int64>, ttl: Option<Int64>) -> Outcome {
    Outcome::Leased(
        LeaseId(decode_number(id)),
        Millis(decode_number(ttl) * MILLIS_PER_SECOND),
    )
}
