//! Key-value store with ordered keys and one revision per change.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubewind::wire::Base64;
use jujubewind::wire::Int64;
use jujubewind::wire::platform::DeleteRangeRequest;
use jujubewind::wire::platform::DeleteRangeResponse;
use jujubewind::wire::platform::Event;
use jujubewind::wire::platform::EventType;
use jujubewind::wire::platform::KeyValue;
use jujubewind::wire::platform::PutRequest;
use jujubewind::wire::platform::PutResponse;
use jujubewind::wire::platform::RangeRequest;
use jujubewind::wire::platform::RangeResponse;
use jujubewind::wire::platform::ResponseHeader;

use super::Error;
use super::Result;
use super::key_range::KeyRange;
use super::lease::Lease;

/// Maximum length of a key or value.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Number of events kept for watches; older ones are compacted.
const MAX_EVENTS: usize = 10_000;

/// Keys, leases and latest events of the store.
#[derive(Clone, Debug)]
pub struct Store {
    pub(crate) keys: BTreeMap<Vec<u8>, KeyValue>,
    pub(crate) leases: BTreeMap<i64, Lease>,
    pub(crate) last_lease: i64,
    pub(crate) revision: i64,
    pub(crate) events: VecDeque<(i64, Event)>,
    /// Events up to this revision are compacted.
    pub(crate) compacted: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            revision: 1,
            events: VecDeque::new(),
            compacted: 0,
        }
    }
}

impl Store {
    /// Reads keys.
    ///
    /// # Errors
    /// The request names an old revision, which is not supported.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse> {
        let revision = Int64::or_zero(request.revision);
        if revision != 0 && revision != self.revision {
            return Err(Error::OldRevision);
        }
        let range = KeyRange::new(&request.key, request.range_end.as_ref());
        let limit = usize::try_from(Int64::or_zero(request.limit)).unwrap_or(0);
        let found: Vec<&KeyValue> = self.iter_range(&range).collect();
        let limit = if limit == 0 { found.len() } else { limit };
        let keys_only = request.keys_only.unwrap_or(false);
        let kvs = found
            .iter()
            .take(limit)
            .map(|kv| to_response(kv, keys_only));
        Ok(RangeResponse {
            count: Some(Int64(to_i64(found.len()))),
            header: Some(self.header()),
            kvs: kvs.collect(),
            more: Some(found.len() > limit),
        })
    }

    /// Writes a key.
    ///
    /// # Errors
    /// The value is too long, or its lease is unknown.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse> {
        self.check_put(request)?;
        let revision = self.revision + 1;
        Ok(self.put_at(revision, request))
    }

    /// Deletes keys.
    pub fn delete_range(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let revision = self.revision + 1;
        self.delete_at(revision, request)
    }

    /// Header of each response.
    #[must_use]
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: Some(Int64(1)),
            member_id: Some(Int64(1)),
            raft_term: Some(Int64(1)),
            revision: Some(Int64(self.revision)),
        }
    }

    pub(crate) fn check_put(&self, request: &PutRequest) -> Result<()> {
        let value = request.value.as_ref().map_or(0, |value| value.0.len());
        if value > MAX_VALUE_BYTES || request.key.0.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge);
        }
        let lease = Int64::or_zero(request.lease);
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(Error::NoLease);
        }
        Ok(())
    }

    /// Writes a key that passed `check_put`, as part of the change `revision`.
    pub(crate) fn put_at(&mut self, revision: i64, request: &PutRequest) -> PutResponse {
        let old = self.keys.get(&request.key.0).cloned();
        let created = old.as_ref().and_then(|kv| kv.create_revision);
        let version = old.as_ref().map_or(0, |kv| Int64::or_zero(kv.version));
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: created.or(Some(Int64(revision))),
            mod_revision: Some(Int64(revision)),
            version: Some(Int64(version + 1)),
            value: request.value.clone(),
            lease: request.lease.filter(|lease| lease.0 != 0),
        };
        self.detach(old.as_ref());
        self.attach(&kv);
        self.keys.insert(request.key.0.clone(), kv.clone());
        self.record(revision, EventType::Put, kv, old.clone());
        PutResponse {
            header: Some(self.header()),
            prev_kv: old.filter(|_| request.prev_kv.unwrap_or(false)),
        }
    }

    /// Deletes keys as part of the change `revision`.
    pub(crate) fn delete_at(
        &mut self,
        revision: i64,
        request: &DeleteRangeRequest,
    ) -> DeleteRangeResponse {
        let range = KeyRange::new(&request.key, request.range_end.as_ref());
        let keys: Vec<Vec<u8>> = self.iter_range(&range).map(|kv| kv.key.0.clone()).collect();
        let deleted = to_i64(keys.len());
        for key in keys {
            self.delete_key(revision, &key);
        }
        DeleteRangeResponse {
            deleted: Some(Int64(deleted)),
            header: Some(self.header()),
        }
    }

    /// Deletes `keys` as one change.
    pub(crate) fn delete_keys(&mut self, keys: impl IntoIterator<Item = Vec<u8>>) {
        let revision = self.revision + 1;
        for key in keys {
            self.delete_key(revision, &key);
        }
    }

    fn delete_key(&mut self, revision: i64, key: &[u8]) {
        let Some(old) = self.keys.remove(key) else {
            return;
        };
        self.detach(Some(&old));
        let tombstone = KeyValue {
            key: Base64(key.to_vec()),
            create_revision: None,
            mod_revision: Some(Int64(revision)),
            version: None,
            value: None,
            lease: None,
        };
        self.record(revision, EventType::Delete, tombstone, Some(old));
    }

    fn record(&mut self, revision: i64, kind: EventType, kv: KeyValue, old: Option<KeyValue>) {
        self.revision = revision;
        if self.events.len() == MAX_EVENTS
            && let Some((oldest, _)) = self.events.pop_front()
        {
            self.compacted = oldest;
        }
        let event = Event {
            kv,
            prev_kv: old,
            type_: Some(kind),
        };
        self.events.push_back((revision, event));
    }

    fn iter_range<'a>(&'a self, range: &'a KeyRange) -> impl Iterator<Item = &'a KeyValue> {
        self.keys
            .range(range.start().to_vec()..)
            .map(|(_, kv)| kv)
            .take_while(|kv| range.contains(kv.key.as_bytes()))
    }

    fn attach(&mut self, kv: &KeyValue) {
        let lease = self.leases.get_mut(&Int64::or_zero(kv.lease));
        if let Some(lease) = lease {
            lease.keys.insert(kv.key.0.clone());
        }
    }

    fn detach(&mut self, kv: Option<&KeyValue>) {
        let Some(kv) = kv else {
            return;
        };
        let lease = self.leases.get_mut(&Int64::or_zero(kv.lease));
        if let Some(lease) = lease {
            lease.keys.remove(kv.key.as_bytes());
        }
    }
}

fn to_response(kv: &KeyValue, keys_only: bool) -> KeyValue {
    let mut response = kv.clone();
    if keys_only {
        response.value = None;
    }
    response
}

fn to_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
