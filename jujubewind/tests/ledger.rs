//! The ledger of memory reservations of one engine.

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
const SHORT_MEMORY: Tokens = Tokens(200);

#[derive(Clone, Debug)]
enum Event {
    Promise(u128, u64, bool),
    SetAside(u128),
    Submit(u128),
    Deallocate(u128),
    Renew(u128),
    Release(u128),
    Expire,
    Reconcile(Vec<u128>),
}

fn ledger() -> Ledger {
    Ledger::new(CAPACITY, SHORT_MEMORY, Tokens(3_000))
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
        id.clone().prop_map(Event::SetAside),
        id.clone().prop_map(Event::Submit),
        id.clone().prop_map(Event::Deallocate),
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
        Event::SetAside(id) => {
            ledger.allocate(attempt(*id), ReservationState::SetAside);
        }
        Event::Submit(id) => {
            ledger.allocate(attempt(*id), ReservationState::InEngine);
        }
        Event::Deallocate(id) => ledger.deallocate(attempt(*id)),
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
    fn no_sequence_of_events_leaks_memory(
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
        prop_assert_eq!(ledger.available(true), CAPACITY.saturating_sub(SHORT_MEMORY));
        prop_assert_eq!(ledger.promised(), Tokens::ZERO);
    }
}

#[test]
fn long_jobs_cannot_use_the_memory_reserved_for_short_ones() {
    let mut ledger = ledger();
    let until = MonoTime::from_millis(1_000);
    ledger
        .promise(attempt(1), Tokens(700), true, until)
        .expect("enough memory");
    ledger
        .promise(attempt(2), Tokens(200), true, until)
        .expect("enough memory");
    ledger
        .promise(attempt(3), Tokens(200), false, until)
        .expect("enough memory");

    let long = ledger.allocate(attempt(1), ReservationState::InEngine);
    let second = ledger.allocate(attempt(2), ReservationState::InEngine);
    let short = ledger.allocate(attempt(3), ReservationState::InEngine);

    assert!(long && short && !second);
}

#[test]
fn a_promise_that_can_never_fit_is_refused_as_too_long() {
    let mut ledger = ledger();

    let refused = ledger.promise(attempt(1), Tokens(801), true, MonoTime::NEVER);

    assert_eq!(
        refused.map_err(|refusal| refusal.reason),
        Err(Reason::PromptTooLong)
    );
}

#[test]
fn memory_of_an_expired_attempt_stays_used_until_the_engine_drops_the_sequence() {
    let mut ledger = ledger();
    let until = MonoTime::from_millis(10);
    ledger
        .promise(attempt(1), Tokens(500), false, until)
        .expect("enough memory");
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
fn a_sequence_without_a_reservation_is_an_orphan() {
    let mut ledger = ledger();

    let audit = ledger.reconcile(&listing(&[7]), |_| true);

    assert_eq!(audit.orphans, vec![attempt(7)]);
}

#[test]
fn a_listed_attempt_with_a_reservation_in_any_state_is_no_orphan() {
    let states = [
        ReservationState::Promised,
        ReservationState::SetAside,
        ReservationState::InEngine,
    ];
    for state in states {
        let mut ledger = ledger();
        ledger
            .promise(attempt(7), Tokens(500), true, MonoTime::NEVER)
            .expect("enough memory");
        ledger.allocate(attempt(7), state);

        let audit = ledger.reconcile(&listing(&[7]), |_| true);

        assert_eq!(audit.orphans, vec![], "{state:?}");
        assert_eq!(ledger.state(attempt(7)), Some(state));
    }
}
