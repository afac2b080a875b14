//! Placement of prompts on engines and of calls on plain services.

use jujubewind::direct::Candidate;
use jujubewind::direct::EnginePlan;
use jujubewind::direct::Job;
use jujubewind::direct::Placement;
use jujubewind::direct::place_plain;
use jujubewind::scheduler::Work;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;

use crate::fixture::assignment;
use crate::fixture::at;
use crate::fixture::candidates;
use crate::fixture::domain;
use crate::fixture::engine;
use crate::fixture::job;

/// The longest pass beside a request with a `max_gap` of 250 ms.
const MAX_PASS: Work = Work(250_000);

fn undisruptive(job: &Job, candidates: &[Candidate]) -> Option<Placement> {
    let (engine, domain) = (engine(), domain("zone-a"));
    EnginePlan::new(&engine, job, candidates, &domain).undisruptive()
}

fn least_disruptive(
    job: &Job,
    candidates: &[Candidate],
    left: u64,
    max_disrupted: u64,
) -> Option<Placement> {
    let (engine, domain) = (engine(), domain("zone-a"));
    let plan = EnginePlan::new(&engine, job, candidates, &domain);
    plan.least_disruptive(Work(left * 1_000), max_disrupted)
}

#[test]
fn short_prompts_are_packed_on_one_engine() {
    let fleet = candidates(&[vec![], vec![assignment(1, 0, true)], vec![]]);

    let placement = undisruptive(&job(9, 5_000), &fleet).expect("there is room");

    assert_eq!(placement.primary.id.as_str(), "s01");
    assert!(placement.helpers.is_empty());
}

#[test]
fn short_prompt_avoids_an_engine_whose_pass_is_full() {
    let busy = vec![assignment(1, 60, true), assignment(2, 60, true)];
    let fleet = candidates(&[busy, vec![]]);

    let placement = undisruptive(&job(9, 5_000), &fleet).expect("there is room");

    assert_eq!(placement.primary.id.as_str(), "s01");
}

#[test]
fn long_prompt_avoids_engines_with_latency_sensitive_requests() {
    let mut assignments = vec![vec![]; 10];
    assignments.extend([vec![assignment(1, 0, true)], vec![assignment(2, 0, true)]]);
    let fleet = candidates(&assignments);

    let placement = undisruptive(&job(9, 182_000), &fleet).expect("there is room");

    let sensitive = ["s10", "s11"];
    let all = placement.helpers.iter().map(|helper| &helper.server);
    let ids: Vec<&str> = all
        .chain([&placement.primary])
        .map(|server| server.id.as_str())
        .collect();
    assert!(ids.len() >= 5, "four seconds of prefill on {ids:?}");
    assert!(!ids.iter().any(|id| sensitive.contains(id)), "{ids:?}");
}

#[test]
fn undisruptive_placement_never_exceeds_the_max_gap() {
    for prompt in [1_000, 5_000, 20_000, 45_000, 110_000, 182_000, 400_000] {
        for reading in [0, 30, 60, 90, 120, 150] {
            let fleet = candidates(&vec![vec![assignment(1, reading, true)]; 14]);

            let placement = undisruptive(&job(9, prompt), &fleet);

            if let Some(placement) = placement {
                let pass = fleet[0].pass(&engine());
                let all = pass
                    .saturating_add(fleet[0].load.backlog)
                    .saturating_add(placement.part);
                assert!(
                    all <= MAX_PASS,
                    "{prompt} tokens beside {reading} ms: {all}"
                );
            }
        }
    }
}

#[test]
fn disruptive_placement_stays_within_the_allowed_value() {
    let fleet = candidates(&vec![vec![assignment(1, 150, true)]; 4]);

    let poor = least_disruptive(&job(9, 182_000), &fleet, 4_000, 18_000);
    let rich = least_disruptive(&job(9, 182_000), &fleet, 4_000, 182_000);

    assert_eq!(poor, None);
    assert!(rich.is_some());
}

