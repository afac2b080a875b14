//! How long connections may be idle while the limit changes.

use jujubewind::http::IdleLimits;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

const SHORT: Millis = Millis(2_000);
const LONG: Millis = Millis(10_000);

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn an_idle_period_ends_after_the_limit() {
    let limits = IdleLimits::new(SHORT);

    assert_eq!(limits.expiry(at(500)), at(2_500));
}

#[test]
fn a_raised_limit_applies_to_a_period_that_has_begun() {
    let mut limits = IdleLimits::new(SHORT);

    limits.set(at(1_000), LONG);

    assert_eq!(limits.expiry(at(500)), at(10_500));
}

#[test]
fn a_lowered_limit_applies_only_to_periods_that_begin_later() {
    let mut limits = IdleLimits::new(LONG);

    limits.set(at(1_000), SHORT);

    assert_eq!(limits.expiry(at(500)), at(10_500));
    assert_eq!(limits.expiry(at(1_001)), at(3_001));
}

#[test]
fn a_period_keeps_the_longest_of_all_limits_since_it_began() {
    let mut limits = IdleLimits::new(SHORT);

    limits.set(at(1_000), LONG);
    limits.set(at(1_200), SHORT);
    limits.set(at(1_400), Millis(1_000));

    assert_eq!(limits.expiry(at(500)), at(10_500));
    assert_eq!(limits.expiry(at(1_300)), at(3_300));
    assert_eq!(limits.expiry(at(1_500)), at(2_500));
}

#[test]
fn a_limit_is_kept_as_long_as_a_period_may_rely_on_it() {
    let mut limits = IdleLimits::new(LONG);
    limits.set(at(1_000), SHORT);

    limits.set(at(10_999), Millis(1_000));
    let relied_on = limits.expiry(at(1_000));
    limits.set(at(11_000), SHORT);
    let forgotten = limits.expiry(at(1_000));

    assert_eq!((relied_on, forgotten), (at(11_000), at(3_000)));
}
