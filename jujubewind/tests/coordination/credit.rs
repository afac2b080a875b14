//! Credit escrow: under any faults, credit is never overspent and little of it is lost.

use jujubewind::credit::Account;
use jujubewind::credit::Escrow;
use jujubewind::credit::Interval;
use jujubewind::credit::IntervalId;
use jujubewind::credit::Shortage;
use jujubewind::refusal::Reason;
use jujubewind::store::LeaseId;
use jujubewind::store::Op;
use jujubewind::types::Credit;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::fake_store::FakeStore;
use crate::fake_store::Fault;
use crate::seeds::generator;
use crate::seeds::seeds;

const LIMIT: Credit = Credit(100_000);
const HISTORIES: u64 = 300;
const STEPS: u32 = 600;

fn interval(id: u64) -> Interval {
    Interval {
        entry: "audit".parse().expect("valid name"),
        id: IntervalId(id),
        limit: LIMIT,
        ends: MonoTime::from_millis(3_600_000),
    }
}

/// A process with its escrow and the store's answer that is not yet delivered to it.
struct Process {
    escrow: Escrow,
    answer: Option<jujubewind::store::Outcome>,
}

/// Processes that spend the credit of one interval.
struct World {
    now: MonoTime,
    store: FakeStore,
    processes: Vec<Process>,
    spent: Credit,
    lost: Credit,
    faults: u32,
}

fn process() -> Process {
    Process {
        escrow: Escrow::new(interval(1)),
        answer: None,
    }
}

impl World {
    fn new(count: usize, faults: u32) -> Self {
        Self {
            now: MonoTime::from_millis(1),
            store: FakeStore::default(),
            processes: (0..count).map(|_| process()).collect(),
            spent: Credit::ZERO,
            lost: Credit::ZERO,
            faults,
        }
    }

    fn tick(&mut self, crashes: u32, rng: &mut StdRng) {
        self.now = self.now.after(Millis(rng.random_range(0..200)));
        if rng.random_ratio(1, 10) {
            self.store.deliver_late(rng);
        }
        let index = rng.random_range(0..self.processes.len());
        if rng.random_ratio(crashes, 1_000) {
            self.lost = self
                .lost
                .saturating_add(self.processes[index].escrow.balance());
            self.processes[index] = process();
        }
        if rng.random_bool(0.5) {
            self.spend(index, Credit(rng.random_range(1..2_000)));
        }
        self.exchange(index, rng);
    }

    fn spend(&mut self, index: usize, need: Credit) {
        if self.processes[index].escrow.spend(self.now, need).is_ok() {
            self.spent = self.spent.saturating_add(need);
        }
    }

    /// Delivers a pending answer to the process, or makes its next call to the store.
    fn exchange(&mut self, index: usize, rng: &mut StdRng) {
        let process = &mut self.processes[index];
        if let Some(answer) = process.answer.take() {
            return process.escrow.settle(self.now, answer);
        }
        if let Some(op) = process.escrow.poll(self.now, LeaseId(1), rng) {
            let fault = Fault::draw(rng, self.faults);
            process.answer = Some(self.store.call(&op, fault));
        }
    }

    fn drawn(&self) -> Credit {
        let entry = self.store.get(&interval(1).store_key());
        entry.map_or(Credit::ZERO, |entry| {
            Account::decode(&entry.value).expect("an account").drawn
        })
    }

    fn balances(&self) -> Credit {
        self.processes
            .iter()
            .map(|process| process.escrow.balance())
            .sum()
    }
}

fn history(seed: u64) -> World {
    let mut rng = generator(seed);
    let mut world = World::new(rng.random_range(1..8), rng.random_range(0..50));
    let crashes = rng.random_range(0..30);
    for _ in 0..STEPS {
        world.tick(crashes, &mut rng);
    }
    world
}

#[test]
fn no_history_overspends() {
    for seed in seeds(HISTORIES) {
        let world = history(seed);

        assert!(world.spent <= LIMIT, "SEED={seed}: spent {}", world.spent);
        assert!(
            world.drawn() <= LIMIT,
            "SEED={seed}: drawn {}",
            world.drawn()
        );
    }
}

#[test]
fn no_credit_is_lost_without_faults() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);
        let mut world = World::new(4, 0);

        for _ in 0..STEPS {
            world.tick(0, &mut rng);
        }
        for process in &mut world.processes {
            process.escrow.stop();
        }
        for index in (0..4).cycle().take(200) {
            world.now = world.now.after(Millis(100));
            world.exchange(index, &mut rng);
        }

        assert_eq!(world.drawn(), world.spent, "SEED={seed}");
        assert_eq!(world.balances(), Credit::ZERO, "SEED={seed}");
    }
}

#[test]
fn no_credit_is_lost_if_only_answers_are_lost() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);
        let mut world = World::new(4, 30);

        for _ in 0..STEPS {
            world.tick(0, &mut rng);
        }
        world.faults = 0;
        for index in (0..4).cycle().take(200) {
            world.now = world.now.after(Millis(100));
            world.exchange(index, &mut rng);
        }

        let accounted = world.spent.saturating_add(world.balances());
        assert_eq!(world.drawn(), accounted, "SEED={seed}");
    }
}

