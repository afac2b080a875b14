//! Many entries whose placements show to each other only after a while.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubewind::conviction::Fingerprint;
use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::ServerId;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::types::Incarnation;
use jujubewind::types::Revision;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::engine;
use crate::fixture::job;

/// How long an update takes to reach the other entries.
const LAG_MILLIS: u64 = 50;
const ENTRIES: usize = 40;
const ENGINES: usize = 40;
/// How long a short answer is decoded.
const DECODE_MILLIS: u64 = 800;
const SHORT_PROMPT_TOKENS: u64 = 5_000;

/// A stream and when its prefill and its answer end, in milliseconds.
struct Stream {
    entry: usize,
    server: ServerId,
    prefill_ends: u64,
    ends: u64,
}

/// Entries that share engines, in virtual milliseconds; each engine prefills one prompt at a time.
struct Fleet {
    cores: Vec<Core>,
    free_at: BTreeMap<ServerId, u64>,
    streams: BTreeMap<u64, Stream>,
    updates: VecDeque<(u64, usize, Digest)>,
    numbers: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        let name = |number| format!("entry-{number}");
        Self {
            cores: (0..ENTRIES).map(|n| core_of(&name(n), ENGINES)).collect(),
            free_at: BTreeMap::new(),
            streams: BTreeMap::new(),
            updates: VecDeque::new(),
            numbers: vec![0; ENTRIES],
        }
    }

    /// Sends short prompts at an even rate, each to the next entry; returns the times to the first
    /// token in ascending order.
    fn send_short(&mut self, per_second: u64, span_millis: u64) -> Vec<u64> {
        let mut waits = Vec::new();
        for now in 0..span_millis {
            self.deliver(now);
            self.advance(now);
            let due = now * per_second / 1_000 + 1;
            for id in u64::try_from(waits.len()).expect("few requests")..due {
                waits.push(self.arrive(now, id));
            }
        }
        waits.sort_unstable();
        waits
    }

    fn arrive(&mut self, now: u64, id: u64) -> u64 {
        let entry = usize::try_from(id).expect("few requests") % ENTRIES;
        let mut short = job(id, SHORT_PROMPT_TOKENS);
        short.arrived = at(now);
        let verdict = self.cores[entry].place_or_queue(at(now), short);
        let Some(Verdict::Place(placement)) = verdict else {
            panic!("there is room for request {id}: {verdict:?}");
        };
        let prefill = engine().prefill_time(job(id, SHORT_PROMPT_TOKENS).prompt);
        let server = placement.primary.id.clone();
        let free_at = self.free_at.entry(server.clone()).or_default();
        let prefill_ends = now.max(*free_at) + prefill.millis().get();
        *free_at = prefill_ends;
        let ends = prefill_ends + DECODE_MILLIS;
        let stream = Stream {
            entry,
            server,
            prefill_ends,
            ends,
        };
        self.streams.insert(id, stream);
        self.tell(now, entry);
        prefill_ends - now
    }

    fn advance(&mut self, now: u64) {
        let mut changed = Vec::new();
        for (id, stream) in &self.streams {
            let core = &mut self.cores[stream.entry];
            if stream.prefill_ends == now {
                core.mark_prefilled(JobId(*id));
                changed.push(stream.entry);
            }
            if stream.ends == now {
                let fingerprint = Fingerprint::from_number(u128::from(*id));
                let (id, server) = (JobId(*id), &stream.server);
                core.finish(at(now), id, server, fingerprint, Outcome::Served);
                changed.push(stream.entry);
            }
        }
        self.streams.retain(|_, stream| stream.ends > now);
        for entry in changed {
            self.tell(now, entry);
        }
    }

    fn tell(&mut self, now: u64, entry: usize) {
        let (rows, suspects) = self.cores[entry].take_updates(at(now), false);
        self.numbers[entry] += 1;
        let digest = Digest {
            node: format!("entry-{entry}").parse().expect("a name"),
            stamp: Stamp {
                life: Incarnation(1),
                number: self.numbers[entry],
            },
            rows,
            suspects,
            notices: Vec::new(),
            newest: Revision::ZERO,
        };
        self.updates.push_back((now + LAG_MILLIS, entry, digest));
    }

    fn deliver(&mut self, now: u64) {
        while self.updates.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, from, digest) = self.updates.pop_front().expect("an update");
            for (number, core) in self.cores.iter_mut().enumerate() {
                if number != from {
                    core.merge(at(now), digest.clone());
                }
            }
        }
    }
}

#[test]
fn short_prompts_meet_their_latency_target_although_entries_see_each_other_late() {
    let mut fleet = Fleet::new();

    let waits = fleet.send_short(500, 2_000);

    let latency_target = job(0, SHORT_PROMPT_TOKENS).latency_target.get();
    let in_time = waits.partition_point(|wait| *wait <= latency_target / 2);
    assert!(
        in_time * 100 >= waits.len() * 95,
        "{in_time} of {} first tokens within half of the latency target, the last after {:?} ms",
        waits.len(),
        waits.last()
    );
}
