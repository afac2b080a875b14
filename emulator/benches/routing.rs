//! Compares routing and scheduling policies in virtual time, and fails if a target is missed.
//!
//! `cargo bench -p jujube-emulator --bench routing` runs everything; sites and loads given after
//! `--` select a part. The plot of each site is written to `docs/routing-SITE.svg`.

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

/// The loads as shares of the capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
/// The load that is plotted.
const PLOT_LOAD: f64 = 0.8;
/// The seed of every run.
const SEED: u64 = 7;
/// The seconds of traffic, including the warm-up.
const SPAN_SECONDS: f64 = 1_800.0;
/// The seconds of traffic at the start that are not evaluated.
const WARM_UP_SECONDS: u64 = 200;

const HEADER: &str = "policy             |  1k: n  p50  p95  p99 ms | 10k: n  p50  p95  p99 ms | \
                      100k: n  p50  p95  p99 s | 1M: n  p50  p95 s | short slowdown p50 p95 p99 | \
                      in time  long | goodput es/s | jain | cached | refused | attempts | refusal p50 p95 ms";

fn measure(site: Site, load: f64, policy: Policy, retry: &retry::Settings) -> Report {
    let cost = CostModel::default();
    let rate = Workload::capacity(site, &cost) * load;
    let arrivals = Workload::new(site, cost, SEED).arrivals(rate, SPAN_SECONDS);
    let run = Run {
        retry: retry.clone(),
        ..Run::new(site, policy, SEED)
    };
    let outcomes = simulate(&run, &arrivals);
    let from = MonoTime::from_millis(WARM_UP_SECONDS * 1_000);
    let span = SPAN_SECONDS - f64::from(u32::try_from(WARM_UP_SECONDS).unwrap_or(0));
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

fn print_table(site: Site, load: f64, reports: &BTreeMap<Policy, Report>) {
    println!("\n{site}, load {load}, seed {SEED}\n{HEADER}");
    for (policy, report) in reports {
        println!("{:<18} {report}", policy.as_str());
    }
}

/// Runs the fleet at capacity, and at twice the capacity with and without a retry budget. Returns
/// the missed targets.
fn run_overload(site: Site) -> Vec<String> {
    let unlimited = retry::Settings {
        per_thousand: 1_000,
        burst: 1_000_000,
        max_attempts: 10,
        ..retry::Settings::default()
    };
    let budget = retry::Settings::default();
    let (full, twice, unlimited_twice) = thread::scope(|scope| {
        let full = scope.spawn(|| measure(site, 1.0, Policy::QuotesLaxity, &budget));
        let twice = scope.spawn(|| measure(site, 2.0, Policy::QuotesLaxity, &budget));
        let unlimited_twice = scope.spawn(|| measure(site, 2.0, Policy::QuotesLaxity, &unlimited));
        let join = |run: thread::ScopedJoinHandle<'_, Report>| run.join().expect("the run ends");
        (join(full), join(twice), join(unlimited_twice))
    });
    println!("\n{site}, retry storm, seed {SEED}\n{HEADER}");
    println!("load 1             {full}");
    println!("load 2             {twice}");
    println!("load 2, no budget  {unlimited_twice}");
    println!("failed at load 2, by decade and reason");
    for ((decade, reason), count) in &twice.reasons {
        println!("  {decade:>9} {reason:<16} {count}");
    }
    Bounds::check_overload(&full, &twice)
}

fn write_plot(site: Site, reports: &BTreeMap<Policy, Report>) {
    let runs: Vec<(&str, &Report)> = reports
        .iter()
        .map(|(policy, report)| (policy.as_str(), report))
        .collect();
    let title = format!("Time to first token, 95th percentile, {site} at load {PLOT_LOAD}");
    let path = format!("{}/../docs/routing-{site}.svg", env!("CARGO_MANIFEST_DIR"));
    fs::write(&path, plot(&title, &runs)).expect("docs/ is writable");
}

fn main() -> ExitCode {
    let selection: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| arg != "--bench")
        .collect();
    let is_selected = |kind: &[String], name: &str| {
        let any = selection.iter().any(|arg| kind.contains(arg));
        !any || selection.iter().any(|arg| arg == name)
    };
    let sites: Vec<String> = Site::ALL.iter().map(ToString::to_string).collect();
    let mut loads: Vec<String> = LOADS.iter().map(ToString::to_string).collect();
    loads.push("storm".to_owned());
    let mut missed = Vec::new();
    for &site in Site::ALL
        .iter()
        .filter(|site| is_selected(&sites, site.as_str()))
    {
        let capacity = Workload::capacity(site, &CostModel::default());
        println!("\n{site}: capacity {capacity:.2} requests/s");
        for load in LOADS
            .into_iter()
            .filter(|load| is_selected(&loads, &load.to_string()))
        {
            let reports = compare(site, load);
            print_table(site, load, &reports);
            missed.extend(Bounds::check(site, load, &reports));
            if (load - PLOT_LOAD).abs() < f64::EPSILON {
                write_plot(site, &reports);
            }
        }
        if is_selected(&loads, "storm") {
            missed.extend(
                run_overload(site)
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
