//! A request that wants a backend server.

use super::limits::ANSWER_SHARE;
use super::limits::READ_SHARE;
use super::limits::WAIT_SHARE;
use crate::direct::Engine;
use crate::direct::JobId;
use crate::direct::ServerId;
use crate::direct::ServiceId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// What is known of a request before it is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// Where it goes.
    pub service: ServiceId,
    /// The prompt's length; zero for a call to a plain service.
    pub prompt: Tokens,
    /// The longest answer.
    pub output: Tokens,
    /// The longest pause between events that it bears.
    pub max_gap: Option<Millis>,
    /// The time to the first event that its caller aims for, counted from its arrival.
    pub latency_target: Millis,
    /// How long its caller waits for an event before leaving, or the time that it has.
    pub client_timeout: Millis,
    /// When its whole answer must have come.
    pub deadline: MonoTime,
    /// 0 is the highest.
    pub priority: u8,
    /// Backend servers that failed it.
    pub excluded: Vec<ServerId>,
    /// When it arrived.
    pub arrived: MonoTime,
}

impl Job {
    /// The work that serving it delivers; an answer's token takes as long as ten of a prompt.
    #[must_use]
    pub const fn value(&self) -> u64 {
        const WRITTEN: u64 = 10;
        self.prompt.get() + WRITTEN * self.output.get()
    }

    /// When its aim is missed.
    #[must_use]
    pub const fn aim_ends(&self) -> MonoTime {
        self.arrived.after(self.latency_target)
    }

    /// When its first token is too late to be of use: its answer could not be written in the rest of its time.
    #[must_use]
    pub fn reading_ends(&self, engine: &Engine) -> MonoTime {
        let read = Millis(self.client_timeout.get() * READ_SHARE / 1_000);
        let write = engine
            .decode_time(self.prompt, self.output)
            .scaled(ANSWER_SHARE);
        let rest = self
            .deadline
            .since(self.arrived)
            .saturating_sub(write.millis());
        self.arrived.after(read.min(rest))
    }

    /// The longest that it may wait before it is read.
    #[must_use]
    pub const fn longest_wait(&self) -> Millis {
        Millis(self.client_timeout.get() * WAIT_SHARE / 1_000)
    }

    /// When it has waited for too long.
    #[must_use]
    pub const fn given_up(&self) -> MonoTime {
        self.arrived.after(self.longest_wait())
    }
}
