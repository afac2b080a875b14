//! The failures that claims guard against, one by one.

use jujubewind::claims::Answer;
use jujubewind::claims::Claimant;
use jujubewind::claims::Event;
use jujubewind::claims::Input;
use jujubewind::claims::Phase;
use jujubewind::claims::Record;
use jujubewind::refusal::Reason;
use jujubewind::store::Outcome;
use jujubewind::types::Millis;
use rand::rngs::StdRng;

use crate::claim_world::Faults;
use crate::claim_world::NO_FAULTS;
use crate::claim_world::Pending;
use crate::claim_world::World;
use crate::claim_world::call_key;
use crate::claim_world::not_run;
use crate::claim_world::service_answer;
use crate::fake_store::Fault;
use crate::seeds::generator;

const TIMEOUT: Millis = Millis(5_000);

fn world_with(calls: usize) -> (World, StdRng) {
    let mut world = World::new(NO_FAULTS);
    for _ in 0..calls {
        world.add(b"pay 5", TIMEOUT);
    }
    (world, generator(0))
}

fn phase(world: &World) -> Option<Phase> {
    let entry = world.store.get(&call_key().store_key())?;
    Some(Record::decode(&entry.value).expect("a claim").phase)
}

/// Advances caller `index` until the stored claim is in phase `wanted`, with the store's answer not
/// yet delivered.
fn advance_to(world: &mut World, index: usize, wanted: Phase, rng: &mut StdRng) {
    while phase(world) != Some(wanted) {
        let pending = &world.callers[index].pending;
        assert!(
            !matches!(pending, Pending::Nothing),
            "the claim never reached {wanted}"
        );
        world.advance(index, rng);
    }
}

