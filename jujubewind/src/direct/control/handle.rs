//! How request tasks speak to the control task.

use std::cell::Cell;
use std::rc::Rc;

use flume::Sender;

use super::Grant;
use super::Message;
use super::Verdict;
use crate::conviction::Fingerprint;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::ServiceId;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;

/// The control task's address; clones are cheap.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<Message>,
    next: Rc<Cell<u64>>,
}

/// Withdraws a request that stops waiting before it has its answer.
struct Waiting<'a> {
    control: &'a Control,
    job: Option<JobId>,
}

impl Control {
    pub(super) fn new(messages: Sender<Message>) -> Self {
        Self {
            messages,
            next: Rc::new(Cell::new(1)),
        }
    }

    /// A number for a request.
    #[must_use]
    pub fn next_job(&self) -> JobId {
        let number = self.next.get();
        self.next.set(number + 1);
        JobId(number)
    }

    /// Waits for a backend server.
    ///
    /// # Errors
    /// The request is refused; it was not run.
    pub async fn place(&self, job: Job, print: Fingerprint, again: bool) -> Result<Grant, Refusal> {
        let id = job.id;
        let (reply, answer) = flume::bounded(1);
        let mut waiting = Waiting {
            control: self,
            job: Some(id),
        };
        self.send(Message::Place {
            job,
            print,
            again,
            reply,
        });
        let verdict = answer.recv_async().await;
        waiting.job = None;
        match verdict {
            Ok(Verdict::Go(placement)) => Ok(Grant::new(self.clone(), placement, id, print)),
            Ok(Verdict::Refuse(refusal)) => Err(refusal),
            Err(_) => Err(Refusal {
                reason: Reason::Stopping,
                retry: Millis::ZERO,
            }),
        }
    }

    /// Whether the service's budget has room for one more repeat, which is taken.
    pub async fn take_retry(&self, service: &ServiceId) -> bool {
        let (reply, answer) = flume::bounded(1);
        let service = service.clone();
        self.send(Message::Retry { service, reply });
        answer.recv_async().await.unwrap_or(false)
    }

    /// Tells the control task something; one that has ended needs no word.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            self.control.send(Message::Withdraw(job));
        }
    }
}
