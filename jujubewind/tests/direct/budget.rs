//! The retry budget that all entries share.

use jujubewind::direct::Budget;
use jujubewind::types::MonoTime;
use proptest::prelude::*;

use crate::fixture::at;
use crate::fixture::budget;

/// The times of retries granted to one of `entries` processes that asks for one with each request.
fn granted(entries: usize, requests: u64, spacing: u64, start: u64) -> Vec<u64> {
    let mut budget = Budget::new(budget(), MonoTime::ZERO);
    let mut times = Vec::new();
    for number in 0..requests {
        let now = start + number * spacing;
        budget.request(at(now));
        if budget.take(at(now), entries) {
            times.push(now);
        }
    }
    times
}

#[test]
fn new_process_gets_only_a_part_of_the_extra() {
    let young = granted(1, 100, 1, 0).len();
    let old = granted(1, 100, 1, 20_000).len();

    assert!(young < old, "{young} then {old}");
}

#[test]
fn a_retry_that_was_given_back_is_granted_again() {
    let mut budget = Budget::new(budget(), MonoTime::ZERO);
    let now = at(20_000);
    while budget.take(now, 1) {}

    budget.give_back(now);

    assert!(budget.take(now, 1));
    assert!(!budget.take(now, 1));
}

#[test]
fn a_retry_that_is_given_back_after_its_window_does_not_count_for_another() {
    let limits = budget();
    let mut budget = Budget::new(limits.clone(), MonoTime::ZERO);
    let first = at(20_000);
    budget.take(first, 1);
    let later = first.after(limits.window);
    while budget.take(later, 1) {}

    budget.give_back(first);

    assert!(!budget.take(later, 1));
}

proptest! {
    #[test]
    fn all_entries_together_stay_within_the_budget_in_every_window(
        entries in 1_usize..30,
        requests in 1_u64..400,
        spacing in 1_u64..300,
    ) {
        let times = granted(entries, requests, spacing, 60_000);

        let limits = budget();
        let window = limits.window.get();
        for from in &times {
            let inside = |time: &&u64| **time >= *from && **time < from + window;
            let retries = times.iter().filter(inside).count() as u64;
            let sent = (window / spacing + 1).min(requests);
            let entries = entries as u64;
            let allowed = entries * sent * limits.share / 1_000 + limits.extra;
            prop_assert!(retries * entries <= allowed, "{retries} of {entries} entries, {allowed} allowed");
        }
    }
}
