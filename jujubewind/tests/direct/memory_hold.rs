//! When memory that an engine holds for a request is given up.

use jujubewind::direct::BootTime;
use jujubewind::direct::MemoryHold;
use jujubewind::direct::Order;
use jujubewind::direct::OrderReply;
use jujubewind::direct::ReservationLimits;
use jujubewind::direct::Step;
use jujubewind::types::Millis;

const LIMITS: ReservationLimits = ReservationLimits {
    hold: Millis(3_500),
    renewal: Millis(1_166),
    max_idle: Millis(7_200),
    idle_renewals: Millis(5_000),
    max_lateness: Millis(12_500),
    retry: Millis(200),
    recheck: Millis(1_000),
};

fn boot(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

/// A renewal saves the memory only if it was carried out before the hold was over.
#[test]
fn memory_in_use_is_given_up_only_once_no_renewal_can_have_kept_it() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();

    hold.record(
        boot(1_700),
        boot(1_200),
        Order::Reserve,
        OrderReply::Missing,
    );
    hold.record(
        boot(3_500),
        boot(3_480),
        Order::Reserve,
        OrderReply::Refused,
    );

    assert_eq!(hold.step(boot(7_019)), Step::Send(Order::Reserve));
    assert_eq!(hold.step(boot(7_020)), Step::Lost);
}

#[test]
fn memory_in_use_is_not_given_up_while_renewal_after_renewal_is_unanswered() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();

    for sent in (1_200..40_000).step_by(700) {
        assert_eq!(hold.step(boot(sent)), Step::Send(Order::Reserve));
        hold.record(
            boot(sent + 500),
            boot(sent),
            Order::Reserve,
            OrderReply::Missing,
        );
    }
}

/// Such a renewal would reserve memory for a request that its engine has cut off.
#[test]
fn memory_that_surely_expired_during_a_freeze_is_not_renewed_after_an_unanswered_renewal() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();
    hold.record(
        boot(1_700),
        boot(1_200),
        Order::Reserve,
        OrderReply::Missing,
    );

    let frozen_past_expiry = hold.step(boot(10_000));

    assert_eq!(frozen_past_expiry, Step::Lost);
}

#[test]
fn memory_in_use_is_lost_once_its_hold_is_over_and_no_renewal_was_carried_out() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();
    hold.record(
        boot(1_700),
        boot(1_200),
        Order::Reserve,
        OrderReply::Missing,
    );
    hold.record(boot(1_920), boot(1_900), Order::Reserve, OrderReply::Done);

    hold.record(
        boot(3_120),
        boot(3_100),
        Order::Reserve,
        OrderReply::Refused,
    );

    assert_eq!(hold.step(boot(3_320)), Step::Send(Order::Reserve));
    assert_eq!(hold.step(boot(5_500)), Step::Lost);
}

#[test]
fn memory_in_use_is_lost_once_its_engine_has_restarted() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();

    hold.record(
        boot(1_220),
        boot(1_200),
        Order::Reserve,
        OrderReply::Restarted,
    );

    assert_eq!(hold.step(boot(1_220)), Step::Ended);
}

#[test]
fn unused_memory_is_not_given_up_while_a_renewal_may_have_been_carried_out() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);

    hold.record(
        boot(1_700),
        boot(1_200),
        Order::Reserve,
        OrderReply::Missing,
    );

    assert_eq!(hold.step(boot(3_520)), Step::Send(Order::Reserve));
    assert_eq!(hold.step(boot(7_019)), Step::Send(Order::Reserve));
    assert_eq!(hold.step(boot(7_020)), Step::Lost);
}

#[test]
fn unused_memory_is_given_up_at_the_end_of_its_hold_if_no_renewal_was_carried_out() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);

    hold.record(
        boot(1_220),
        boot(1_200),
        Order::Reserve,
        OrderReply::Refused,
    );

    assert_eq!(hold.step(boot(3_519)), Step::Send(Order::Reserve));
    assert_eq!(hold.step(boot(3_520)), Step::Lost);
}

#[test]
fn unused_memory_is_given_up_in_time_while_renewals_are_unanswered() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    for sent in [1_200, 3_000, 5_000, 7_000] {
        hold.record(
            boot(sent + 100),
            boot(sent),
            Order::Reserve,
            OrderReply::Missing,
        );
    }

    assert_eq!(hold.step(boot(7_199)), Step::Sleep(Millis(1)));
    assert_eq!(hold.step(boot(7_200)), Step::Lost);
}

/// The order may have been written only after the freeze, long after it was decided on.
#[test]
fn memory_that_was_reserved_right_after_a_freeze_is_released() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();
    hold.record(boot(6_020), boot(1_200), Order::Reserve, OrderReply::Done);

    hold.end(boot(6_030));

    assert_eq!(hold.step(boot(6_030)), Step::Send(Order::Release));
}

#[test]
fn memory_that_may_be_reserved_long_after_a_freeze_is_released_until_then() {
    let mut hold = MemoryHold::new(boot(0), LIMITS);
    hold.record(boot(20), boot(0), Order::Reserve, OrderReply::Done);
    hold.mark_used();
    hold.record(
        boot(6_000),
        boot(1_200),
        Order::Reserve,
        OrderReply::Missing,
    );

    hold.end(boot(6_030));
    hold.record(boot(18_000), boot(17_980), Order::Release, OrderReply::Done);

    assert_eq!(hold.step(boot(19_000)), Step::Send(Order::Release));
}
