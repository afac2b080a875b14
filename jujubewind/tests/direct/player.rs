//! Plays a load of short streams against one entry's decisions.

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

/// How often waiting requests are looked at, in milliseconds.
const LOOK: u64 = 20;
/// The tokens of a short prompt.
const SHORT: u64 = 5_000;

/// A stream that is read or written.
struct Stream {
    server: ServerId,
    reads_until: u64,
    writes_until: u64,
}

/// One entry under load, in virtual milliseconds.
pub struct Player {
    core: Core,
    now: u64,
    next: u64,
    streams: BTreeMap<u64, Stream>,
    /// How long a short answer is written.
    writing: u64,
}

impl Player {
    /// An entry that nothing was asked of yet; each answer is written for `writing` milliseconds.
    pub fn new(core: Core, writing: u64) -> Self {
        Self {
            core,
            now: 0,
            next: 1,
            streams: BTreeMap::new(),
            writing,
        }
    }

    /// Short prompts come at an even pace for a while.
    pub fn play(&mut self, a_second: u64, span: u64) {
        let (begun, mut sent) = (self.now, 0);
        while self.now < begun + span {
            self.step();
            if (self.now - begun) * a_second >= sent * 1_000 {
                sent += 1;
                self.arrive();
            }
        }
    }

    /// Where a prompt of `tokens` goes that arrives now.
    pub fn place(&mut self, tokens: u64) -> Option<Placement> {
        let mut long = job(self.next, tokens);
        self.next += 1;
        long.arrived = at(self.now);
        match self.core.ask(at(self.now), long) {
            Some(Verdict::Go(placement)) => Some(placement),
            _ => None,
        }
    }

    /// The engines at which short answers are written.
    pub fn engines(&self) -> usize {
        let mut servers: Vec<&ServerId> = self.streams.values().map(|s| &s.server).collect();
        servers.sort_unstable();
        servers.dedup();
        servers.len()
    }

    fn step(&mut self) {
        self.now += 1;
        let now = at(self.now);
        for (id, stream) in &self.streams {
            if stream.reads_until == self.now {
                self.core.mark_prefilled(JobId(*id));
            }
            if stream.writes_until == self.now {
                let print = Fingerprint::from_number(u128::from(*id));
                let (id, server) = (JobId(*id), &stream.server);
                self.core.finish(now, id, server, print, Outcome::Served);
            }
        }
        self.streams
            .retain(|_, stream| stream.writes_until > self.now);
        if self.now.is_multiple_of(LOOK) {
            for (id, verdict) in self.core.poll(now) {
                self.take(id, verdict);
            }
        }
    }

    fn arrive(&mut self) {
        let mut short = job(self.next, SHORT);
        self.next += 1;
        short.arrived = at(self.now);
        let id = short.id;
        if let Some(verdict) = self.core.ask(at(self.now), short) {
            self.take(id, verdict);
        }
    }

    fn take(&mut self, id: JobId, verdict: Verdict) {
        let Verdict::Go(placement) = verdict else {
            return;
        };
        let first = placement.first_token.millis().max(Millis(1));
        let reads_until = self.now + first.get();
        let stream = Stream {
            server: placement.primary.id.clone(),
            reads_until,
            writes_until: reads_until + self.writing,
        };
        self.streams.insert(id.get(), stream);
    }
}
