//! The memory of responses that are held until they are whole.

use jujubewind::http::BodyBudget;

const LIMIT: usize = 1_000_000;
const BLOCK: [u8; 10_000] = [0; 10_000];

/// The sum of many endless bodies had no bound, only each of them.
#[test]
fn endless_bodies_end_before_their_sum_exceeds_the_limit_by_far() {
    let budget = BodyBudget::new(LIMIT);
    let mut bodies: Vec<_> = (0..50).map(|_| budget.begin()).collect();
    let mut peak = 0;

    for _ in 0..200 {
        bodies.retain_mut(|body| body.push(&BLOCK));
        peak = peak.max(budget.used());
    }

    assert!(bodies.is_empty());
    assert!(peak <= 2 * LIMIT, "{peak}");
    assert_eq!(budget.used(), 0);
}

#[test]
fn small_body_goes_on_while_large_ones_exceed_the_limit() {
    let budget = BodyBudget::new(LIMIT);
    let mut large = budget.begin();
    let mut small = budget.begin();
    let is_large_allowed = (0..200).all(|_| large.push(&BLOCK));

    let is_small_allowed = small.push(&BLOCK);

    assert!(!is_large_allowed);
    assert!(is_small_allowed);
}

#[test]
fn body_is_counted_until_its_last_bytes_are_dropped() {
    let budget = BodyBudget::new(LIMIT);
    let mut body = budget.begin();
    let is_allowed = body.push(&BLOCK);

    let bytes = body.finish();
    let held = budget.used();
    drop(bytes);

    assert!(is_allowed);
    assert!(held >= BLOCK.len());
    assert_eq!(budget.used(), 0);
}
