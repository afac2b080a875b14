//! State machine that follows the newest catalogue revision.

use std::sync::Arc;

use super::Answer;
use super::Assembly;
use super::Output;
use super::Query;
use super::Source;
use super::Update;
use super::store_backoff::StoreBackoff;
use crate::catalogue::Head;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Revision;

/// Time to wait for an answer before another source is queried.
const ANSWER_TIMEOUT: Millis = Millis(250);

/// Time that a starting process waits for the store before it installs the peers' newest revision.
const BOOT_TIMEOUT: Millis = Millis(2_000);

/// Maximum number of texts in a query, which keeps the answer well below the message size limit.
const MAX_QUERY_TEXTS: usize = 128;

/// Installs newer revisions only, and only complete ones, whichever source they come from.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    current: Option<Assembly>,
    pending: Option<Assembly>,
    /// The head of the last invalid catalogue, which is not fetched again.
    rejected: Option<Head>,
    /// The root of the relay tree if the pending revision was pushed to this process.
    relay_root: Option<NodeId>,
    /// The peer that announced the highest revision.
    newest_peer: Option<(NodeId, Revision)>,
    /// When to query another source; `None` while no answer is awaited.
    deadline: Option<MonoTime>,
    store: StoreBackoff,
    /// Until when a starting process collects heads before it installs a revision.
    boot_deadline: Option<MonoTime>,
}

