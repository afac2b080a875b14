//! The gateway's answers as our outcomes.

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

/// Milliseconds in the gateway's unit of leases.
const SECOND: u64 = 1_000;

/// What `body`, a successful answer to `op`, says.
///
/// # Errors
/// The body has another form; the call may have taken effect.
pub(super) fn read(op: &Op, body: &[u8]) -> serde_json::Result<Outcome> {
    Ok(match op {
        Op::Get(_) => Outcome::Found(first(serde_json::from_slice(body)?)),
        Op::List(_) => Outcome::Listed(entries(serde_json::from_slice(body)?)),
        Op::Put { .. } | Op::Delete(_) => {
            let response: PutResponse = serde_json::from_slice(body)?;
            applied(response.header.as_ref())
        }
        Op::CompareAndSwap(_) => swapped(serde_json::from_slice(body)?),
        Op::Commit(_) => committed(serde_json::from_slice(body)?),
        Op::GrantLease(_) => granted(&serde_json::from_slice(body)?),
        Op::KeepAlive(_) => kept(serde_json::from_slice(body)?),
    })
}

/// A key as the gateway shows it; `None` if it is no text.
pub(super) fn entry(kv: KeyValue) -> Option<Entry> {
    let key = String::from_utf8(kv.key.0).ok()?.parse().ok()?;
    Some(Entry {
        key,
        value: kv.value.unwrap_or_default().0,
        version: Version(number(kv.mod_revision)),
    })
}

/// A number of the gateway, of which absence means zero.
pub(super) fn number(field: Option<Int64>) -> u64 {
    u64::try_from(Int64::or_zero(field)).unwrap_or(0)
}

fn entries(response: RangeResponse) -> Vec<Entry> {
    response.kvs.into_iter().filter_map(entry).collect()
}

fn first(response: RangeResponse) -> Option<Entry> {
    entries(response).into_iter().next()
}

fn applied(header: Option<&ResponseHeader>) -> Outcome {
    let revision = header.and_then(|header| header.revision);
    Outcome::Applied(Version(number(revision)))
}

fn swapped(response: TxnResponse) -> Outcome {
    match committed(response) {
        Outcome::Conflicts(states) => Outcome::Conflict(states.into_iter().next().flatten()),
        outcome => outcome,
    }
}

fn committed(response: TxnResponse) -> Outcome {
    if response.succeeded.unwrap_or(false) {
        return applied(response.header.as_ref());
    }
    let state = |op: ResponseOp| op.response_range.and_then(first);
    Outcome::Conflicts(response.responses.into_iter().map(state).collect())
}

fn granted(response: &LeaseGrantResponse) -> Outcome {
    leased(response.id, response.ttl)
}

fn kept(response: LeaseKeepAliveResponse) -> Outcome {
    let state = response.result.unwrap_or_default();
    leased(state.id, state.ttl)
}

fn leased(id: Option<Int64>, ttl: Option<Int64>) -> Outcome {
    Outcome::Leased(LeaseId(number(id)), Millis(number(ttl) * SECOND))
}
