//! The scheduler of one engine.

use jujubewind::refusal::Reason;
use jujubewind::scheduler::Action;
use jujubewind::scheduler::Cost;
use jujubewind::scheduler::Job;
use jujubewind::scheduler::ListedSequence;
use jujubewind::scheduler::Order;
use jujubewind::scheduler::PART_TTL;
use jujubewind::scheduler::Phase;
use jujubewind::scheduler::Scheduler;
use jujubewind::scheduler::Settings;
use jujubewind::types::AttemptId;
use jujubewind::types::Class;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const START: MonoTime = MonoTime::ZERO;

fn attempt(number: u128) -> AttemptId {
    AttemptId::from_number(number)
}

fn job(number: u128, prompt: u64) -> Job {
    Job {
        attempt: attempt(number),
        org: "school".parse::<OrgId>().expect("valid name"),
        class: Class::Interactive,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        output: Tokens(100),
        parts: 1,
        remaining: Millis(600_000),
    }
}

fn settings() -> Settings {
    Settings::for_engine(Tokens(400_000), 16)
}

/// 100 us per token, so that 10,000 tokens take a second.
fn cost() -> Cost {
    Cost::new(100_000, 0, 10_000)
}

fn scheduler() -> Scheduler {
    Scheduler::new(settings(), cost())
}

fn submitted(actions: &[Action]) -> Vec<(AttemptId, u8)> {
    let submit = |action: &Action| match action {
        Action::Submit { attempt, priority } => Some((*attempt, *priority)),
        _ => None,
    };
    actions.iter().filter_map(submit).collect()
}

#[test]
fn a_short_prompt_takes_priority_over_a_running_long_one() {
    let mut scheduler = scheduler();
    scheduler.admit(START, job(1, 200_000)).expect("admitted");
    let first = submitted(&scheduler.poll(START));

    let estimate = scheduler.quote(START, &job(2, 1_000)).expect("quoted");
    scheduler.admit(START, job(2, 1_000)).expect("admitted");
    let second = submitted(&scheduler.poll(START));

    assert!(estimate.first < Millis(200), "{estimate:?}");
    assert!(
        second[0].1 < first[0].1,
        "{second:?} comes before {first:?}"
    );
}

#[test]
fn a_job_that_cannot_finish_in_time_is_refused_with_a_retry_delay() {
    let mut scheduler = scheduler();
    let short_deadline_job = |number| Job {
        remaining: Millis(15_000),
        ..job(number, 100_000)
    };
    scheduler
        .admit(START, short_deadline_job(1))
        .expect("admitted");

    let refusal = scheduler
        .admit(START, short_deadline_job(2))
        .expect_err("refused");

    assert_eq!(refusal.reason, Reason::NoTime);
    assert!(refusal.retry > Millis::ZERO);
    assert_eq!(scheduler.attempt_count(), 1);
}

#[test]
fn a_long_job_is_paused_if_a_short_one_lacks_memory_and_resumed_later() {
    let mut settings = settings();
    settings.short_memory = Tokens::ZERO;
    let mut scheduler = Scheduler::new(settings, cost());
    scheduler.admit(START, job(1, 399_000)).expect("admitted");
    scheduler.poll(START);
    scheduler.admit(START, job(2, 2_000)).expect("admitted");

    let pause = scheduler.poll(START);
    scheduler.record_pause(START, attempt(1));
    let submit = scheduler.poll(START);
    scheduler.record_end(START, attempt(2));
    let resume = scheduler.poll(START);

    assert_eq!(
        pause,
        vec![Action::Pause {
            attempt: attempt(1)
        }]
    );
    assert_eq!(submitted(&submit)[0].0, attempt(2));
    assert!(matches!(resume[0], Action::Resume { .. }));
}

#[test]
fn a_cancelled_attempt_never_starts() {
    let mut scheduler = scheduler();

    let not_run = scheduler.cancel(START, attempt(1));
    let refusal = scheduler.admit(START, job(1, 1_000)).expect_err("fenced");

    assert!(not_run);
    assert_eq!(refusal.reason, Reason::Cancelled);
}

#[test]
fn an_attempt_that_ran_is_never_reported_as_not_run() {
    let mut scheduler = scheduler();
    scheduler.admit(START, job(1, 1_000)).expect("admitted");
    scheduler.poll(START);

    let running = scheduler.cancel(START, attempt(1));
    scheduler.record_end(START, attempt(1));
    let ended = scheduler.cancel(START, attempt(1));

    assert!(!running && !ended);
}

#[test]
fn an_attempt_without_renewal_is_cancelled() {
    let mut scheduler = scheduler();
    scheduler.admit(START, job(1, 1_000)).expect("admitted");
    scheduler.poll(START);

    let actions = scheduler.poll(START.after(settings().ttl));

    assert_eq!(
        actions,
        vec![Action::Cancel {
            attempt: attempt(1)
        }]
    );
}

