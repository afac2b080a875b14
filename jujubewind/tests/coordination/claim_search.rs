//! Random histories of claims: several entries, one key, and any fault at any step.

use jujubewind::claims::Answer;
use jujubewind::types::Millis;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::claim_world::Faults;
use crate::claim_world::NO_FAULTS;
use crate::claim_world::Pending;
use crate::claim_world::World;
use crate::claim_world::service_answer;
use crate::seeds::generator;
use crate::seeds::seeds;

const HISTORIES: u64 = 1_000;
const STEPS: u32 = 400;

fn history(rng: &mut StdRng) -> World {
    let mut world = World::new(Faults {
        store: rng.random_range(0..40),
        send: rng.random_range(0..60),
        crash: rng.random_range(0..4),
    });
    world.add(b"pay 5", Millis(3_000));
    for _ in 0..STEPS {
        if world.callers.len() < 6 && rng.random_ratio(1, 20) {
            world.add(b"pay 5", Millis(rng.random_range(10..5_000)));
        }
        world.tick(rng);
    }
    world
}

fn finish_all(world: &mut World, rng: &mut StdRng) {
    world.faults = NO_FAULTS;
    for _ in 0..STEPS {
        world.tick(rng);
    }
    for index in 0..world.callers.len() {
        world.finish(index, rng);
    }
}

#[test]
fn the_service_runs_a_key_at_most_once() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);

        let mut world = history(&mut rng);
        finish_all(&mut world, &mut rng);

        assert!(world.runs.len() <= 1, "SEED={seed}: runs {:?}", world.runs);
        let resent = world.sends.values().any(|sends| *sends > 1);
        assert!(!resent, "SEED={seed}: sends {:?}", world.sends);
    }
}

#[test]
fn every_answer_matches_what_the_service_ran() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);

        let mut world = history(&mut rng);
        finish_all(&mut world, &mut rng);

        for caller in &world.callers {
            let ran = world.runs.contains(&caller.attempt);
            for answer in &caller.answers {
                let is_true = match answer {
                    Answer::NotRun(_) => !ran,
                    Answer::Run { body, .. } => *body == service_answer(caller.attempt),
                    Answer::Replay { body, .. } => {
                        *body == world.runs.first().copied().map(service_answer)
                    }
                    Answer::Unknown => true,
                };
                assert!(
                    is_true,
                    "SEED={seed}: {:?} answered {answer:?}",
                    caller.attempt
                );
            }
        }
    }
}

#[test]
fn every_call_of_a_running_entry_is_answered_once() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);

        let mut world = history(&mut rng);
        finish_all(&mut world, &mut rng);

        for caller in world.callers.iter().filter(|caller| !caller.crashed) {
            let answers = caller.answers.len();
            assert_eq!(answers, 1, "SEED={seed}: {:?}", caller.answers);
            assert!(matches!(caller.pending, Pending::Nothing), "SEED={seed}");
        }
    }
}

#[test]
fn a_key_whose_calls_were_never_sent_can_be_used_again() {
    for seed in seeds(HISTORIES) {
        let mut rng = generator(seed);
        let mut world = history(&mut rng);
        finish_all(&mut world, &mut rng);
        let sent = !world.sends.is_empty();
        let crashed = world.callers.iter().any(|caller| caller.crashed);

        let last = world.add(b"pay 5", Millis(5_000));
        world.finish(last, &mut rng);

        let ran = matches!(world.callers[last].answers[..], [Answer::Run { .. }]);
        assert!(
            ran || sent || crashed,
            "SEED={seed}: {:?}",
            world.callers[last].answers
        );
    }
}
