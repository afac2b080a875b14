//! State machine that publishes one change.

use std::collections::HashSet;
use std::sync::Arc;

use super::Base;
use super::Change;
use super::Conflict;
use super::HeadVersion;
use super::Output;
use super::PublishOutcome;
use super::Reply;
use super::Request;
use crate::catalogue::ContentHash;
use crate::catalogue::Head;
use crate::catalogue::Tree;
use crate::types::Revision;

/// Maximum number of failed calls before publishing is aborted.
const MAX_FAILURES: u32 = 8;

/// The reply that the publisher waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The head on which the change is based.
    Reading,
    /// The writes of the remaining pages and parts.
    Writing(Vec<(ContentHash, Arc<str>)>),
    /// The write of the replaced head to the history.
    Archiving,
    /// The compare-and-swap of the head.
    Swapping,
    /// The head after a swap that failed or whose effect is unknown.
    Verifying,
    /// The archived head, if the current head is newer than this change.
    Searching(Head),
}

/// Publishes one change: writes the texts first, then replaces the head by compare-and-swap.
///
/// Every publisher archives the head that it replaces, so a change that took effect can be found
/// in the head or in the history, even after later changes.
#[derive(Clone, Debug)]
pub struct Publisher {
    change: Change,
    tree: Tree,
    stored: HashSet<ContentHash>,
    phase: Phase,
    replaced: Option<(HeadVersion, Head)>,
    failures: u32,
    /// Whether the effect of a swap is unknown.
    is_swap_unknown: bool,
}

impl Publisher {
    /// Creates a publisher of `tree`; texts that are already `stored` are not written again.
    #[must_use]
    pub fn new(change: Change, tree: Tree, stored: HashSet<ContentHash>) -> Self {
        Self {
            change,
            tree,
            stored,
            phase: Phase::Reading,
            replaced: None,
            failures: 0,
            is_swap_unknown: false,
        }
    }

    /// Returns the first call.
    #[must_use]
    pub fn begin(&self) -> Output {
        Output::Call(Request::ReadHead)
    }

    /// Handles the reply to the last call and returns the next action.
    pub fn handle(&mut self, reply: Reply) -> Output {
        match (self.phase.clone(), reply) {
            (Phase::Reading, Reply::Head(head)) => self.compare_head(head),
            (Phase::Writing(mut texts), Reply::Written) => {
                texts.pop();
                self.write_texts(texts)
            }
            (Phase::Archiving, Reply::Written) => self.swap(),
            (Phase::Swapping, Reply::Written) => Output::Done(self.accepted()),
            (Phase::Swapping, Reply::Changed) => self.verify(),
            (Phase::Swapping, Reply::Unknown) => {
                self.is_swap_unknown = true;
                self.retry()
            }
            (Phase::Verifying, Reply::Head(head)) => self.check_swap(head),
            (Phase::Searching(current), Reply::History(found)) => {
                let is_own = found.is_some_and(|head| head.change == self.change.id);
                Output::Done(if is_own {
                    self.accepted()
                } else {
                    self.conflict(Some(current))
                })
            }
            _ => self.retry(),
        }
    }

    fn compare_head(&mut self, head: Option<(HeadVersion, Head)>) -> Output {
        let current = head.as_ref().map(|(_, head)| head);
        let revision = current.map_or(Revision::ZERO, |head| head.revision);
        if let Base::Exactly(base) = self.change.base
            && base != revision
        {
            return Output::Done(self.conflict(current.cloned()));
        }
        if current.is_some_and(|head| head.pages == self.tree.pages) {
            return Output::Done(PublishOutcome::Unchanged(revision));
        }
        self.replaced = head;
        let mut texts: Vec<_> = self.tree.texts.clone().into_iter().collect();
        texts.retain(|(hash, _)| !self.stored.contains(hash));
        texts.sort();
        self.write_texts(texts)
    }

    fn write_texts(&mut self, texts: Vec<(ContentHash, Arc<str>)>) -> Output {
        if let Some((hash, text)) = texts.last().cloned() {
            self.phase = Phase::Writing(texts);
            return Output::Call(Request::WriteText(hash, text));
        }
        match &self.replaced {
            Some((_, head)) => {
                let request = Request::WriteHistory(head.clone());
                self.phase = Phase::Archiving;
                Output::Call(request)
            }
            None => self.swap(),
        }
    }

    fn swap(&mut self) -> Output {
        self.phase = Phase::Swapping;
        let version = self.replaced.as_ref().map(|(version, _)| *version);
        let head = Head {
            revision: self.revision(),
            change: self.change.id,
            author: self.change.author.clone(),
            time: self.change.time,
            pages: self.tree.pages.clone(),
        };
        Output::Call(Request::SwapHead(version.unwrap_or_default(), head))
    }

    fn verify(&mut self) -> Output {
        self.phase = Phase::Verifying;
        Output::Call(Request::ReadHead)
    }

    fn check_swap(&mut self, head: Option<(HeadVersion, Head)>) -> Output {
        let Some((_, current)) = head else {
            return Output::Done(self.conflict(None));
        };
        if current.change == self.change.id {
            return Output::Done(self.accepted());
        }
        if self.is_swap_unknown && current.revision > self.revision() {
            self.phase = Phase::Searching(current);
            return Output::Call(Request::ReadHistory(self.revision()));
        }
        Output::Done(self.conflict(Some(current)))
    }

    /// Repeats the call of this phase; a swap with the same version cannot take effect twice.
    fn retry(&mut self) -> Output {
        self.failures += 1;
        if self.failures > MAX_FAILURES {
            return Output::Done(self.give_up());
        }
        match self.phase.clone() {
            Phase::Reading => self.begin(),
            Phase::Writing(texts) => self.write_texts(texts),
            Phase::Archiving => self.write_texts(Vec::new()),
            Phase::Swapping => self.swap(),
            Phase::Verifying => self.verify(),
            Phase::Searching(_) => Output::Call(Request::ReadHistory(self.revision())),
        }
    }

    fn give_up(&self) -> PublishOutcome {
        if self.is_swap_unknown {
            PublishOutcome::Unknown(self.change.id)
        } else {
            PublishOutcome::Failed
        }
    }

    fn accepted(&self) -> PublishOutcome {
        PublishOutcome::Accepted(self.revision())
    }

    fn conflict(&self, current: Option<Head>) -> PublishOutcome {
        let base = match self.change.base {
            Base::Exactly(base) => base,
            Base::Latest => Revision(self.revision().get() - 1),
        };
        PublishOutcome::Conflict(Conflict { base, current })
    }

    /// The revision that the change creates.
    fn revision(&self) -> Revision {
        let replaced = self.replaced.as_ref();
        let before = replaced.map_or(Revision::ZERO, |(_, head)| head.revision);
        before.saturating_add(Revision(1))
    }
}
