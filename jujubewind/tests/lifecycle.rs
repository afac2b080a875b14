//! Draining: a stopping entry first fails its readiness check, still serves what the load balancer
//! sends during the grace period, and aborts no request.

use jujubewind::lifecycle::Daemon;
use jujubewind::lifecycle::Drain;
use jujubewind::lifecycle::DrainLimits;
use jujubewind::lifecycle::DrainPhase;
use jujubewind::lifecycle::OpenRequests;
use jujubewind::refusal::Reason;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const GRACE: Millis = Millis(5_000);
const STEP: Millis = Millis(100);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn entry() -> Drain {
    Drain::begin(at(0), DrainLimits::entry(GRACE)).expect("the chart is valid")
}

fn busy(deadline: u64) -> OpenRequests {
    OpenRequests {
        open: 1,
        deadline: at(deadline),
    }
}

#[test]
fn an_entry_accepts_requests_during_the_grace_period() {
    let mut drain = entry();

    let phase = drain.tick(at(4_900), OpenRequests::NONE);

    assert_eq!(phase, DrainPhase::Accepting);
    assert_eq!(drain.refusal(), None);
}

#[test]
fn an_entry_refuses_requests_with_a_retry_delay_after_the_grace_period() {
    let mut drain = entry();

    drain.tick(at(5_000), busy(60_000));

    let refusal = drain.refusal().expect("a refusal");
    assert_eq!(refusal.reason, Reason::Stopping);
    assert!(refusal.retry > Millis::ZERO);
}

#[test]
fn an_agent_refuses_requests_as_soon_as_it_drains() {
    let drain = Drain::begin(at(0), DrainLimits::agent()).expect("the chart is valid");

    let refusal = drain.refusal().expect("a refusal");

    assert_eq!(refusal.reason, Reason::Leaving);
}

#[test]
fn a_second_stop_signal_has_no_effect() {
    let mut once = entry();
    let mut twice = entry();

    for millis in (0..20_000).step_by(100) {
        let load = if millis < 12_000 {
            busy(30_000)
        } else {
            OpenRequests::NONE
        };
        twice.stop_again();
        once.tick(at(millis), load);
        twice.tick(at(millis), load);

        assert_eq!(once.phase(), twice.phase(), "at {millis} ms");
    }
    assert!(twice.is_over());
}

#[test]
fn a_drain_waits_for_a_request_until_its_deadline_and_no_longer() {
    let mut drain = entry();

    drain.tick(at(59_900), busy(60_000));
    let before = drain.is_over();
    drain.tick(at(60_400), busy(60_000));

    assert!(!before);
    assert!(drain.is_over());
}

#[test]
fn a_drain_ends_only_after_the_last_response_had_time_to_be_sent() {
    let mut drain = entry();

    drain.tick(at(9_000), busy(60_000));
    drain.tick(at(9_100), OpenRequests::NONE);
    let early = drain.is_over();
    drain.tick(at(9_300), OpenRequests::NONE);

    assert!(!early);
    assert!(drain.is_over());
}

#[test]
fn a_daemon_goes_through_its_phases_in_order() {
    let daemon = Daemon::new().serve();

    let drain = daemon.drain(at(0), DrainLimits::agent());
    let waiting = drain
        .expect("the chart is valid")
        .tick(at(100), busy(9_000));
    let stopped = waiting
        .expect_err("a request is open")
        .tick(at(10_000), OpenRequests::NONE);

    assert!(stopped.is_ok());
}

/// Drains an entry while random requests arrive, until the load balancer notices the failed
/// readiness check after a random lag.
fn stop_under_load(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let lag = rng.random_range(0..GRACE.get());
    let mut drain = entry();
    let mut open: Vec<(u64, u64)> = Vec::new();
    let mut millis = 0;
    while !drain.is_over() {
        if millis < lag && rng.random_bool(0.3) {
            if drain.refusal().is_some() {
                return Err(format!("refused at {millis} ms, balancer lag {lag} ms"));
            }
            let end = millis + rng.random_range(100..20_000);
            open.push((end, end + rng.random_range(0..30_000)));
        }
        open.retain(|(end, _)| *end > millis);
        let deadline = open
            .iter()
            .map(|(_, deadline)| *deadline)
            .max()
            .unwrap_or(0);
        let load = OpenRequests {
            open: open.len(),
            deadline: at(deadline),
        };
        drain.tick(at(millis), load);
        if rng.random_bool(0.05) {
            drain.stop_again();
        }
        millis += STEP.get();
    }
    if open.is_empty() {
        Ok(())
    } else {
        Err(format!("{} requests aborted", open.len()))
    }
}

#[test]
fn no_request_is_aborted_or_refused_if_the_balancer_reacts_within_the_grace_period() {
    for seed in 0..500 {
        let outcome = stop_under_load(seed);

        assert_eq!(outcome, Ok(()), "seed {seed}");
    }
}
