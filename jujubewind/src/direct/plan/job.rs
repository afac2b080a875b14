//! A request to be placed.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::limits::EXPECTED_OUTPUT_PERMILLE;
use super::limits::FIRST_TOKEN_PERMILLE;
use super::limits::QUEUE_TIME_PERMILLE;
use crate::direct::Engine;
use crate::direct::JobId;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// Failure domains; requests of one kind share them.
pub type Domains = Rc<BTreeSet<DomainId>>;

/// The properties of a request that decide its placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request's number.
    pub id: JobId,
    /// The requested service.
    pub service: ServiceId,
    /// The prompt's length; zero for a call to a plain service.
    pub prompt: Tokens,
    /// The longest possible answer.
    pub output: Tokens,
    /// The target for the longest gap between two of its events.
    pub max_gap: Option<Millis>,
    /// The target time from its arrival to the first event.
    pub latency_target: Millis,
    /// How long its client waits for an event before disconnecting, or its remaining time if that
    /// is shorter.
    pub client_timeout: Millis,
    /// When the whole answer must have arrived.
    pub deadline: MonoTime,
    /// 0 is the highest.
    pub priority: u8,
    /// The failure domains whose backend servers may run it; any of them if there is no restriction.
    pub domains: Option<Domains>,
    /// Backend servers that failed it before.
    pub excluded: Vec<ServerId>,
    /// When it arrived.
    pub arrived: MonoTime,
}

impl Job {
    /// Whether the request may run on a server.
    #[must_use]
    pub fn permits(&self, server: &Server) -> bool {
        let domains = self.domains.as_ref();
        domains.is_none_or(|domains| domains.contains(&server.domain))
    }

    /// The work that serving it delivers, in prompt tokens; decoding a token takes as long as
    /// prefilling ten.
    #[must_use]
    pub const fn value(&self) -> u64 {
        const PREFILL_TOKENS_PER_OUTPUT_TOKEN: u64 = 10;
        self.prompt.get() + PREFILL_TOKENS_PER_OUTPUT_TOKEN * self.output.get()
    }

    /// When its latency target is missed.
    #[must_use]
    pub const fn latency_deadline(&self) -> MonoTime {
        self.arrived.after(self.latency_target)
    }

    /// The latest useful time for its first token: later, the client disconnects or the expected
    /// answer cannot be decoded before the deadline.
    #[must_use]
    pub fn first_token_deadline(&self, engine: &Engine) -> MonoTime {
        let client_limit = Millis(self.client_timeout.get() * FIRST_TOKEN_PERMILLE / 1_000);
        let decode = engine
            .decode_time(self.prompt, self.output)
            .scaled(EXPECTED_OUTPUT_PERMILLE);
        let rest = self
            .deadline
            .since(self.arrived)
            .saturating_sub(decode.millis());
        self.arrived.after(client_limit.min(rest))
    }

    /// The longest time that it may be queued.
    #[must_use]
    pub const fn max_queue_time(&self) -> Millis {
        Millis(self.client_timeout.get() * QUEUE_TIME_PERMILLE / 1_000)
    }

    /// When it is refused if it is still queued.
    #[must_use]
    pub const fn queue_deadline(&self) -> MonoTime {
        self.arrived.after(self.max_queue_time())
    }
}