fn reason(answers: &[Answer]) -> Option<Reason> {
    match answers {
        [Answer::NotRun(refusal)] => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_call_without_faults_costs_three_writes_and_no_read() {
    let (mut world, mut rng) = world_with(1);

    world.finish(0, &mut rng);

    assert!(matches!(
        world.callers[0].answers[..],
        [Answer::Run { status: 200, .. }]
    ));
    assert_eq!(world.store.calls, 3);
    assert_eq!(phase(&world), Some(Phase::Done));
}

#[test]
fn a_repeated_call_replays_the_stored_answer() {
    let (mut world, mut rng) = world_with(2);
    world.finish(0, &mut rng);

    world.finish(1, &mut rng);

    let body = Some(service_answer(world.callers[0].attempt));
    assert_eq!(
        world.callers[1].answers,
        [Answer::Replay { status: 200, body }]
    );
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let (mut world, mut rng) = world_with(1);
    world.finish(0, &mut rng);
    let other = world.add(b"pay 6", TIMEOUT);

    world.finish(other, &mut rng);

    assert_eq!(
        reason(&world.callers[other].answers),
        Some(Reason::KeyMismatch)
    );
}

#[test]
fn a_repeat_of_a_running_call_is_refused_as_busy() {
    let (mut world, mut rng) = world_with(2);
    advance_to(&mut world, 0, Phase::Dispatched, &mut rng);

    world.finish(1, &mut rng);

    assert_eq!(reason(&world.callers[1].answers), Some(Reason::KeyBusy));
}

#[test]
fn an_entry_paused_before_marking_its_claim_does_not_send_after_it_resumes() {
    let (mut world, mut rng) = world_with(2);
    advance_to(&mut world, 0, Phase::Claimed, &mut rng);
    world.finish(1, &mut rng);

    world.finish(0, &mut rng);

    assert_eq!(world.runs, [world.callers[1].attempt]);
    assert!(matches!(
        world.callers[0].answers[..],
        [Answer::Replay { .. }]
    ));
}

#[test]
fn an_entry_paused_after_marking_its_claim_remains_the_only_sender() {
    let (mut world, mut rng) = world_with(2);
    advance_to(&mut world, 0, Phase::Dispatched, &mut rng);
    world.finish(1, &mut rng);

    world.finish(0, &mut rng);

    assert_eq!(world.runs, [world.callers[0].attempt]);
}

#[test]
fn an_entry_that_resumes_after_the_deadline_does_not_send() {
    let (mut world, mut rng) = world_with(1);
    advance_to(&mut world, 0, Phase::Dispatched, &mut rng);
    world.now = world.now.after(TIMEOUT);

    world.finish(0, &mut rng);

    assert!(world.runs.is_empty());
    assert_eq!(
        reason(&world.callers[0].answers),
        Some(Reason::DeadlinePassed)
    );
    assert_eq!(phase(&world), None);
}

#[test]
fn a_crashed_holder_that_may_have_sent_leaves_the_outcome_unknown() {
    let (mut world, mut rng) = world_with(2);
    advance_to(&mut world, 0, Phase::Dispatched, &mut rng);
    world.callers[0].crashed = true;

    world.finish(1, &mut rng);

    assert_eq!(world.callers[1].answers, [Answer::Unknown]);
}

#[test]
fn a_send_without_an_answer_is_never_repeated() {
    let (mut world, mut rng) = world_with(2);
    advance_to(&mut world, 0, Phase::Dispatched, &mut rng);
    world.advance(0, &mut rng);
    world.handle(
        0,
        Input::Dispatch(jujubewind::claims::DispatchOutcome::Unknown),
    );
    world.finish(0, &mut rng);

    world.finish(1, &mut rng);

    assert_eq!(world.callers[0].answers, [Answer::Unknown]);
    assert_eq!(world.callers[1].answers, [Answer::Unknown]);
    assert_eq!(phase(&world), Some(Phase::Unknown));
}

#[test]
fn a_key_can_be_used_again_after_a_confirmed_not_run() {
    let (mut world, mut rng) = world_with(2);
    advance_to(&mut world, 0, Phase::Dispatched, &mut rng);
    world.advance(0, &mut rng);
    world.handle(0, Input::Dispatch(not_run()));
    world.finish(0, &mut rng);

    world.finish(1, &mut rng);

    assert_eq!(reason(&world.callers[0].answers), Some(Reason::QueueFull));
    assert!(matches!(world.callers[1].answers[..], [Answer::Run { .. }]));
}

#[test]
fn a_call_is_refused_before_its_deadline_if_the_store_is_down() {
    let (mut world, mut rng) = world_with(1);
    let start = world.now;
    while let Pending::Store(_) | Pending::Input(_) | Pending::Until(_) = world.callers[0].pending {
        if let Pending::Store(op) = &world.callers[0].pending {
            let outcome = world.store.call(&op.clone(), Fault::Down);
            world.handle(0, Input::Store(outcome));
        } else {
            world.advance(0, &mut rng);
        }
    }

    assert_eq!(reason(&world.callers[0].answers), Some(Reason::StoreDown));
    assert!(world.now.since(start) < TIMEOUT);
    assert!(world.runs.is_empty());
}

#[test]
fn an_unknown_write_outcome_is_resolved_by_reading() {
    for lost in [Phase::Claimed, Phase::Dispatched, Phase::Done] {
        let (mut world, mut rng) = world_with(1);
        advance_to(&mut world, 0, lost, &mut rng);

        world.handle(0, Input::Store(Outcome::Unknown));
        world.finish(0, &mut rng);

        assert_eq!(
            world.runs.len(),
            1,
            "the answer to the write of {lost} was lost"
        );
        assert_eq!(phase(&world), Some(Phase::Done));
    }
}

#[test]
fn a_cancelled_call_releases_its_key() {
    let (mut world, mut rng) = world_with(1);
    advance_to(&mut world, 0, Phase::Claimed, &mut rng);

    world.handle(0, Input::Cancel);
    world.finish(0, &mut rng);

    assert_eq!(reason(&world.callers[0].answers), Some(Reason::Cancelled));
    assert_eq!(phase(&world), None);
}

#[test]
fn the_chart_allows_no_takeover_of_a_call_that_may_have_been_sent() {
    let from = [Phase::Dispatched, Phase::Done, Phase::Unknown];

    let steps: Vec<bool> = from
        .iter()
        .flat_map(|phase| [phase.after(Event::TakeOver), phase.after(Event::Mark)])
        .map(|step| step.is_ok())
        .collect();

    assert_eq!(steps, [false; 6]);
}

#[test]
fn the_state_of_a_claim_in_progress_is_small() {
    let size = size_of::<Claimant>();

    assert!(size <= 1_024, "{size} bytes");
}

#[test]
fn send_faults_alone_never_run_a_key_twice() {
    let mut world = World::new(Faults {
        store: 0,
        send: 100,
        crash: 0,
    });
    let mut rng = generator(1);
    for _ in 0..4 {
        world.add(b"pay 5", TIMEOUT);
    }

    for index in 0..4 {
        world.finish(index, &mut rng);
    }

    assert!(world.runs.len() <= 1);
}
