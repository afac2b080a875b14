//! One operator's change on its way into the store.

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

/// How many calls may fail before publishing gives up.
const MAX_FAILURES: u32 = 8;

/// What is being waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The head before the change.
    Reading,
    /// Pages and parts that the store lacks; then the head that will be replaced.
    Writing(Vec<(ContentHash, Arc<str>)>),
    /// The replaced head's place in the history.
    Archiving,
    /// The swap.
    Swapping,
    /// The head after a swap whose effect is in doubt.
    Settling,
    /// The history, when the head has moved on beyond this change.
    Searching(Head),
}

/// Publishes one change: texts first, then one compare-and-swap of the head.
///
/// Each publisher archives the head it replaces, so a change that took effect is found either
/// in the head or in the history, whatever came after it.
#[derive(Clone, Debug)]
pub struct Publisher {
    change: Change,
    tree: Tree,
    stored: HashSet<ContentHash>,
    phase: Phase,
    replaced: Option<(HeadVersion, Head)>,
    failures: u32,
    doubt: bool,
}

impl Publisher {
    /// Prepares a change to `tree`; texts known to be `stored` are not written again.
    #[must_use]
    pub fn new(change: Change, tree: Tree, stored: HashSet<ContentHash>) -> Self {
        Self {
            change,
            tree,
            stored,
            phase: Phase::Reading,
            replaced: None,
            failures: 0,
            doubt: false,
        }
    }

    /// The first call, whose reply begins the rest.
    #[must_use]
    pub fn begin(&self) -> Output {
        Output::Ask(Request::ReadHead)
    }

    /// Takes the reply to the last call.
    pub fn handle(&mut self, reply: Reply) -> Output {
        match (self.phase.clone(), reply) {
            (Phase::Reading, Reply::Head(head)) => self.compare(head),
            (Phase::Writing(mut texts), Reply::Written) => {
                texts.pop();
                self.write(texts)
            }
            (Phase::Archiving, Reply::Written) => self.swap(),
            (Phase::Swapping, Reply::Written) => Output::Done(self.accepted()),
            (Phase::Swapping, Reply::Changed) => self.settle(),
            (Phase::Swapping, Reply::Unknown) => {
                self.doubt = true;
                self.retry()
            }
            (Phase::Settling, Reply::Head(head)) => self.judge(head),
            (Phase::Searching(current), Reply::History(found)) => {
                let mine = found.is_some_and(|head| head.change == self.change.id);
                Output::Done(if mine {
                    self.accepted()
                } else {
                    self.conflict(Some(current))
                })
            }
            _ => self.retry(),
        }
    }

    fn compare(&mut self, head: Option<(HeadVersion, Head)>) -> Output {
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
        self.write(texts)
    }

    fn write(&mut self, texts: Vec<(ContentHash, Arc<str>)>) -> Output {
        if let Some((hash, text)) = texts.last().cloned() {
            self.phase = Phase::Writing(texts);
            return Output::Ask(Request::WriteText(hash, text));
        }
        match &self.replaced {
            Some((_, head)) => {
                let request = Request::WriteHistory(head.clone());
                self.phase = Phase::Archiving;
                Output::Ask(request)
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
        Output::Ask(Request::SwapHead(version.unwrap_or_default(), head))
    }

    fn settle(&mut self) -> Output {
        self.phase = Phase::Settling;
        Output::Ask(Request::ReadHead)
    }

    fn judge(&mut self, head: Option<(HeadVersion, Head)>) -> Output {
        let Some((_, current)) = head else {
            return Output::Done(self.conflict(None));
        };
        if current.change == self.change.id {
            return Output::Done(self.accepted());
        }
        if self.doubt && current.revision > self.revision() {
            self.phase = Phase::Searching(current);
            return Output::Ask(Request::ReadHistory(self.revision()));
        }
        Output::Done(self.conflict(Some(current)))
    }

    /// Repeats the call of this phase: a swap with the same version cannot land twice.
    fn retry(&mut self) -> Output {
        self.failures += 1;
        if self.failures > MAX_FAILURES {
            return Output::Done(self.give_up());
        }
        match self.phase.clone() {
            Phase::Reading => self.begin(),
            Phase::Writing(texts) => self.write(texts),
            Phase::Archiving => self.write(Vec::new()),
            Phase::Swapping => self.swap(),
            Phase::Settling => self.settle(),
            Phase::Searching(_) => Output::Ask(Request::ReadHistory(self.revision())),
        }
    }

    fn give_up(&self) -> PublishOutcome {
        if self.doubt {
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

    /// The revision that the change makes.
    fn revision(&self) -> Revision {
        let replaced = self.replaced.as_ref();
        let before = replaced.map_or(Revision::ZERO, |(_, head)| head.revision);
        before.saturating_add(Revision(1))
    }
}
