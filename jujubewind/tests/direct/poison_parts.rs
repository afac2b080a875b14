//! A fleet of entries and engines on which one part of a prompt ends each engine that begins an
//! answer on it, beside sound prompts and crashes for other reasons.

mod world;

use jujubewind::conviction::Prints;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Verdict;

use self::world::Plan;
use self::world::SERVERS;
use self::world::SESSIONS;
use self::world::SYSTEM;
use self::world::World;
use self::world::id_of;
pub use self::world::print;
pub use self::world::restarted;
use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::job;

const SEEDS: u64 = 20;
/// Requests with the part that may be sent late.
const MAX_SENT: usize = 3;

#[test]
fn part_that_ends_engines_is_refused_by_all_entries() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, Plan::default());

        world.run();

        let late = world.sent_late();
        assert!(late <= MAX_SENT, "seed {seed}: {late} sent late");
    }
}

#[test]
fn prompts_that_share_other_parts_with_a_fatal_one_are_served() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, Plan::default());

        world.run();

        let refused = world.sound_refused();
        assert!(refused < 500, "seed {seed}: {refused} in 1,000 refused");
    }
}

/// Engines also crash alone or in groups, without any fault of a prompt.
#[test]
fn fatal_part_is_found_beside_crashes_for_other_reasons() {
    for seed in 0..SEEDS {
        let plan = Plan {
            other_crashes: 0.005,
            ..Plan::default()
        };
        let mut world = World::new(seed, plan);

        world.run();

        let (late, refused) = (world.sent_late(), world.sound_refused());
        assert!(late <= MAX_SENT, "seed {seed}: {late} sent late");
        assert!(refused < 500, "seed {seed}: {refused} in 1,000 refused");
    }
}

/// Few sound prompts after a quiet spell show little, and each entry that tries what is convicted may end
/// an engine.
#[test]
fn both_bounds_hold_with_little_traffic() {
    for (entries, seeds) in [(1, 20), (4, 20), (30, 1)] {
        (0..seeds).for_each(|seed| check_bounds(entries, seed));
    }
}

#[test]
#[ignore = "takes minutes in a debug build"]
fn both_bounds_hold_with_little_traffic_at_410_entries() {
    (0..2).for_each(|seed| check_bounds(410, seed));
}

/// Guards against suspects that excuse each other without end, as they were at the same crashes.
#[test]
fn both_bounds_hold_beside_sound_prompts_at_each_crash() {
    for (entries, seeds) in [(1, 20), (2, 20), (4, 20), (30, 2)] {
        (0..seeds).for_each(|seed| check_bounds_beside(entries, seed));
    }
}

/// Plays one fatal part or two beside sound prompts that come with each of them, known ones or not.
fn check_bounds_beside(entries: usize, seed: u64) {
    let plan = Plan {
        entries,
        run_millis: 50_000,
        sound: 0.0,
        fatal: 0.01,
        fatal_parts: 1 + u128::from(seed % 2),
        start_millis: 16_000,
        quiet_millis: 7_000,
        beside: 1 + u128::from(seed % 3),
        known: seed % 4 < 2,
        ..Plan::default()
    };
    check_plan(plan, entries, seed);
}

/// Guards against a fatal part that is tried once more in each session.
#[test]
fn both_bounds_hold_for_a_fatal_part_in_few_sessions() {
    for (entries, seeds) in [(1, 20), (4, 20)] {
        (0..seeds).for_each(|seed| check_bounds_in_sessions(entries, seed));
    }
}

/// Plays a fatal part with further parts behind it, which few or many requests share.
fn check_bounds_in_sessions(entries: usize, seed: u64) {
    let plan = Plan {
        entries,
        run_millis: 50_000,
        sound: 0.02,
        fatal: 0.02,
        start_millis: 16_000,
        quiet_millis: 6_000,
        fatal_sessions: 1 + u128::from(seed % 12),
        ..Plan::default()
    };
    check_plan(plan, entries, seed);
}

/// Plays one fatal part or two after a quiet spell, with and without crashes for other reasons.
fn check_bounds(entries: usize, seed: u64) {
    let plan = Plan {
        entries,
        run_millis: 50_000,
        sound: 0.02,
        fatal: 0.02,
        fatal_parts: 1 + u128::from(seed % 2),
        start_millis: 16_000,
        quiet_millis: 6_000,
        other_crashes: if seed % 4 < 2 { 0.0 } else { 0.001 },
        ..Plan::default()
    };
    check_plan(plan, entries, seed);
}

fn check_plan(plan: Plan, entries: usize, seed: u64) {
    let mut world = World::new(seed, plan);

    world.run();

    let (late, refused) = (world.sent_late(), world.sound_refused_late());
    let place = format!("{entries} entries, seed {seed}");
    assert!(late <= MAX_SENT, "{place}: {late} sent late");
    assert!(refused < 500, "{place}: {refused} in 1,000 refused");
}

/// Servers that reset connections now and then answer other requests all the while.
#[test]
fn resets_by_servers_that_go_on_responding_convict_nothing() {
    let mut core = core_of("entry-1", SERVERS);
    let session = |id| Prints {
        request: print(1_000_000 + id),
        parts: [print(SYSTEM), print(SESSIONS)].into(),
    };
    for number in 0..3 {
        let (name, now) = (
            id_of(number),
            at(1_000 * u64::try_from(number).expect("few")),
        );
        let id = u128::try_from(number).expect("few");
        core.finish(now, JobId(1), &name, session(id), Outcome::Broken);
    }
    let before = core.admit(at(3_000), job(2, 1_000), session(10));

    for number in 0..3 {
        let other = print(7);
        core.finish(at(3_100), JobId(3), &id_of(number), other, Outcome::Served);
    }
    let after = core.admit(at(3_200), job(4, 1_000), session(11));

    assert!(matches!(before, Some(Verdict::Refuse(_))), "{before:?}");
    assert!(matches!(after, Some(Verdict::Place(_))), "{after:?}");
}

/// Its repetitions are limited by the route and the retry budget.
#[test]
fn retry_of_a_request_that_met_three_resets_is_not_refused_for_its_parts() {
    let mut core = core_of("entry-1", SERVERS);
    let prints = Prints {
        request: print(1_000_000),
        parts: [print(SYSTEM), print(SESSIONS)].into(),
    };
    for number in 0..3 {
        let name = id_of(number);
        core.finish(at(0), JobId(1), &name, prints.clone(), Outcome::Broken);
    }

    let retry = core.readmit(at(10), job(2, 1_000), prints);

    assert!(matches!(retry, Some(Verdict::Place(_))), "{retry:?}");
}
