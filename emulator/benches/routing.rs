//! Compares policies of routing and scheduling in virtual time, and fails on a missed bound.
//!
//! `cargo bench -p jujube-emulator --bench routing` runs all; names of sites and loads after `--`
//! choose among them. The plot goes to `docs/routing.svg`.

use std::collections::BTreeMap;
use std::fs;
use std::process::ExitCode;
use std::thread;

use jujube_emulator::engine::core::CostModel;
use jujube_emulator::experiment::Bounds;
use jujube_emulator::experiment::Policy;
use jujube_emulator::experiment::Report;
use jujube_emulator::experiment::Run;
use jujube_emulator::experiment::Site;
use jujube_emulator::experiment::Workload;
use jujube_emulator::experiment::plot;
use jujube_emulator::experiment::simulate;
use jujubewind::retry;
use jujubewind::types::MonoTime;

const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
/// The load of the plot and of most bounds.
const BUSY: f64 = 0.8;
const SEED: u64 = 7;
/// Seconds of traffic, of which the first are not counted.
const SPAN: f64 = 1_800.0;
const WARM_UP: u64 = 200;

const HEADER: &str = "policy             |  1k: n  p50  p95  p99 ms | 10k: n  p50  p95  p99 ms | \
                      100k: n  p50  p95  p99 s | 1M: n  p50  p95 s | short slowdown p50 p95 p99 | \
                      in time  long | goodput es/s | jain | cached | refused | attempts | refusal p50 p95 ms";

fn measure(site: Site, load: f64, policy: Policy, retry: &retry::Settings) -> Report {
    let cost = CostModel::default();
    let rate = Workload::capacity(site, &cost) * load;
    let arrivals = Workload::new(site, cost, SEED).arrivals(rate, SPAN);
    let run = Run {
        retry: retry.clone(),
        ..Run::new(site, policy, SEED)
    };
    let outcomes = simulate(&run, &arrivals);
    let from = MonoTime::from_millis(WARM_UP * 1_000);
    let span = SPAN - f64::from(u32::try_from(WARM_UP).unwrap_or(0));
    Report::new(&arrivals, &outcomes, from, span)
}

fn compare(site: Site, load: f64) -> BTreeMap<Policy, Report> {
    let retry = &retry::Settings::default();
    thread::scope(|scope| {
        let runs: Vec<_> = Policy::ALL
            .iter()
            .map(|&policy| {
                (
                    policy,
                    scope.spawn(move || measure(site, load, policy, retry)),
                )
            })
            .collect();
        runs.into_iter()
            .map(|(policy, run)| (policy, run.join().expect("the run ends")))
            .collect()
    })
}

fn table(site: Site, load: f64, reports: &BTreeMap<Policy, Report>) {
    println!("\n{site}, load {load}, seed {SEED}\n{HEADER}");
    for (policy, report) in reports {
        println!("{:<18} {report}", policy.as_str());
    }
}

/// The same fleet at capacity and at twice of it, with the retry budget and without one.
fn storm(site: Site) -> Vec<String> {
    let free = retry::Settings {
        per_thousand: 1_000,
        burst: 1_000_000,
        max_attempts: 10,
        ..retry::Settings::default()
    };
    let budget = retry::Settings::default();
    let (full, twice, unbounded) = thread::scope(|scope| {
        let full = scope.spawn(|| measure(site, 1.0, Policy::QuotesLaxity, &budget));
        let twice = scope.spawn(|| measure(site, 2.0, Policy::QuotesLaxity, &budget));
        let unbounded = scope.spawn(|| measure(site, 2.0, Policy::QuotesLaxity, &free));
        let join = |run: thread::ScopedJoinHandle<'_, Report>| run.join().expect("the run ends");
        (join(full), join(twice), join(unbounded))
    });
    println!("\n{site}, retry storm, seed {SEED}\n{HEADER}");
    println!("load 1             {full}");
    println!("load 2             {twice}");
    println!("load 2, no budget  {unbounded}");
    println!("failed at load 2, by decade and reason");
    for ((decade, reason), count) in &twice.reasons {
        println!("  {decade:>9} {reason:<16} {count}");
    }
    Bounds::check_overload(&full, &twice)
}

fn draw(site: Site, reports: &BTreeMap<Policy, Report>) {
    let runs: Vec<(&str, &Report)> = reports
        .iter()
        .map(|(one, run)| (one.as_str(), run))
        .collect();
    let title = format!("Time to first token, 95th percentile, {site} at load {BUSY}");
    let path = format!("{}/../docs/routing-{site}.svg", env!("CARGO_MANIFEST_DIR"));
    fs::write(&path, plot(&title, &runs)).expect("docs/ is writable");
}

fn main() -> ExitCode {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| arg != "--bench")
        .collect();
    let chosen = |kind: &[String], name: &str| {
        let any = wanted.iter().any(|arg| kind.contains(arg));
        !any || wanted.iter().any(|arg| arg == name)
    };
    let sites: Vec<String> = Site::ALL.iter().map(ToString::to_string).collect();
    let mut loads: Vec<String> = LOADS.iter().map(ToString::to_string).collect();
    loads.push("storm".to_owned());
    let mut missed = Vec::new();
    for &site in Site::ALL
        .iter()
        .filter(|site| chosen(&sites, site.as_str()))
    {
        let capacity = Workload::capacity(site, &CostModel::default());
        println!("\n{site}: capacity {capacity:.2} requests/s");
        for load in LOADS
            .into_iter()
            .filter(|load| chosen(&loads, &load.to_string()))
        {
            let reports = compare(site, load);
            table(site, load, &reports);
            missed.extend(Bounds::check(site, load, &reports));
            if (load - BUSY).abs() < f64::EPSILON {
                draw(site, &reports);
            }
        }
        if chosen(&loads, "storm") {
            missed.extend(
                storm(site)
                    .into_iter()
                    .map(|miss| format!("{site}: {miss}")),
            );
        }
    }
    for miss in &missed {
        println!("MISSED {miss}");
    }
    ExitCode::from(u8::from(!missed.is_empty()))
}
