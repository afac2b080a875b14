//! Every short history of one reservation: memory is never left set aside.
//!
//! Orders are refused, lost, answered to nobody or carried out seconds later; the request ends,
//! begins to use the memory or doesn't, and the machine freezes, each at several moments.

mod history;

use jujubewind::direct::MemoryHold;
use jujubewind::direct::Order;
use jujubewind::direct::OrderReply;
use jujubewind::direct::Step;

use self::history::History;
use self::history::LIMITS;
use self::history::boot;
use self::history::histories;
use self::history::silences;
use self::history::silent_engines;

/// How long memory may stay reserved after its request, by the platform's pages.
const FREE_MILLIS: u64 = 4_000;
/// How long memory may stay reserved without being used, by the platform's pages.
const IDLE_MILLIS: u64 = 9_000;

#[test]
fn memory_is_free_soon_after_its_request_in_every_history() {
    for history in histories().into_iter().chain(silent_engines()) {
        let outcome = history.play();

        for (from, until) in outcome.spans() {
            let after = until.saturating_sub(from.max(outcome.ended));
            assert!(after < FREE_MILLIS, "{after} ms: {history:?} {outcome:?}");
        }
    }
}

#[test]
fn unused_memory_is_given_up_in_time_in_every_history() {
    let unused = histories().into_iter().filter(|one| one.used.is_none());
    for history in unused {
        let outcome = history.play();

        for (from, until) in outcome.spans() {
            let idle = until - from;
            assert!(idle < IDLE_MILLIS, "{idle} ms: {history:?} {outcome:?}");
        }
    }
}

#[test]
fn unused_memory_is_given_up_in_time_while_its_engine_is_silent() {
    for history in silent_engines()
        .into_iter()
        .filter(|one| one.used.is_none())
    {
        let outcome = history.play();

        for (from, until) in outcome.spans() {
            let idle = until - from;
            assert!(idle < IDLE_MILLIS, "{idle} ms: {history:?} {outcome:?}");
        }
    }
}

#[test]
fn no_order_sets_memory_aside_after_the_reservation_has_ended() {
    for history in histories().into_iter().chain(silent_engines()) {
        let outcome = history.play();

        let last = outcome.carried_out.iter().rfind(|(_, reserves)| *reserves);
        assert!(
            last.is_none_or(|(at, _)| *at <= outcome.done),
            "{history:?} {outcome:?}"
        );
    }
}

#[test]
fn memory_in_use_is_held_without_a_gap_while_orders_are_answered() {
    let calm = |history: &History| history.faults.is_empty() && history.frozen.is_none();
    let used = |history: &History| history.used == Some(300);
    for history in histories().into_iter().filter(|one| calm(one) && used(one)) {
        let outcome = history.play();

        let spans = outcome.spans();
        assert_eq!(spans.len(), 1, "{history:?} {outcome:?}");
        assert!(spans[0].1 >= history.ends, "{history:?} {outcome:?}");
    }
}

#[test]
fn memory_that_expired_during_a_freeze_is_not_reserved_anew() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();

    let frozen_past_expiry = hold.step(boot(5_000));

    assert_eq!(frozen_past_expiry, Step::Lost);
}

#[test]
fn memory_of_a_request_that_its_engine_cut_off_is_free_soon_in_every_history() {
    let silent = silences().into_iter().chain(silent_engines());
    for mut history in histories().into_iter().chain(silent) {
        history.sees_cut = true;

        let outcome = history.play();

        let cut = outcome.cut.unwrap_or(outcome.ended);
        for (from, until) in outcome.spans() {
            let after = until.saturating_sub(from.max(cut));
            assert!(after < FREE_MILLIS, "{after} ms: {history:?} {outcome:?}");
        }
    }
}
