//! One process's view of the catalogue.

use std::sync::Arc;

use super::Answer;
use super::Assembly;
use super::Output;
use super::Query;
use super::Source;
use super::Update;
use super::store_turn::StoreTurn;
use crate::catalogue::Head;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Revision;

/// The longest wait for an answer before another source is asked.
const ANSWER_TIMEOUT: Millis = Millis(250);

/// How long a start waits for the store before the highest revision of the peers is taken.
const SETTLING: Millis = Millis(2_000);

/// The most texts asked for at once, so that an answer stays well below a message's limit.
const TEXTS_AT_ONCE: usize = 128;

/// Takes only higher revisions, each whole or not at all, whoever offers them.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    current: Option<Assembly>,
    coming: Option<Assembly>,
    refused: Option<Head>,
    root: Option<NodeId>,
    best: Option<(NodeId, Revision)>,
    deadline: Option<MonoTime>,
    store: StoreTurn,
    /// Until when a process that has just started looks for the highest revision.
    settling: Option<MonoTime>,
}

impl Follower {
    /// The revision in force; zero if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let head = self.current.as_ref().map(Assembly::head);
        head.map_or(Revision::ZERO, |head| head.revision)
    }

    /// Asks several peers for their heads, and the store after `spread`; the highest is taken.
    ///
    /// Nothing is in force before the store has answered or has had its time, so that a stale peer
    /// alone cannot bring a process back that had a higher revision in its last life.
    pub fn boot(&mut self, now: MonoTime, peers: &[NodeId], spread: Millis) -> Vec<Output> {
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        self.settling = Some(now.after(SETTLING));
        self.store = StoreTurn::new(now, spread);
        let peers = peers.iter().cloned().map(Source::Peer);
        peers
            .map(|source| Output::Query(source, Query::Head))
            .collect()
    }

    /// Notes the revision that a peer says it has, and asks for it if it is higher.
    pub fn handle_revision(
        &mut self,
        now: MonoTime,
        peer: &NodeId,
        revision: Revision,
    ) -> Vec<Output> {
        if self.best.as_ref().is_none_or(|(_, best)| revision >= *best) {
            self.best = Some((peer.clone(), revision));
        }
        if revision <= self.revision() || self.deadline.is_some() {
            return Vec::new();
        }
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        vec![Output::Query(Source::Peer(peer.clone()), Query::Head)]
    }

    /// Takes what the reader of the store or a peer passes on unasked.
    pub fn handle_update(&mut self, now: MonoTime, source: &Source, update: Update) -> Vec<Output> {
        self.settle(source);
        if !self.aim(update.head) {
            return self.install_settled();
        }
        self.root = Some(update.root);
        self.gather(now, source, update.texts)
    }

    /// Takes the answer to a question.
    pub fn handle_answer(&mut self, now: MonoTime, source: &Source, answer: Answer) -> Vec<Output> {
        match answer {
            Answer::Head(head) => self.take_head(now, source, head),
            Answer::Texts(texts) if !texts.is_empty() => self.gather(now, source, texts),
            Answer::Texts(_) | Answer::Silence => Vec::new(),
        }
    }

    /// Asks others when answers stay away; call it a few times a second.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Output> {
        if self.deadline.is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        self.settling = self.settling.filter(|until| now < *until);
        let installed = self.install_settled();
        if !installed.is_empty() {
            return installed;
        }
        if !self.is_wanting() {
            self.deadline = None;
            self.store.relax();
            return Vec::new();
        }
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        let mut outputs = Vec::new();
        if let Some((peer, revision)) = &self.best
            && *revision > self.revision()
        {
            outputs.push(Output::Query(Source::Peer(peer.clone()), Query::Head));
        }
        if self.store.take(now) {
            outputs.push(Output::Query(Source::Store, Query::Head));
        }
        outputs
    }

    /// Answers a peer.
    #[must_use]
    pub fn answer(&self, ask: &Query) -> Answer {
        let current = self.current.as_ref();
        match ask {
            Query::Head => Answer::Head(current.map(|current| current.head().clone())),
            Query::Texts(hashes) => {
                let texts = hashes.iter().filter_map(|hash| current?.text(*hash));
                Answer::Texts(texts.map(ToString::to_string).collect())
            }
        }
    }

    fn take_head(&mut self, now: MonoTime, source: &Source, head: Option<Head>) -> Vec<Output> {
        self.settle(source);
        if !head.is_some_and(|head| self.aim(head)) {
            return self.install_settled();
        }
        let is_early = self.settles_early(source);
        let outputs = self.advance(now, source);
        let asks_store = matches!(outputs.first(), Some(Output::Query(Source::Store, _)));
        if is_early && asks_store {
            return Vec::new();
        }
        outputs
    }

    /// Whether the texts may well come from a peer, though the store told of them.
    fn settles_early(&self, source: &Source) -> bool {
        *source == Source::Store && self.current.is_none() && self.store.is_early()
    }

    /// Whatever the store says is the highest.
    fn settle(&mut self, source: &Source) {
        if *source == Source::Store {
            self.settling = None;
        }
    }

    fn is_wanting(&self) -> bool {
        let best = self.best.as_ref();
        let is_behind = best.is_some_and(|(_, best)| *best > self.revision());
        self.current.is_none() || self.coming.is_some() || is_behind || self.settling.is_some()
    }

    /// Puts in force what was gathered while the process was looking for the highest.
    fn install_settled(&mut self) -> Vec<Output> {
        let coming = self.coming.as_ref();
        if self.settling.is_none() && coming.is_some_and(|coming| coming.missing().is_empty()) {
            return self.install(&Source::Store);
        }
        Vec::new()
    }

    /// Begins or goes on with `head`, if it is newer than all before.
    fn aim(&mut self, head: Head) -> bool {
        let coming = self.coming.as_ref().map(Assembly::head);
        let is_older = coming.is_some_and(|coming| coming.revision > head.revision);
        let is_refused = self.refused.as_ref() == Some(&head);
        if head.revision <= self.revision() || is_older || is_refused {
            return false;
        }
        if let Some(coming) = &mut self.coming {
            coming.retarget(head);
        } else {
            let known = self.current.as_ref().map(Assembly::texts);
            self.coming = Some(Assembly::new(head, known.cloned().unwrap_or_default()));
        }
        true
    }

    fn gather(&mut self, now: MonoTime, source: &Source, texts: Vec<String>) -> Vec<Output> {
        if let Some(coming) = &mut self.coming {
            coming.add(texts);
        }
        self.advance(now, source)
    }

    fn advance(&mut self, now: MonoTime, source: &Source) -> Vec<Output> {
        let Some(coming) = &self.coming else {
            return Vec::new();
        };
        let mut missing = coming.missing();
        if missing.is_empty() && self.settling.is_some() {
            return Vec::new();
        }
        if missing.is_empty() {
            return self.install(source);
        }
        missing.truncate(TEXTS_AT_ONCE);
        self.deadline = Some(now.after(ANSWER_TIMEOUT));
        vec![Output::Query(source.clone(), Query::Texts(missing))]
    }

    fn install(&mut self, source: &Source) -> Vec<Output> {
        let Some(mut whole) = self.coming.take() else {
            return Vec::new();
        };
        self.deadline = None;
        match whole.finish() {
            Ok(catalogue) => {
                whole.tidy();
                let mut outputs = vec![Output::Install(Arc::new(catalogue))];
                outputs.extend(self.relay(&whole));
                self.current = Some(whole);
                outputs
            }
            Err(error) => {
                self.refused = Some(whole.head().clone());
                vec![Output::Refuse(source.clone(), error.to_string())]
            }
        }
    }

    /// Passes on what was passed on to this process; what it asked for itself stays here.
    fn relay(&mut self, whole: &Assembly) -> Option<Output> {
        let root = self.root.take()?;
        let mut texts = whole.fresh();
        if texts.len() > TEXTS_AT_ONCE {
            texts.clear();
        }
        let head = whole.head().clone();
        Some(Output::Relay(Update { head, texts, root }))
    }
}
