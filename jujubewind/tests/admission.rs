//! Admission control: the scheduler refuses or expires jobs that would miss their deadlines.

use jujubewind::refusal::Reason;
use jujubewind::scheduler::Action;
use jujubewind::scheduler::Cost;
use jujubewind::scheduler::Job;
use jujubewind::scheduler::Phase;
use jujubewind::scheduler::Scheduler;
use jujubewind::scheduler::Settings;
use jujubewind::types::AttemptId;
use jujubewind::types::Class;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;

const START: MonoTime = MonoTime::ZERO;

fn attempt(number: u128) -> AttemptId {
    AttemptId::from_number(number)
}

fn job(number: u128, prompt: u64, remaining: u64) -> Job {
    Job {
        attempt: attempt(number),
        org: "school".parse::<OrgId>().expect("valid name"),
        class: Class::Interactive,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        output: Tokens(100),
        parts: 1,
        remaining: Millis(remaining),
    }
}

/// A scheduler that prefills one prompt at a time, at 100 us per token.
fn scheduler() -> Scheduler {
    let mut settings = Settings::for_engine(Tokens(400_000), 16);
    settings.prefill_window = 1;
    settings.ttl = Millis(60_000);
    Scheduler::new(settings, Cost::new(100_000, 0, 10_000))
}

#[test]
fn a_job_that_would_delay_admitted_jobs_past_their_deadlines_is_refused() {
    let mut scheduler = scheduler();
    scheduler
        .admit(START, job(1, 70_000, 15_000))
        .expect("admitted");
    scheduler
        .admit(START, job(2, 65_000, 14_500))
        .expect("admitted");

    let large = scheduler.admit(START, job(3, 25_000, 14_000));
    let small = scheduler.admit(START, job(4, 500, 14_000));

    let refusal = large.expect_err("refused");
    assert_eq!(refusal.reason, Reason::NoTime);
    assert!(refusal.retry > Millis::ZERO);
    assert!(small.is_ok());
}

#[test]
fn a_waiting_job_expires_as_soon_as_it_is_predicted_to_be_late() {
    let mut scheduler = scheduler();
    scheduler
        .admit(START, job(1, 30_000, 600_000))
        .expect("admitted");
    scheduler.poll(START);
    scheduler
        .admit(START, job(2, 31_000, 40_000))
        .expect("admitted");
    scheduler
        .admit(START, job(3, 30_000, 41_000))
        .expect("admitted");

    let actions = scheduler.poll(MonoTime::from_millis(35_000));

    let expired: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Expire { attempt, refusal } => Some((*attempt, refusal)),
            _ => None,
        })
        .collect();
    let [(expired_attempt, refusal)] = expired[..] else {
        panic!("exactly one job expires before its deadline: {actions:?}");
    };
    assert_eq!(expired_attempt, attempt(3));
    assert_eq!(refusal.reason, Reason::NoTime);
    assert!(refusal.retry > Millis::ZERO);
    assert_eq!(scheduler.phase(attempt(2)), Some(Phase::Waiting));
}
