//! Leases: at any time, at most one process believes that it holds the lease.

use jujubewind::lease::LeaseHolder;
use jujubewind::lease::LeaseTerms;
use jujubewind::store::Outcome;
use jujubewind::types::Fence;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::fake_store::FakeStore;
use crate::fake_store::Fault;
use crate::seeds::generator;
use crate::seeds::seeds;

const TTL: Millis = Millis(10_000);
const HISTORIES: u64 = 500;
const STEPS: u32 = 600;

/// A process that competes for the lease, with the store's answer that is not yet delivered to it.
struct Process {
    lease: LeaseHolder,
    answer: Option<Outcome>,
}

/// Processes that compete for one lease.
struct World {
    now: MonoTime,
    store: FakeStore,
    processes: Vec<Process>,
    faults: u32,
}

pub fn lease(number: usize, incarnation: u64) -> LeaseHolder {
    let node = format!("entry-{number}").parse().expect("valid name");
    let terms = LeaseTerms::with_ttl(TTL);
    LeaseHolder::new("placement", node, Incarnation(incarnation), terms)
}

/// Polls and settles `lease` without faults until it makes no more calls at `now`.
pub fn drive(lease: &mut LeaseHolder, store: &mut FakeStore, now: MonoTime) {
    while let Some(op) = lease.poll(now) {
        lease.settle(now, store.call(&op, Fault::None));
    }
}

impl World {
    fn new(count: usize, faults: u32) -> Self {
        let process = |number| Process {
            lease: lease(number, 1),
            answer: None,
        };
        Self {
            now: MonoTime::from_millis(1),
            store: FakeStore::default(),
            processes: (0..count).map(process).collect(),
            faults,
        }
    }

    fn tick(&mut self, rng: &mut StdRng) {
        self.now = self.now.after(Millis(rng.random_range(0..700)));
        if rng.random_ratio(1, 10) {
            self.store.deliver_late(rng);
        }
        let index = rng.random_range(0..self.processes.len());
        let process = &mut self.processes[index];
        if rng.random_ratio(1, 200) {
            return process.lease.stop();
        }
        if rng.random_ratio(1, 100) {
            process.lease = lease(index, self.now.micros());
            process.answer = None;
        }
        if let Some(answer) = process.answer.take() {
            return process.lease.settle(self.now, answer);
        }
        if let Some(op) = process.lease.poll(self.now) {
            let fault = Fault::draw(rng, self.faults);
            process.answer = Some(self.store.call(&op, fault));
        }
    }

    fn holders(&self) -> Vec<Fence> {
        let valid_fence = |process: &Process| process.lease.valid_fence(self.now);
        self.processes.iter().filter_map(valid_fence).collect()
    }
}

#[test]
fn at_most_one_process_holds_the_lease_and_fences_never_decrease() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);
        let mut world = World::new(4, rng.random_range(0..40));
        let mut highest = Fence::ZERO;

        for _ in 0..STEPS {
            world.tick(&mut rng);

            let holders = world.holders();
            assert!(
                holders.len() <= 1,
                "SEED={seed}: {holders:?} at {}",
                world.now
            );
            let fence = holders.first().copied().unwrap_or(highest);
            assert!(fence >= highest, "SEED={seed}: {fence} after {highest}");
            highest = fence;
        }
    }
}

#[test]
fn a_paused_holder_has_no_valid_fence_after_its_lease_expired() {
    let mut store = FakeStore::default();
    let mut holder = lease(0, 1);
    let start = MonoTime::from_millis(1);
    drive(&mut holder, &mut store, start);

    let before = holder.valid_fence(start);
    let after = holder.valid_fence(start.after(TTL));

    assert_eq!((before, after), (Some(Fence(1)), None));
}

#[test]
fn a_successor_waits_until_the_lease_it_saw_expires() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (lease(0, 1), lease(1, 1));
    let start = MonoTime::from_millis(1);
    drive(&mut first, &mut store, start);

    drive(&mut second, &mut store, start);
    let early = second.valid_fence(start);
    drive(&mut second, &mut store, start.after(TTL));

    assert_eq!(early, None);
    assert_eq!(second.valid_fence(start.after(TTL)), Some(Fence(2)));
}

#[test]
fn a_released_lease_can_be_acquired_at_once() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (lease(0, 1), lease(1, 1));
    let start = MonoTime::from_millis(1);
    drive(&mut first, &mut store, start);

    first.stop();
    drive(&mut first, &mut store, start);
    drive(&mut second, &mut store, start);

    assert_eq!(first.valid_fence(start), None);
    assert_eq!(second.valid_fence(start), Some(Fence(2)));
}

#[test]
fn a_holder_renews_its_lease_after_a_lost_answer() {
    let mut store = FakeStore::default();
    let mut holder = lease(0, 1);
    let start = MonoTime::from_millis(1);
    drive(&mut holder, &mut store, start);
    let due = holder.due();

    let renewal = holder.poll(due).expect("a renewal");
    holder.settle(due, store.call(&renewal, Fault::AnswerLost));
    let again = holder.due();
    drive(&mut holder, &mut store, again);

    let late = start.after(TTL);
    assert_eq!(holder.valid_fence(late), Some(Fence(1)));
}
