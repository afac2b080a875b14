//! Simulates a load of short streams on one entry.

use std::collections::BTreeMap;

use jujubewind::conviction::Fingerprint;
use jujubewind::direct::Core;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Placement;
use jujubewind::direct::ServerId;
use jujubewind::direct::Verdict;
use jujubewind::types::Millis;

use crate::fixture::at;
use crate::fixture::job;

/// How often queued requests are retried.
const POLL_PERIOD_MILLIS: u64 = 20;
/// The length of a short prompt.
const SHORT_PROMPT_TOKENS: u64 = 5_000;

/// A stream that is being prefilled or decoded.
struct Stream {
    server: ServerId,
    prefill_ends: u64,
    decode_ends: u64,
}

/// One entry under load, in virtual milliseconds.
pub struct Simulation {
    core: Core,
    now: u64,
    next: u64,
    streams: BTreeMap<u64, Stream>,
    /// How long a short answer is decoded, in milliseconds.
    decode_millis: u64,
}

impl Simulation {
    /// An idle entry; each answer is decoded for `decode_millis`.
    pub fn new(core: Core, decode_millis: u64) -> Self {
        Self {
            core,
            now: 0,
            next: 1,
            streams: BTreeMap::new(),
            decode_millis,
        }
    }

    /// Sends short prompts at an even rate for `span_millis`.
    pub fn send_short(&mut self, per_second: u64, span_millis: u64) {
        let (start, mut sent) = (self.now, 0);
        while self.now < start + span_millis {
            self.step();
            if (self.now - start) * per_second >= sent * 1_000 {
                sent += 1;
                self.arrive();
            }
        }
    }

    /// Sends a prompt of `tokens` and returns its placement.
    pub fn place(&mut self, tokens: u64) -> Option<Placement> {
        let mut long = job(self.next, tokens);
        self.next += 1;
        long.arrived = at(self.now);
        match self.core.place_or_queue(at(self.now), long) {
            Some(Verdict::Place(placement)) => Some(placement),
            _ => None,
        }
    }

    /// The number of engines with short streams.
    pub fn busy_engines(&self) -> usize {
        let mut servers: Vec<&ServerId> = self.streams.values().map(|s| &s.server).collect();
        servers.sort_unstable();
        servers.dedup();
        servers.len()
    }

    fn step(&mut self) {
        self.now += 1;
        let now = at(self.now);
        for (id, stream) in &self.streams {
            if stream.prefill_ends == self.now {
                self.core.mark_prefilled(JobId(*id));
            }
            if stream.decode_ends == self.now {
                let fingerprint = Fingerprint::from_number(u128::from(*id));
                let (id, server) = (JobId(*id), &stream.server);
                self.core
                    .finish(now, id, server, fingerprint, Outcome::Served);
            }
        }
        self.streams
            .retain(|_, stream| stream.decode_ends > self.now);
        if self.now.is_multiple_of(POLL_PERIOD_MILLIS) {
            for (id, verdict) in self.core.poll(now) {
                self.handle(id, verdict);
            }
        }
    }

    fn arrive(&mut self) {
        let mut short = job(self.next, SHORT_PROMPT_TOKENS);
        self.next += 1;
        short.arrived = at(self.now);
        let id = short.id;
        if let Some(verdict) = self.core.place_or_queue(at(self.now), short) {
            self.handle(id, verdict);
        }
    }

    fn handle(&mut self, id: JobId, verdict: Verdict) {
        let Verdict::Place(placement) = verdict else {
            return;
        };
        let first = placement.first_token.millis().max(Millis(1));
        let prefill_ends = self.now + first.get();
        let stream = Stream {
            server: placement.primary.id.clone(),
            prefill_ends,
            decode_ends: prefill_ends + self.decode_millis,
        };
        self.streams.insert(id.get(), stream);
    }
}