#[test]
fn disruptive_placement_meets_the_deadline() {
    let fleet = candidates(&vec![vec![]; 4]);

    let placement = least_disruptive(&job(9, 182_000), &fleet, 1_500, u64::MAX);
    let none = least_disruptive(&job(9, 182_000), &fleet, 500, u64::MAX);

    assert_eq!(placement.map(|placement| placement.helpers.len()), Some(3));
    assert_eq!(none, None);
}

#[test]
fn prompt_larger_than_one_engine_is_split_over_several() {
    let fleet = candidates(&vec![vec![]; 14]);
    let big = job(9, 700_000);

    let placement = least_disruptive(&big, &fleet, 10_000, u64::MAX).expect("there is memory");

    let aside: Tokens = placement.helpers.iter().map(|helper| helper.memory).sum();
    let rest = big.prompt.saturating_add(big.output).saturating_sub(aside);
    assert!(rest <= engine().memory, "{rest} stay on the primary");
    let most = placement.helpers.iter().map(|helper| helper.memory).max();
    assert!(most <= Some(engine().memory));
}

#[test]
fn no_memory_is_reserved_for_a_long_prefill() {
    let fleet = candidates(&vec![vec![]; 2]);

    let placement = least_disruptive(&job(9, 516_000), &fleet, u64::MAX / 1_000, u64::MAX);

    assert_eq!(placement, None, "two engines prefill it for twelve seconds");
}

#[test]
fn prompt_that_would_block_half_of_the_fleet_does_not_fit() {
    let (engine, domain) = (engine(), domain("zone-a"));
    let fleet = candidates(&vec![vec![]; 14]);
    let fits = |prompt| {
        let job = job(9, prompt);
        EnginePlan::new(&engine, &job, &fleet, &domain).fits_fleet(Millis(4_000), 0)
    };

    assert!(fits(400_000));
    assert!(!fits(900_000));
}

#[test]
fn engine_that_failed_a_request_is_not_its_primary_again() {
    let fleet = candidates(&[vec![], vec![]]);
    let mut again = job(9, 5_000);
    again.excluded.push(fleet[0].server.id.clone());

    let placement = undisruptive(&again, &fleet).expect("there is room");

    assert_eq!(placement.primary.id.as_str(), "s01");
}

#[test]
fn plain_call_goes_to_the_least_loaded_server_if_one_has_room() {
    let full: Vec<_> = (0..40).map(|number| assignment(number, 0, true)).collect();
    let some: Vec<_> = (0..3).map(|number| assignment(number, 0, true)).collect();

    let placed = place_plain(&candidates(&[full.clone(), some]), &domain("zone-a"));
    let none = place_plain(&candidates(&[full.clone(), full]), &domain("zone-a"));

    assert_eq!(
        placed.map(|placed| placed.primary.id.to_string()),
        Some("s01".to_owned())
    );
    assert_eq!(none, None);
}

#[test]
fn prefill_takes_a_step_for_each_chunk_of_the_prompt() {
    let engine = engine();

    let times = [4_960, 45_000, 182_000].map(|prompt| engine.prefill_time(Tokens(prompt)).millis());

    // 32.2 and 2.0 ms for 4,960 tokens and their pairs, and three steps of 1.31 ms.
    assert_eq!(times, [Millis(39), Millis(485), Millis(3_982)]);
    assert_eq!(engine.pass_time(1, Tokens::ZERO).millis(), Millis(45));
    assert_eq!(engine.pass_time(0, Tokens::ZERO), Work::ZERO);
}

#[test]
fn first_token_deadline_leaves_time_to_decode_the_answer() {
    let engine = engine();
    let mut late = job(9, 182_000);
    late.output = Tokens(1_360);
    late.deadline = at(1_500);

    // Forty events of at least 57 ms each, of which half are expected.
    assert!(late.first_token_deadline(&engine) <= at(400));
}

#[test]
fn first_token_deadline_follows_the_client_timeout() {
    let short = job(9, 5_000);

    // The client waits 2 s for the first event, and the whole answer may take 10 s.
    assert_eq!(short.first_token_deadline(&engine()), at(1_800));
}
