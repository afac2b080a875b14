//! The experiment that compares policies, with small workloads.

use std::collections::BTreeMap;

use jujube_emulator::engine::core::CostModel;
use jujube_emulator::experiment::Arrival;
use jujube_emulator::experiment::Bounds;
use jujube_emulator::experiment::Outcome;
use jujube_emulator::experiment::Policy;
use jujube_emulator::experiment::Report;
use jujube_emulator::experiment::Run;
use jujube_emulator::experiment::Site;
use jujube_emulator::experiment::Workload;
use jujube_emulator::experiment::simulate;
use jujubewind::types::MonoTime;

const DURATION_SECONDS: f64 = 20.0;

fn arrivals(load: f64, seed: u64) -> Vec<Arrival> {
    let cost = CostModel::default();
    let rate = Workload::capacity(Site::RaviBagh, &cost) * load;
    Workload::new(Site::RaviBagh, cost, seed).arrivals(rate, DURATION_SECONDS)
}

fn run(policy: Policy, arrivals: &[Arrival]) -> Vec<Outcome> {
    simulate(&Run::new(Site::RaviBagh, policy, 1), arrivals)
}

fn report(policy: Policy, arrivals: &[Arrival]) -> Report {
    Report::new(
        arrivals,
        &run(policy, arrivals),
        MonoTime::ZERO,
        DURATION_SECONDS,
    )
}

#[test]
fn a_run_is_determined_by_its_seed() {
    let arrivals = arrivals(0.8, 3);

    let one = report(Policy::QuotesLaxity, &arrivals);
    let other = report(Policy::QuotesLaxity, &arrivals);

    assert_eq!(one.points, other.points);
}

#[test]
fn every_request_either_finishes_or_is_refused_under_every_policy() {
    for seed in 0..2 {
        let arrivals = arrivals(1.2, seed);
        for &policy in Policy::ALL {
            let outcomes = run(policy, &arrivals);

            let has_one_end =
                |outcome: &Outcome| outcome.finished.is_some() != outcome.refused.is_some();
            assert!(outcomes.iter().all(has_one_end), "{policy} seed {seed}");
        }
    }
}

#[test]
fn a_missed_bound_is_named() {
    let arrivals = arrivals(0.8, 3);
    let poor = report(Policy::RoundRobin, &arrivals);
    let reports: BTreeMap<Policy, Report> = Policy::ALL
        .iter()
        .map(|&policy| (policy, poor.clone()))
        .collect();

    let missed = Bounds::check(Site::RaviBagh, 0.8, &reports);

    assert!(
        missed
            .iter()
            .any(|miss| miss.contains("gain over round robin")),
        "{missed:?}"
    );
}
