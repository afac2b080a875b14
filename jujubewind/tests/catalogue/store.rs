//! An in-memory store that loses, delays and fails calls.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubewind::catalogue::ContentHash;
use jujubewind::catalogue::Head;
use jujubewind::catalogue::publish::HeadVersion;
use jujubewind::catalogue::publish::Reply;
use jujubewind::catalogue::publish::Request;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The contents of the store and the calls that have not reached it yet.
pub struct Store {
    rng: SmallRng,
    faults: bool,
    version: u64,
    delayed: Vec<Request>,
    /// The head with its version.
    pub head: Option<(HeadVersion, Head)>,
    /// The replaced heads.
    pub history: BTreeMap<Revision, Head>,
    /// The pages and parts.
    pub texts: BTreeMap<ContentHash, Arc<str>>,
    /// Every head that was ever current, in order.
    pub accepted: Vec<Head>,
}

impl Store {
    /// Creates an empty store; `faults` makes a third of its calls fail in some way.
    pub fn new(seed: u64, faults: bool) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            faults,
            version: 0,
            delayed: Vec::new(),
            head: None,
            history: BTreeMap::new(),
            texts: BTreeMap::new(),
            accepted: Vec::new(),
        }
    }

    /// Performs a call; under faults, it may fail, be lost or delayed, or lose its answer.
    pub fn call(&mut self, request: Request) -> Reply {
        if !self.faults {
            return self.apply(request);
        }
        if !self.delayed.is_empty() && self.rng.random_bool(0.5) {
            let late = self.delayed.remove(0);
            self.apply(late);
        }
        match self.rng.random_range(0..12) {
            0 => Reply::Failed,
            1 => Reply::Unknown,
            2 => {
                self.apply(request);
                Reply::Unknown
            }
            3 => {
                self.delayed.push(request);
                Reply::Unknown
            }
            _ => self.apply(request),
        }
    }

    /// Applies every delayed call.
    pub fn flush(&mut self) {
        for late in std::mem::take(&mut self.delayed) {
            self.apply(late);
        }
    }

    fn apply(&mut self, request: Request) -> Reply {
        match request {
            Request::ReadHead => Reply::Head(self.head.clone()),
            Request::ReadHistory(revision) => Reply::History(self.history.get(&revision).cloned()),
            Request::WriteText(hash, text) => {
                self.texts.insert(hash, text);
                Reply::Written
            }
            Request::WriteHistory(head) => {
                self.history.insert(head.revision, head);
                Reply::Written
            }
            Request::SwapHead(expect, head) => self.swap(expect, head),
        }
    }

    fn swap(&mut self, expect: HeadVersion, head: Head) -> Reply {
        let version = self.head.as_ref().map(|(version, _)| *version);
        if version.unwrap_or_default() != expect {
            return Reply::Changed;
        }
        self.version += 1;
        self.accepted.push(head.clone());
        self.head = Some((HeadVersion(self.version), head));
        Reply::Written
    }
}