#[test]
fn reconciliation_cancels_orphans_and_reports_lost_attempts() {
    let mut scheduler = scheduler();
    scheduler.admit(START, job(1, 1_000)).expect("admitted");
    scheduler.poll(START);
    let listing = [ListedSequence {
        attempt: attempt(9),
        held: Tokens(5),
    }];

    scheduler.reconcile(MonoTime::from_millis(5_000), &listing);
    let actions = scheduler.poll(MonoTime::from_millis(5_000));

    let cancel = Action::Cancel {
        attempt: attempt(9),
    };
    let lost = Action::Lost {
        attempt: attempt(1),
    };
    assert_eq!(actions, vec![cancel, lost]);
    assert_eq!(scheduler.ledger().used(), Tokens::ZERO);
}

#[test]
fn an_organisation_above_its_fair_share_is_scheduled_later() {
    let mut scheduler = scheduler();
    let greedy = |number| Job {
        org: "greedy".parse().expect("valid name"),
        ..job(number, 5_000)
    };
    for number in 0..4 {
        scheduler.admit(START, greedy(number)).expect("admitted");
    }
    scheduler.poll(START);
    scheduler.admit(START, job(90, 500)).expect("admitted");
    scheduler.poll(START);
    scheduler.admit(START, greedy(10)).expect("admitted");
    scheduler.admit(START, job(11, 5_500)).expect("admitted");

    scheduler.record_end(START, attempt(0));
    let next = submitted(&scheduler.poll(START));

    assert_eq!(next[0].0, attempt(11));
}

#[test]
fn a_part_of_a_group_pauses_a_long_job() {
    let mut scheduler = scheduler();
    scheduler.admit(START, job(1, 200_000)).expect("admitted");
    scheduler.poll(START);
    let part = Tokens(300_000);

    let wait = scheduler.hold(START, attempt(2), part, Millis(1_000));
    let pause = scheduler.poll(START);
    scheduler.record_pause(START, attempt(1));
    let held = scheduler.hold(START, attempt(2), part, Millis(1_000));
    scheduler.poll(START.after(PART_TTL));

    assert_eq!(
        wait.map_err(|refusal| refusal.reason),
        Err(Reason::NoMemory)
    );
    assert_eq!(
        pause,
        vec![Action::Pause {
            attempt: attempt(1)
        }]
    );
    assert!(held.is_ok());
    assert_eq!(scheduler.phase(attempt(1)), Some(Phase::Prefill));
}

#[test]
fn a_released_hold_can_be_requested_again() {
    let mut scheduler = scheduler();
    let (part, amount, span) = (attempt(1), Tokens(1_000), Millis(1_000));
    let now = MonoTime::from_millis(1);
    scheduler
        .hold(now, part, amount, span)
        .expect("enough memory");

    scheduler.release_hold(part);

    assert_eq!(scheduler.ledger().used(), Tokens::ZERO);
    assert!(scheduler.hold(now, part, amount, span).is_ok());
}

/// Carries out the actions as an engine would, one prompt after the other, until no attempt is left.
fn run_to_completion(scheduler: &mut Scheduler, mut now: MonoTime) -> Vec<AttemptId> {
    let mut running: Vec<(u8, AttemptId)> = Vec::new();
    let mut ended = Vec::new();
    while scheduler.attempt_count() > 0 {
        for action in scheduler.poll(now) {
            match action {
                Action::Submit { attempt, priority } | Action::Resume { attempt, priority } => {
                    running.push((priority, attempt));
                }
                Action::Pause { attempt } => {
                    running.retain(|(_, one)| *one != attempt);
                    scheduler.record_pause(now, attempt);
                }
                Action::Cancel { attempt } => {
                    running.retain(|(_, one)| *one != attempt);
                    scheduler.record_end(now, attempt);
                }
                Action::Expire { .. } | Action::Lost { .. } | Action::Release { .. } => {}
            }
        }
        now = now.after(Millis(50));
        running.sort_unstable();
        if !running.is_empty() {
            let (_, done) = running.remove(0);
            scheduler.record_first_token(now, done);
            scheduler.record_end(now, done);
            ended.push(done);
        }
    }
    ended
}

#[test]
fn every_order_completes_all_jobs_and_frees_all_memory() {
    for &order in Order::ALL {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut scheduler = Scheduler::new(
                Settings {
                    order,
                    ..settings()
                },
                cost(),
            );
            for number in 0..60 {
                let prompt = 10_u64.pow(rng.random_range(2..6)) * rng.random_range(1..4);
                let _ = scheduler.admit(START, job(number, prompt));
            }

            run_to_completion(&mut scheduler, START);

            assert_eq!(
                scheduler.ledger().used(),
                Tokens::ZERO,
                "{order} seed {seed}"
            );
            assert_eq!(
                scheduler.ledger().promised(),
                Tokens::ZERO,
                "{order} seed {seed}"
            );
        }
    }
}
