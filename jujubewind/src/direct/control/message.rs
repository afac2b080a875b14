//! Messages to the control task.

use std::rc::Rc;

use flume::Sender;

use super::Control;
use super::FleetChange;
use super::Outcome;
use super::Retry;
use super::Verdict;
use crate::conviction::Prints;
use crate::conviction::Suspect;
use crate::direct::Digest;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::Notice;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::direct::Table;
use crate::types::MonoTime;

/// A message to the control task.
#[derive(Debug)]
pub enum Message {
    /// Asks for a placement.
    Place {
        /// The request.
        job: Job,
        /// Identify its content.
        prints: Prints,
        /// Whether it was admitted before.
        is_retry: bool,
        /// Receives the verdict.
        reply: Sender<Verdict>,
    },
    /// A request was cancelled before it was sent.
    Withdraw(JobId),
    /// A request's first token arrived, so its prompt has been prefilled.
    Prefilled(JobId),
    /// A request's answer went on past its beginning.
    Progressed {
        /// The request.
        job: JobId,
        /// Identify the request's content.
        prints: Prints,
    },
    /// A request no longer uses its backend servers.
    Finished {
        /// The request.
        job: JobId,
        /// The primary server.
        server: ServerId,
        /// Identify the request's content.
        prints: Prints,
        /// The outcome at the primary server.
        outcome: Outcome,
    },
    /// A backend server announced something of itself.
    Notice {
        /// The server.
        server: Rc<Server>,
        /// What it announced.
        notice: Notice,
        /// When the request was sent that the response with the announcement is surely to.
        sent: Option<MonoTime>,
    },
    /// An order about reserved memory was sent to a backend server.
    OrderSent(ServerId),
    /// A backend server failed as a helper.
    HelperFailed(ServerId),
    /// Asks for one retry from a service's budget.
    Retry {
        /// The service.
        service: ServiceId,
        /// Takes the retry back if it is not used.
        control: Control,
        /// Receives the retry if it was granted.
        reply: Sender<Option<Retry>>,
    },
    /// Gives a retry back to a service's budget.
    UnusedRetry {
        /// The service.
        service: ServiceId,
        /// When the retry was granted.
        taken: MonoTime,
    },
    /// A newer table.
    Configure(Rc<Table>),
    /// A change of the lists of backend servers and peers.
    Fleet(FleetChange),
    /// Convictions that are kept outside the entries.
    Convicted(Vec<Suspect>),
    /// A digest from a peer.
    PeerLoad {
        /// The digest.
        digest: Digest,
        /// Whether it is to be passed on in this entry's failure domain.
        pass_on: bool,
    },
    /// No request is queued any more, as this process stops.
    Drain,
    /// A timer tick.
    Tick(MonoTime),
}
