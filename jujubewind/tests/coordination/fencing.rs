//! Orders to engines: an old one has no effect.

use jujubewind::fencing::Enforcement;
use jujubewind::fencing::Order;
use jujubewind::fencing::OrderGate;
use jujubewind::lease::LeaseHolder;
use jujubewind::lease::LeaseTerms;
use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::types::Fence;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

use crate::fake_store::FakeStore;
use crate::fake_store::Fault;
use crate::lease::drive;
use crate::lease::lease;

const TTL: Millis = Millis(10_000);
const START: MonoTime = MonoTime::from_millis(1);

/// An engine that runs orders, and refuses old numbers if it is one of those.
struct Engine {
    enforcement: Enforcement,
    highest: Fence,
    ran: Vec<Fence>,
}

impl Engine {
    fn new(enforcement: Enforcement) -> Self {
        Self {
            enforcement,
            highest: Fence::ZERO,
            ran: Vec::new(),
        }
    }

    fn take(&mut self, number: Fence) {
        if self.enforcement == Enforcement::Refuses && number < self.highest {
            return;
        }
        self.highest = self.highest.max(number);
        self.ran.push(number);
    }
}

fn agent(incarnation: u64, store: &mut FakeStore, now: MonoTime) -> LeaseHolder {
    let node = "agent-1".parse().expect("a name");
    let terms = LeaseTerms::with_ttl(TTL);
    let mut agent = LeaseHolder::new("engine-1", node, Incarnation(incarnation), terms);
    drive(&mut agent, store, now);
    agent
}

fn order(leader: &LeaseHolder, now: MonoTime) -> Order {
    Order {
        fence: leader.valid_fence(now).expect("the leader holds its lease"),
        remaining: leader.remaining(now),
    }
}

/// Hands an order through the gate to the engine; the agent pauses for `pause` before the end.
fn give(
    order: &Order,
    gate: &mut OrderGate,
    store: &mut FakeStore,
    agent: &LeaseHolder,
    engine: &mut Engine,
    now: MonoTime,
) -> Result<(), Refusal> {
    let read = gate.begin_check(order)?;
    let outcome = store.call(&read, Fault::None);
    let cleared = gate.authorize(now, order, &outcome)?;
    engine.take(cleared.engine_fence(now, agent, engine.enforcement)?);
    Ok(())
}

#[test]
fn a_leader_that_lost_its_lease_gives_no_effective_order() {
    for enforcement in [Enforcement::Refuses, Enforcement::Ignores] {
        let mut store = FakeStore::default();
        let (mut first, mut second) = (lease(0, 1), lease(1, 1));
        drive(&mut first, &mut store, START);
        drive(&mut second, &mut store, START);
        let old = order(&first, START);
        let later = START.after(TTL);
        drive(&mut second, &mut store, later);
        let agent = agent(1, &mut store, later);
        let mut gate = OrderGate::new(first.key().clone());
        let mut engine = Engine::new(enforcement);

        let refused = give(&old, &mut gate, &mut store, &agent, &mut engine, later);

        assert_eq!(
            refused.map_err(|refusal| refusal.reason),
            Err(Reason::StaleFence)
        );
        assert!(engine.ran.is_empty(), "{enforcement}");
    }
}

#[test]
fn a_restarted_agent_still_refuses_the_old_leader() {
    let mut store = FakeStore::default();
    let (mut first, mut second) = (lease(0, 1), lease(1, 1));
    drive(&mut first, &mut store, START);
    drive(&mut second, &mut store, START);
    let old = order(&first, START);
    let later = START.after(TTL);
    drive(&mut second, &mut store, later);
    let mut engine = Engine::new(Enforcement::Refuses);
    let mut gate = OrderGate::new(first.key().clone());
    let before = agent(1, &mut store, later);
    let new = order(&second, later);
    give(&new, &mut gate, &mut store, &before, &mut engine, later).expect("the leader's order");

    let after = later.after(TTL).after(TTL);
    let mut fresh = OrderGate::new(first.key().clone());
    let mut restarted = agent(2, &mut store, later);
    drive(&mut restarted, &mut store, after);
    let refused = give(&old, &mut fresh, &mut store, &restarted, &mut engine, after);

    assert!(refused.is_err());
    assert_eq!(engine.ran.len(), 1);
}

#[test]
fn an_agent_that_was_replaced_while_paused_gives_no_effective_order() {
    for enforcement in [Enforcement::Refuses, Enforcement::Ignores] {
        let mut store = FakeStore::default();
        let mut leader = lease(0, 1);
        drive(&mut leader, &mut store, START);
        let paused = agent(1, &mut store, START);
        let mut gate = OrderGate::new(leader.key().clone());
        let order = Order {
            fence: Fence(1),
            remaining: Millis(60_000),
        };
        let read = gate.begin_check(&order).expect("no later order came");
        let outcome = store.call(&read, Fault::None);
        let cleared = gate.authorize(START, &order, &outcome).expect("it leads");
        let later = START.after(TTL);
        let mut heir = agent(2, &mut store, START);
        drive(&mut heir, &mut store, later);
        let mut engine = Engine::new(enforcement);
        let mut other = OrderGate::new(leader.key().clone());
        give(&order, &mut other, &mut store, &heir, &mut engine, later).expect("the heir may");

        if let Ok(number) = cleared.engine_fence(later, &paused, enforcement) {
            engine.take(number);
        }

        assert_eq!(engine.ran.len(), 1, "{enforcement}");
    }
}

#[test]
fn without_the_store_there_is_no_order() {
    let mut store = FakeStore::default();
    let mut leader = lease(0, 1);
    drive(&mut leader, &mut store, START);
    let order = order(&leader, START);
    let mut gate = OrderGate::new(leader.key().clone());

    let read = gate.begin_check(&order).expect("no later order came");
    let judged = gate.authorize(START, &order, &store.call(&read, Fault::Down));

    assert_eq!(
        judged.map_err(|refusal| refusal.reason),
        Err(Reason::StoreDown)
    );
}
