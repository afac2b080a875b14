//! Fencing of orders to engines: an outdated order has no effect.

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

/// An engine that runs orders, and refuses outdated fences if its `enforcement` says so.
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

    fn run(&mut self, fence: Fence) {
        if self.enforcement == Enforcement::Refuses && fence < self.highest {
            return;
        }
        self.highest = self.highest.max(fence);
        self.ran.push(fence);
    }
}

fn agent(incarnation: u64, store: &mut FakeStore, now: MonoTime) -> LeaseHolder {
    let node = "agent-1".parse().expect("valid name");
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

/// Passes an order through the gate to the engine.
fn submit(
    order: &Order,
    gate: &mut OrderGate,
    store: &mut FakeStore,
    agent: &LeaseHolder,
    engine: &mut Engine,
    now: MonoTime,
) -> Result<(), Refusal> {
    let read = gate.begin_check(order)?;
    let outcome = store.call(&read, Fault::None);
    let authorized = gate.authorize(now, order, &outcome)?;
    engine.run(authorized.engine_fence(now, agent, engine.enforcement)?);
    Ok(())
}

#[test]
fn an_order_of_a_leader_that_lost_its_lease_has_no_effect() {
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

        let refused = submit(&old, &mut gate, &mut store, &agent, &mut engine, later);

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
    let first_agent = agent(1, &mut store, later);
    let new = order(&second, later);
    submit(
        &new,
        &mut gate,
        &mut store,
        &first_agent,
        &mut engine,
        later,
    )
    .expect("the new leader's order is accepted");

    let after = later.after(TTL).after(TTL);
    let mut new_gate = OrderGate::new(first.key().clone());
    let mut restarted = agent(2, &mut store, later);
    drive(&mut restarted, &mut store, after);
    let refused = submit(
        &old,
        &mut new_gate,
        &mut store,
        &restarted,
        &mut engine,
        after,
    );

    assert!(refused.is_err());
    assert_eq!(engine.ran.len(), 1);
}

#[test]
fn an_order_of_an_agent_that_was_replaced_while_paused_has_no_effect() {
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
        let read = gate.begin_check(&order).expect("no newer order was seen");
        let outcome = store.call(&read, Fault::None);
        let authorized = gate
            .authorize(START, &order, &outcome)
            .expect("the leader holds its lease");
        let later = START.after(TTL);
        let mut successor = agent(2, &mut store, START);
        drive(&mut successor, &mut store, later);
        let mut engine = Engine::new(enforcement);
        let mut successor_gate = OrderGate::new(leader.key().clone());
        submit(
            &order,
            &mut successor_gate,
            &mut store,
            &successor,
            &mut engine,
            later,
        )
        .expect("the successor holds the lease");

        if let Ok(fence) = authorized.engine_fence(later, &paused, enforcement) {
            engine.run(fence);
        }

        assert_eq!(engine.ran.len(), 1, "{enforcement}");
    }
}

#[test]
fn an_order_is_refused_while_the_store_is_down() {
    let mut store = FakeStore::default();
    let mut leader = lease(0, 1);
    drive(&mut leader, &mut store, START);
    let order = order(&leader, START);
    let mut gate = OrderGate::new(leader.key().clone());

    let read = gate.begin_check(&order).expect("no newer order was seen");
    let result = gate.authorize(START, &order, &store.call(&read, Fault::Down));

    assert_eq!(
        result.map_err(|refusal| refusal.reason),
        Err(Reason::StoreDown)
    );
}
