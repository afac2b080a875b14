//! The memory of bodies that are held until they are whole.

use std::sync::Arc;

use jujubewind::conviction::Fingerprint;
use jujubewind::http::BodyBudget;
use jujubewind::http::HeldBody;
use jujubewind::types::Bytes;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

const LIMIT: usize = 1_000_000;
const BLOCK: [u8; 10_000] = [0; 10_000];
const START: MonoTime = MonoTime::ZERO;

fn budget() -> Arc<BodyBudget> {
    BodyBudget::new(Bytes(LIMIT as u64))
}

fn fill(body: &mut HeldBody, now: MonoTime, blocks: usize) -> bool {
    (0..blocks).all(|_| body.push(now, &BLOCK))
}

fn later(millis: u64) -> MonoTime {
    START.after(Millis(millis))
}

/// The sum of many endless bodies had no bound, only each of them.
#[test]
fn endless_bodies_end_before_their_sum_exceeds_the_limit() {
    let budget = budget();
    let mut bodies: Vec<_> = (0..50).map(|_| budget.begin_response(START)).collect();
    let mut peak = 0;

    for _ in 0..200 {
        bodies.retain_mut(|body| body.push(START, &BLOCK));
        peak = peak.max(budget.used());
    }

    assert!(bodies.is_empty());
    assert!(peak <= LIMIT, "{peak}");
    assert_eq!(budget.used(), 0);
}

/// Each body was allowed an equal share among those that had begun so far, so that bodies of falling
/// sizes took several times the limit.
#[test]
fn bodies_of_falling_sizes_stay_within_the_limit() {
    let budget = budget();
    let mut bodies = Vec::new();

    for number in 1..=100 {
        let mut body = budget.begin_request(START);
        while body.len() + BLOCK.len() < LIMIT / number && body.push(START, &BLOCK) {}
        bodies.push(body);
    }

    let used = budget.used();
    assert!(used <= LIMIT, "{used}");
}

#[test]
fn small_body_goes_on_while_large_ones_exceed_the_limit() {
    let budget = budget();
    let mut large = budget.begin_request(START);
    let mut response = budget.begin_response(START);
    let mut small = budget.begin_request(START);
    let is_large_allowed = fill(&mut large, START, 200);
    let is_response_allowed = fill(&mut response, START, 200);

    let is_small_allowed = small.push(START, &BLOCK);

    assert!(!is_large_allowed);
    assert!(!is_response_allowed);
    assert!(is_small_allowed);
}

#[test]
fn response_finds_room_beside_large_requests() {
    let budget = budget();
    let mut requests: Vec<_> = (0..2).map(|_| budget.begin_request(START)).collect();
    let filled = requests.iter_mut().map(|body| fill(body, START, 200));
    let refused = filled.filter(|is_allowed| !is_allowed).count();
    let mut response = budget.begin_response(START);

    let is_response_allowed = fill(&mut response, START, 10);

    assert_eq!(refused, 2);
    assert!(is_response_allowed);
}

#[test]
fn request_that_stopped_to_arrive_makes_room() {
    let budget = budget();
    let mut stalled = budget.begin_request(START);
    let is_stalled_allowed = fill(&mut stalled, START, 60);
    let mut other = budget.begin_request(later(1_500));

    let is_other_allowed = fill(&mut other, later(1_500), 60);

    assert!(is_stalled_allowed);
    assert!(is_other_allowed);
    assert!(!stalled.push(later(1_500), &BLOCK));
    assert!(stalled.finish().is_none());
    assert!(budget.used() <= LIMIT);
}

#[test]
fn request_that_still_arrives_makes_no_room() {
    let budget = budget();
    let mut arriving = budget.begin_request(START);
    let is_arriving_allowed = fill(&mut arriving, later(900), 60);
    let mut other = budget.begin_request(later(1_500));

    let is_other_allowed = fill(&mut other, later(1_500), 60);
    drop(other);

    assert!(is_arriving_allowed);
    assert!(!is_other_allowed);
    assert!(arriving.push(later(1_500), &BLOCK));
}

#[test]
fn body_is_counted_until_its_last_bytes_are_dropped() {
    let budget = budget();
    let mut body = budget.begin_request(START);
    let is_allowed = fill(&mut body, START, 5);

    let whole = body.finish().expect("it is whole");
    let copy = whole.clone();
    drop(whole);
    let held = budget.used();
    let bytes = copy.to_vec();
    drop(copy);

    assert!(is_allowed);
    assert_eq!(bytes.len(), 5 * BLOCK.len());
    assert!(held >= 5 * BLOCK.len());
    assert_eq!(budget.used(), 0);
}

/// Bodies in segments have the fingerprints that they had in one piece.
#[test]
fn body_in_segments_has_the_fingerprint_of_its_bytes() {
    let budget = budget();
    let mut body = budget.begin_request(START);
    let is_allowed = fill(&mut body, START, 5);
    let whole = body.finish().expect("it is whole");

    let segmented = Fingerprint::of_body(&[b"POST"], whole.segments());

    assert!(is_allowed);
    let bytes = whole.to_vec();
    let expected = Fingerprint::of_parts(&[b"POST", &bytes]);
    assert_eq!(segmented, expected);
}
