//! What the control task is told and asked.

use std::rc::Rc;

use flume::Sender;

use super::FleetChange;
use super::Outcome;
use super::Verdict;
use crate::conviction::Fingerprint;
use crate::direct::Digest;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::Table;
use crate::types::MonoTime;

/// A message to the control task.
#[derive(Debug)]
pub enum Message {
    /// A request asks for a backend server.
    Place {
        /// The request.
        job: Job,
        /// What tells it from others.
        print: Fingerprint,
        /// Whether it asks again after a failure.
        again: bool,
        /// Where the answer goes.
        reply: Sender<Verdict>,
    },
    /// A request no longer waits.
    Withdraw(JobId),
    /// A request's first token came.
    Prefilled(JobId),
    /// A request's stay at a backend server ended.
    Finished {
        /// The request.
        job: JobId,
        /// The backend server.
        server: ServerId,
        /// What tells the request from others.
        print: Fingerprint,
        /// How it ended.
        outcome: Outcome,
    },
    /// A backend server failed as a helper.
    HelperFailed(ServerId),
    /// A request wants to be sent once more.
    Retry {
        /// The service.
        service: ServiceId,
        /// Whether it may.
        reply: Sender<bool>,
    },
    /// A newer table.
    Configure(Rc<Table>),
    /// News of backend servers and peers.
    Fleet(FleetChange),
    /// A peer told of its load.
    PeerLoad(Digest),
    /// Time has passed.
    Tick(MonoTime),
}
