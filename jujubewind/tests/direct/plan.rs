//! Where prompts are placed, under the loads that the decisions answer.

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

/// The most that is read in a pass beside someone who bears a pause of 250 ms.
const PAUSE: Work = Work(250_000);

fn calm(job: &Job, candidates: &[Candidate]) -> Option<Placement> {
    let (engine, domain) = (engine(), domain("zone-a"));
    EnginePlan::new(&engine, job, candidates, &domain).calm()
}

fn forced(job: &Job, candidates: &[Candidate], left: u64, worth: u64) -> Option<Placement> {
    let (engine, domain) = (engine(), domain("zone-a"));
    let plan = EnginePlan::new(&engine, job, candidates, &domain);
    plan.forced(Work(left * 1_000), worth)
}

#[test]
fn a_short_prompt_joins_others_like_it() {
    let fleet = candidates(&[vec![], vec![assignment(1, 0, true)], vec![]]);

    let placement = calm(&job(9, 5_000), &fleet).expect("there is room");

    assert_eq!(placement.primary.id.as_str(), "s01");
    assert!(placement.helpers.is_empty());
}

#[test]
fn a_short_prompt_leaves_an_engine_whose_pass_is_full() {
    let busy = vec![assignment(1, 60, true), assignment(2, 60, true)];
    let fleet = candidates(&[busy, vec![]]);

    let placement = calm(&job(9, 5_000), &fleet).expect("there is room");

    assert_eq!(placement.primary.id.as_str(), "s01");
}

#[test]
fn a_long_prompt_is_read_by_engines_where_nobody_bears_only_short_pauses() {
    let mut assignments = vec![vec![]; 10];
    assignments.extend([vec![assignment(1, 0, true)], vec![assignment(2, 0, true)]]);
    let fleet = candidates(&assignments);

    let placement = calm(&job(9, 182_000), &fleet).expect("there is room");

    let tight = ["s10", "s11"];
    let all = placement.helpers.iter().map(|helper| &helper.server);
    let ids: Vec<&str> = all
        .chain([&placement.primary])
        .map(|server| server.id.as_str())
        .collect();
    assert!(ids.len() >= 5, "four seconds of reading on {ids:?}");
    assert!(!ids.iter().any(|id| tight.contains(id)), "{ids:?}");
}

#[test]
fn no_calm_placement_lengthens_a_pass_beyond_a_pause() {
    for prompt in [1_000, 5_000, 20_000, 45_000, 110_000, 182_000, 400_000] {
        for reading in [0, 30, 60, 90, 120, 150] {
            let fleet = candidates(&vec![vec![assignment(1, reading, true)]; 14]);

            let placement = calm(&job(9, prompt), &fleet);

            if let Some(placement) = placement {
                let pass = fleet[0].pass(&engine());
                let all = pass
                    .saturating_add(fleet[0].load.backlog)
                    .saturating_add(placement.part);
                assert!(all <= PAUSE, "{prompt} tokens beside {reading} ms: {all}");
            }
        }
    }
}

#[test]
fn a_forced_placement_disturbs_less_than_it_may() {
    let fleet = candidates(&vec![vec![assignment(1, 150, true)]; 4]);

    let poor = forced(&job(9, 182_000), &fleet, 4_000, 18_000);
    let rich = forced(&job(9, 182_000), &fleet, 4_000, 182_000);

    assert_eq!(poor, None);
    assert!(rich.is_some());
}

#[test]
fn a_forced_placement_meets_the_time_that_is_left() {
    let fleet = candidates(&vec![vec![]; 4]);

    let placement = forced(&job(9, 182_000), &fleet, 1_500, u64::MAX);
    let none = forced(&job(9, 182_000), &fleet, 500, u64::MAX);

    assert_eq!(placement.map(|placement| placement.helpers.len()), Some(3));
    assert_eq!(none, None);
}

#[test]
fn a_prompt_beyond_one_engine_is_held_by_several() {
    let fleet = candidates(&vec![vec![]; 14]);
    let big = job(9, 700_000);

    let placement = forced(&big, &fleet, 10_000, u64::MAX).expect("there is memory");

    let aside: Tokens = placement.helpers.iter().map(|helper| helper.memory).sum();
    let rest = big.prompt.saturating_add(big.output).saturating_sub(aside);
    assert!(rest <= engine().memory, "{rest} stay at the first engine");
    let most = placement.helpers.iter().map(|helper| helper.memory).max();
    assert!(most <= Some(engine().memory));
}

#[test]
fn memory_is_not_set_aside_for_a_prompt_that_is_read_for_long() {
    let fleet = candidates(&vec![vec![]; 2]);

    let placement = forced(&job(9, 516_000), &fleet, u64::MAX / 1_000, u64::MAX);

    assert_eq!(placement, None, "two engines read it for twelve seconds");
}

#[test]
fn a_prompt_that_would_hold_up_half_of_the_fleet_is_not_bearable() {
    let (engine, domain) = (engine(), domain("zone-a"));
    let fleet = candidates(&vec![vec![]; 14]);
    let bearable = |prompt| {
        let job = job(9, prompt);
        EnginePlan::new(&engine, &job, &fleet, &domain).is_bearable(Millis(4_000))
    };

    assert!(bearable(400_000));
    assert!(!bearable(900_000));
}

#[test]
fn an_engine_that_failed_a_request_does_not_lead_it_again() {
    let fleet = candidates(&[vec![], vec![]]);
    let mut again = job(9, 5_000);
    again.excluded.push(fleet[0].server.id.clone());

    let placement = calm(&again, &fleet).expect("there is room");

    assert_eq!(placement.primary.id.as_str(), "s01");
}

#[test]
fn a_plain_call_goes_to_the_least_loaded_server_and_waits_when_all_are_full() {
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
fn the_cost_model_gives_the_published_times() {
    let engine = engine();

    let times = [4_960, 45_000, 182_000].map(|prompt| engine.prefill_time(Tokens(prompt)).millis());

    assert_eq!(times, [Millis(35), Millis(457), Millis(3_865)]);
    assert_eq!(engine.pass_time(1, Tokens::ZERO).millis(), Millis(45));
    assert_eq!(engine.pass_time(0, Tokens::ZERO), Work::ZERO);
}

#[test]
fn an_answer_that_could_not_be_written_in_time_need_not_be_read() {
    let engine = engine();
    let mut late = job(9, 182_000);
    late.output = Tokens(1_360);
    late.deadline = at(1_500);

    // Forty events of at least 57 ms each, of which half are expected.
    assert!(late.reading_ends(&engine) <= at(400));
}

#[test]
fn a_caller_who_leaves_after_a_pause_has_time_for_the_whole_answer() {
    let short = job(9, 5_000);

    // The caller waits for 2 s for the first event, and has 10 s for all of them.
    assert_eq!(short.reading_ends(&engine()), at(1_800));
}
