//! The handle through which the store's follower exchanges questions and answers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use super::FeedAnswer;
use super::FeedLog;
use super::FeedQuestion;
use crate::direct::BootTime;
use crate::direct::Datagram;
use crate::direct::EntryState;
use crate::direct::OutboundDatagram;
use crate::direct::Shared;
use crate::metrics::DirectMetrics;

/// Answers that may wait to be read; more are dropped, as the asking entry asks again.
const MAX_WAITING_ANSWERS: usize = 16;

/// The log of this entry and its link to the other entries.
#[derive(Debug)]
pub struct Feed {
    log: RefCell<FeedLog>,
    /// Until when missing backend servers are kept after an outage of the store.
    grace_end: RefCell<BootTime>,
    state: Rc<EntryState>,
    metrics: Rc<DirectMetrics>,
    outbound: Sender<OutboundDatagram>,
    inbound: Sender<FeedAnswer>,
    answers: Receiver<FeedAnswer>,
}

impl Feed {
    /// Creates the handle; `outbound` sends datagrams to peers.
    #[must_use]
    pub fn new(shared: &Shared, outbound: Sender<OutboundDatagram>) -> Rc<Self> {
        let (inbound, answers) = flume::bounded(MAX_WAITING_ANSWERS);
        Rc::new(Self {
            log: RefCell::default(),
            grace_end: RefCell::default(),
            state: shared.state.clone(),
            metrics: shared.metrics.clone(),
            outbound,
            inbound,
            answers,
        })
    }

    /// Changes the log.
    pub fn update<T>(&self, change: impl FnOnce(&mut FeedLog) -> T) -> T {
        change(&mut self.log.borrow_mut())
    }

    /// Records until when missing backend servers are kept.
    pub fn set_grace_end(&self, end: BootTime) {
        *self.grace_end.borrow_mut() = end;
    }

    /// Sends a question to another entry.
    pub fn ask(&self, question: FeedQuestion, addr: SocketAddr) {
        self.send(Datagram::Question(question), addr);
    }

    /// The next answer.
    pub async fn next_answer(&self) -> Option<FeedAnswer> {
        self.answers.recv_async().await.ok()
    }

    /// Answers a question of another entry.
    pub(in crate::direct) fn reply(&self, question: &FeedQuestion, addr: SocketAddr) {
        let now = BootTime::now();
        let answer = FeedAnswer {
            number: question.number,
            age: self.state.table_age(now),
            version: self.state.vouched_version(now),
            grace: self.grace_end.borrow().since(now),
            content: self.log.borrow().content(question.since),
        };
        self.send(Datagram::Answer(answer), addr);
    }

    /// Passes on an answer of another entry.
    pub(in crate::direct) fn accept(&self, answer: FeedAnswer) {
        self.state.hear_peer(BootTime::now(), answer.version);
        if self.inbound.try_send(answer).is_err() {
            self.metrics.count_dropped_feed();
        }
    }

    fn send(&self, datagram: Datagram, addr: SocketAddr) {
        let to = Rc::new([addr]);
        let outgoing = OutboundDatagram { datagram, to };
        if self.outbound.try_send(outgoing).is_err() {
            self.metrics.count_dropped_feed();
        }
    }
}