impl Follower {
    /// The installed revision; zero if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let head = self.current.as_ref().map(Assembly::head);
        head.map_or(Revision::ZERO, |head| head.revision)
    }

    /// Queries `peers` for their heads, and the store after `spread`, to find the newest revision.
    ///
    /// Nothing is installed until the store has answered or the boot timeout has passed, so that a
    /// stale peer cannot set a restarted process back to an older revision than it had before.
    pub fn boot(&mut self, now: MonoTime, peers: &[NodeId], spread: Millis) -> Vec<Output> {
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        self.boot_deadline = Some(now.after(BOOT_TIMEOUT));
        self.store = StoreBackoff::new(now, spread);
        let peers = peers.iter().cloned().map(Source::Peer);
        peers
            .map(|source| Output::Query(source, Query::Head))
            .collect()
    }

    /// Records the revision that a peer announced, and queries the peer if it is newer.
    pub fn handle_revision(
        &mut self,
        now: MonoTime,
        peer: &NodeId,
        revision: Revision,
    ) -> Vec<Output> {
        if self
            .newest_peer
            .as_ref()
            .is_none_or(|(_, best)| revision >= *best)
        {
            self.newest_peer = Some((peer.clone(), revision));
        }
        if revision <= self.revision() || self.deadline.is_some() {
            return Vec::new();
        }
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        vec![Output::Query(Source::Peer(peer.clone()), Query::Head)]
    }

    /// Handles a revision pushed by the store reader or by a peer.
    pub fn handle_update(&mut self, now: MonoTime, source: &Source, update: Update) -> Vec<Output> {
        self.end_boot(source);
        if !self.set_target(update.head) {
            return self.install_if_ready();
        }
        self.relay_root = Some(update.root);
        self.add_texts(now, source, update.texts)
    }

    /// Handles the answer to a query.
    pub fn handle_answer(&mut self, now: MonoTime, source: &Source, answer: Answer) -> Vec<Output> {
        match answer {
            Answer::Head(head) => self.handle_head(now, source, head),
            Answer::Texts(texts) if !texts.is_empty() => self.add_texts(now, source, texts),
            Answer::Texts(_) | Answer::Silence => Vec::new(),
        }
    }

    /// Queries other sources when an answer is overdue; call it a few times a second.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Output> {
        if self.deadline.is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        self.boot_deadline = self.boot_deadline.filter(|until| now < *until);
        let installed = self.install_if_ready();
        if !installed.is_empty() {
            return installed;
        }
        if !self.needs_query() {
            self.deadline = None;
            self.store.reset();
            return Vec::new();
        }
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        let mut outputs = Vec::new();
        if let Some((peer, revision)) = &self.newest_peer
            && *revision > self.revision()
        {
            outputs.push(Output::Query(Source::Peer(peer.clone()), Query::Head));
        }
        if self.store.try_acquire(now) {
            outputs.push(Output::Query(Source::Store, Query::Head));
        }
        outputs
    }

    /// Answers a query of a peer.
    #[must_use]
    pub fn answer(&self, query: &Query) -> Answer {
        let current = self.current.as_ref();
        match query {
            Query::Head => Answer::Head(current.map(|current| current.head().clone())),
            Query::Texts(hashes) => {
                let texts = hashes.iter().filter_map(|hash| current?.text(*hash));
                Answer::Texts(texts.map(ToString::to_string).collect())
            }
        }
    }

    fn handle_head(&mut self, now: MonoTime, source: &Source, head: Option<Head>) -> Vec<Output> {
        self.end_boot(source);
        if !head.is_some_and(|head| self.set_target(head)) {
            return self.install_if_ready();
        }
        let awaits_peers = self.should_await_peers(source);
        let outputs = self.advance(now, source);
        let queries_store = matches!(outputs.first(), Some(Output::Query(Source::Store, _)));
        if awaits_peers && queries_store {
            return Vec::new();
        }
        outputs
    }

    /// Whether peers are likely to deliver the texts of a head that came from the store.
    fn should_await_peers(&self, source: &Source) -> bool {
        *source == Source::Store && self.current.is_none() && self.store.is_early()
    }

    /// Ends the boot phase once the store has answered, as its revision is the newest.
    fn end_boot(&mut self, source: &Source) {
        if *source == Source::Store {
            self.boot_deadline = None;
        }
    }

    fn needs_query(&self) -> bool {
        let best = self.newest_peer.as_ref();
        let is_behind = best.is_some_and(|(_, best)| *best > self.revision());
        self.current.is_none()
            || self.pending.is_some()
            || is_behind
            || self.boot_deadline.is_some()
    }

    /// Installs the pending revision if the boot phase has ended and no text is missing.
    fn install_if_ready(&mut self) -> Vec<Output> {
        let pending = self.pending.as_ref();
        if self.boot_deadline.is_none()
            && pending.is_some_and(|pending| pending.missing().is_empty())
        {
            return self.install(&Source::Store);
        }
        Vec::new()
    }

    /// Makes `head` the pending revision if it is newer than the installed and the pending one.
    fn set_target(&mut self, head: Head) -> bool {
        let pending = self.pending.as_ref().map(Assembly::head);
        let is_older = pending.is_some_and(|pending| pending.revision > head.revision);
        let is_rejected = self.rejected.as_ref() == Some(&head);
        if head.revision <= self.revision() || is_older || is_rejected {
            return false;
        }
        if let Some(pending) = &mut self.pending {
            pending.retarget(head);
        } else {
            let known = self.current.as_ref().map(Assembly::texts);
            self.pending = Some(Assembly::new(head, known.cloned().unwrap_or_default()));
        }
        true
    }

    fn add_texts(&mut self, now: MonoTime, source: &Source, texts: Vec<String>) -> Vec<Output> {
        if let Some(pending) = &mut self.pending {
            pending.add(texts);
        }
        self.advance(now, source)
    }

    fn advance(&mut self, now: MonoTime, source: &Source) -> Vec<Output> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        let mut missing = pending.missing();
        if missing.is_empty() && self.boot_deadline.is_some() {
            return Vec::new();
        }
        if missing.is_empty() {
            return self.install(source);
        }
        missing.truncate(MAX_QUERY_TEXTS);
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        vec![Output::Query(source.clone(), Query::Texts(missing))]
    }

    fn install(&mut self, source: &Source) -> Vec<Output> {
        let Some(mut assembly) = self.pending.take() else {
            return Vec::new();
        };
        self.deadline = None;
        match assembly.finish() {
            Ok(catalogue) => {
                assembly.prune();
                let mut outputs = vec![Output::Install(Arc::new(catalogue))];
                outputs.extend(self.relay(&assembly));
                self.current = Some(assembly);
                outputs
            }
            Err(error) => {
                self.rejected = Some(assembly.head().clone());
                vec![Output::Refuse(source.clone(), error.to_string())]
            }
        }
    }

    /// Relays a revision that was pushed to this process, but not one that it queried itself.
    fn relay(&mut self, assembly: &Assembly) -> Option<Output> {
        let root = self.relay_root.take()?;
        let mut texts = assembly.received();
        // Too many for one message: the receivers query for them instead.
        if texts.len() > MAX_QUERY_TEXTS {
            texts.clear();
        }
        let head = assembly.head().clone();
        Some(Output::Relay(Update { head, texts, root }))
    }
}
