//! The memory ledger of one engine.

use jujubewind::refusal::Reason;
use jujubewind::scheduler::Ledger;
use jujubewind::scheduler::ListedSequence;
use jujubewind::scheduler::ReservationState;
use jujubewind::types::AttemptId;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

const CAPACITY: Tokens = Tokens(1_000);
const GUARD: Tokens = Tokens(200);

#[derive(Clone, Debug)]
enum Event {
    Promise(u128, u64, bool),
    Aside(u128),
    Submit(u128),
    GiveBack(u128),
    Renew(u128),
    Release(u128),
    Expire,
    Reconcile(Vec<u128>),
}

fn ledger() -> Ledger {
    Ledger::new(CAPACITY, GUARD, Tokens(3_000))
}

fn attempt(number: u128) -> AttemptId {
    AttemptId::from_number(number)
}

fn listing(numbers: &[u128]) -> Vec<ListedSequence> {
    let listed = |&number: &u128| ListedSequence {
        attempt: attempt(number),
        held: Tokens(1),
    };
    numbers.iter().map(listed).collect()
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0..8_u128;
    prop_oneof![
        (id.clone(), 1..600_u64, any::<bool>())
            .prop_map(|(id, size, long)| { Event::Promise(id, size, long) }),
        id.clone().prop_map(Event::Aside),
        id.clone().prop_map(Event::Submit),
        id.clone().prop_map(Event::GiveBack),
        id.clone().prop_map(Event::Renew),
        id.clone().prop_map(Event::Release),
        proptest::strategy::Just(Event::Expire),
        proptest::collection::vec(id, 0..8).prop_map(Event::Reconcile),
    ]
}

fn apply(ledger: &mut Ledger, now: MonoTime, event: &Event) {
    let until = now.after(Millis(30));
    match event {
        Event::Promise(id, size, long) => {
            let _ = ledger.promise(attempt(*id), Tokens(*size), *long, until);
        }
        Event::Aside(id) => {
            ledger.allocate(attempt(*id), ReservationState::SetAside);
        }
        Event::Submit(id) => {
            ledger.allocate(attempt(*id), ReservationState::InEngine);
        }
        Event::GiveBack(id) => ledger.deallocate(attempt(*id)),
        Event::Renew(id) => {
            ledger.renew(attempt(*id), until);
        }
        Event::Release(id) => {
            ledger.release(attempt(*id));
        }
        Event::Expire => {
            ledger.expire(now, Millis(30));
        }
        Event::Reconcile(ids) => {
            ledger.reconcile(&listing(ids), |_| true);
        }
    }
}

proptest! {
    #[test]
    fn free_memory_returns_to_the_start_after_any_history(
        events in proptest::collection::vec((event(), 0..20_u64), 0..200),
    ) {
        let mut ledger = ledger();
        let mut now = MonoTime::ZERO;

        for (event, wait) in &events {
            now = now.after(Millis(*wait));
            apply(&mut ledger, now, event);
            prop_assert!(ledger.used() <= CAPACITY);
            prop_assert!(ledger.available(true) <= ledger.available(false));
        }
        ledger.reconcile(&[], |_| true);
        ledger.expire(now.after(Millis(60)), Millis(30));

        prop_assert_eq!(ledger.available(false), CAPACITY);
        prop_assert_eq!(ledger.available(true), CAPACITY.saturating_sub(GUARD));
        prop_assert_eq!(ledger.promised(), Tokens::ZERO);
    }
}

#[test]
fn long_work_leaves_the_guard_to_short_work() {
    let mut ledger = ledger();
    let until = MonoTime::from_millis(1_000);
    ledger
        .promise(attempt(1), Tokens(700), true, until)
        .expect("room");
    ledger
        .promise(attempt(2), Tokens(200), true, until)
        .expect("room");
    ledger
        .promise(attempt(3), Tokens(200), false, until)
        .expect("room");

    let long = ledger.allocate(attempt(1), ReservationState::InEngine);
    let second = ledger.allocate(attempt(2), ReservationState::InEngine);
    let short = ledger.allocate(attempt(3), ReservationState::InEngine);

    assert!(long && short && !second);
}

#[test]
fn what_could_never_fit_is_refused_for_good() {
    let mut ledger = ledger();

    let refused = ledger.promise(attempt(1), Tokens(801), true, MonoTime::NEVER);

    assert_eq!(
        refused.map_err(|refusal| refusal.reason),
        Err(Reason::PromptTooLong)
    );
}

#[test]
fn memory_in_the_engine_outlives_its_renewals_until_the_engine_lets_go() {
    let mut ledger = ledger();
    let until = MonoTime::from_millis(10);
    ledger
        .promise(attempt(1), Tokens(500), false, until)
        .expect("room");
    ledger.allocate(attempt(1), ReservationState::InEngine);

    let due = ledger.expire(until, Millis(30));
    let used = ledger.used();
    let audit = ledger.reconcile(&[], |_| true);

    assert_eq!(due, vec![attempt(1)]);
    assert_eq!(used, Tokens(500));
    assert_eq!(audit.lost, vec![attempt(1)]);
    assert_eq!(ledger.used(), Tokens::ZERO);
}

#[test]
fn what_only_the_engine_knows_is_a_stray() {
    let mut ledger = ledger();

    let audit = ledger.reconcile(&listing(&[7]), |_| true);

    assert_eq!(audit.orphans, vec![attempt(7)]);
}