#[test]
fn drawn_credit_can_be_spent_in_an_outage_and_then_requests_are_refused() {
    let mut rng = generator(0);
    let mut world = World::new(1, 0);
    world.spend(0, Credit(10));
    for _ in 0..4 {
        world.exchange(0, &mut rng);
    }
    let drawn = world.processes[0].escrow.balance();

    let escrow = &mut world.processes[0].escrow;
    let first = escrow.spend(world.now, drawn);
    let second = escrow.spend(world.now, Credit(10));
    let op = escrow
        .poll(world.now, LeaseId(1), &mut rng)
        .expect("a call that draws credit");
    escrow.settle(world.now, world.store.call(&op, Fault::Down));
    let third = escrow.spend(world.now, Credit(10));

    assert!(drawn >= Credit(1_000));
    assert_eq!(first, Ok(()));
    assert_eq!(second, Err(Shortage::Drawing));
    let Err(Shortage::Refused(refusal)) = third else {
        panic!("{third:?}");
    };
    assert_eq!(refusal.reason, Reason::NoCredit);
    assert!(refusal.retry > Millis::ZERO);
}

#[test]
fn a_refusal_just_before_the_next_draw_still_has_a_retry_delay() {
    let mut rng = generator(0);
    let mut world = World::new(1, 0);
    let escrow = &mut world.processes[0].escrow;
    let drawing = escrow.spend(world.now, Credit(10));
    let op = escrow
        .poll(world.now, LeaseId(1), &mut rng)
        .expect("a call that draws credit");
    escrow.settle(world.now, world.store.call(&op, Fault::Down));

    let retries: Vec<Millis> = (1..2_000)
        .map(|millis| MonoTime::from_micros(world.now.micros() + millis * 1_000 + 500))
        .filter_map(|now| match escrow.spend(now, Credit(10)) {
            Err(Shortage::Refused(refusal)) => Some(refusal.retry),
            _ => None,
        })
        .collect();

    assert_eq!(drawing, Err(Shortage::Drawing));
    assert!(!retries.is_empty());
    assert!(retries.iter().all(|retry| *retry > Millis::ZERO));
}

#[test]
fn a_process_holds_less_than_one_slice_plus_one_need() {
    let need = Credit(2_000);
    let slice = Credit(LIMIT.get() / 32);
    for seed in seeds(HISTORIES) {
        let world = history(seed);

        for process in &world.processes {
            let balance = process.escrow.balance();
            assert!(
                balance < slice.saturating_add(need),
                "SEED={seed}: {balance}"
            );
        }
    }
}

#[test]
fn credit_of_an_ended_interval_expires() {
    let mut rng = generator(0);
    let mut world = World::new(1, 0);
    world.spend(0, Credit(10));
    for _ in 0..3 {
        world.exchange(0, &mut rng);
    }

    let escrow = &mut world.processes[0].escrow;
    escrow.renew(interval(2));
    let _ = escrow.spend(world.now, Credit(10));
    let crossing = escrow.poll(world.now, LeaseId(1), &mut rng);
    if let Some(late_answer) = world.processes[0].answer.take() {
        world.processes[0].escrow.settle(world.now, late_answer);
    }
    world.processes[0].escrow.refund(IntervalId(1), Credit(5));

    assert_eq!(crossing, None);
    assert_eq!(world.balances(), Credit::ZERO);
}

#[test]
fn idle_credit_is_returned() {
    let mut rng = generator(0);
    let mut world = World::new(1, 0);
    world.spend(0, Credit(10));
    for _ in 0..4 {
        world.exchange(0, &mut rng);
    }
    world.now = world.now.after(Millis(60_000));

    let op = world.processes[0]
        .escrow
        .poll(world.now, LeaseId(1), &mut rng);

    assert!(matches!(op, Some(Op::CompareAndSwap(_))));
    assert_eq!(world.balances(), Credit::ZERO);
}

#[test]
fn a_return_of_unknown_outcome_counts_as_spent() {
    let mut rng = generator(0);
    let mut world = World::new(2, 0);
    world.spend(0, Credit(10));
    for _ in 0..4 {
        world.exchange(0, &mut rng);
    }
    let escrow = &mut world.processes[0].escrow;
    escrow.stop();
    let op = escrow
        .poll(world.now, LeaseId(1), &mut rng)
        .expect("a call that returns credit");
    escrow.settle(world.now, world.store.call(&op, Fault::AnswerLost));

    for _ in 0..20 {
        let more = world.processes[1]
            .escrow
            .balance()
            .saturating_add(Credit(1));
        world.spend(1, more);
        for _ in 0..4 {
            world.exchange(1, &mut rng);
        }
    }
    for _ in 0..2 {
        world.exchange(0, &mut rng);
    }

    assert_eq!(world.processes[0].escrow.balance(), Credit::ZERO);
    assert_eq!(world.drawn(), world.processes[1].escrow.balance());
}
