//! The handle through which request tasks call the control task.

use std::cell::Cell;
use std::rc::Rc;

use flume::Sender;

use super::Grant;
use super::Message;
use super::Retry;
use super::Verdict;
use crate::conviction::Prints;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::ServiceId;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;

/// A handle to the control task; clones are cheap.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<Message>,
    next: Rc<Cell<u64>>,
}

/// Withdraws a request when its future is dropped before a verdict arrives.
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

    /// Allocates a request number.
    #[must_use]
    pub fn next_job(&self) -> JobId {
        let number = self.next.get();
        self.next.set(number + 1);
        JobId(number)
    }

    /// Waits until the request is placed on a backend server; `is_retry` tells that it was
    /// admitted before.
    ///
    /// # Errors
    /// Returns the refusal if the request cannot be placed or the process is stopping; it was not
    /// run.
    pub async fn place(&self, job: Job, prints: Prints, is_retry: bool) -> Result<Grant, Refusal> {
        let id = job.id;
        let (reply, answer) = flume::bounded(1);
        let mut waiting = Waiting {
            control: self,
            job: Some(id),
        };
        self.send(Message::Place {
            job,
            prints: prints.clone(),
            is_retry,
            reply,
        });
        let verdict = answer.recv_async().await;
        waiting.job = None;
        match verdict {
            Ok(Verdict::Place(placement)) => Ok(Grant::new(self.clone(), placement, id, prints)),
            Ok(Verdict::Refuse(refusal)) => Err(refusal),
            Err(_) => Err(Refusal {
                reason: Reason::Stopping,
                retry: Millis::ZERO,
            }),
        }
    }

    /// Takes one retry from the service's budget, if that has room for it.
    pub async fn take_retry(&self, service: &ServiceId) -> Option<Retry> {
        let (reply, answer) = flume::bounded(1);
        let service = service.clone();
        let control = self.clone();
        self.send(Message::Retry {
            service,
            control,
            reply,
        });
        answer.recv_async().await.ok().flatten()
    }

    /// Sends a message to the control task; ignored once the task has ended.
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
