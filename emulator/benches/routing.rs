//! Compares policies of routing and scheduling in virtual time, and fails on a missed bound.

use std::thread;

use jujube_emulator::engine::core::CostModel;
use jujube_emulator::experiment::Mix;
use jujube_emulator::experiment::Policy;
use jujube_emulator::experiment::Report;
use jujube_emulator::experiment::Run;
use jujube_emulator::experiment::Site;
use jujube_emulator::experiment::simulate;
use jujubewind::retry;
use jujubewind::routing;
use jujubewind::types::MonoTime;

const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
const SEED: u64 = 7;
/// Seconds of traffic, of which the first are not counted.
const SPAN: f64 = 1_800.0;
const WARM_UP: f64 = 200.0;

fn measure(site: Site, load: f64, policy: Policy) -> Report {
    let cost = CostModel::default();
    let rate = Mix::capacity(site, &cost) * load;
    let arrivals = Mix::new(site, cost, SEED).arrivals(rate, SPAN);
    let run = Run {
        site,
        policy,
        routing: routing::Settings::default(),
        retry: retry::Settings::default(),
        seed: SEED,
    };
    let outcomes = simulate(&run, &arrivals);
    if std::env::var("TRACE").is_ok() {
        for (a, o) in arrivals.iter().zip(&outcomes) {
            if o.refused.is_some() || a.prompt.get() > 349_000 {
                println!(
                    "{} {} {} at {:.1} allowed {:.0} first {:?} refused {:?} done {:?} parts {} tries {}",
                    a.class,
                    a.prompt,
                    a.org,
                    a.at.micros() as f64 / 1e6,
                    a.allowed.get() as f64 / 1e3,
                    o.first.map(|f| (f.micros() - a.at.micros()) as f64 / 1e6),
                    o.refused
                        .map(|(t, r)| ((t.micros() - a.at.micros()) as f64 / 1e6, r)),
                    o.done.map(|t| t.micros() as f64 / 1e6),
                    o.parts,
                    o.attempts
                );
            }
        }
    }
    let from = MonoTime::from_millis(WARM_UP as u64 * 1_000);
    Report::new(&arrivals, &outcomes, from, SPAN - WARM_UP)
}

fn main() {
    let only: Vec<String> = std::env::args().skip(1).collect();
    for &site in Site::ALL {
        if only.iter().any(|arg| arg == "rb") && site == Site::Lublin
            || only.iter().any(|arg| arg == "lu") && site == Site::RaviBagh
        {
            continue;
        }

        println!(
            "{site} capacity {:.3}/s",
            Mix::capacity(site, &CostModel::default())
        );
        for load in LOADS {
            if only.iter().any(|arg| arg == "0.8") && (load - 0.8).abs() > 0.41 {
                continue;
            }

            let reports: Vec<(Policy, Report)> = thread::scope(|scope| {
                let handles: Vec<_> = Policy::ALL
                    .iter()
                    .filter(|policy| {
                        !only.iter().any(|arg| arg == "ours") || **policy == Policy::Ours
                    })
                    .map(|&policy| (policy, scope.spawn(move || measure(site, load, policy))))
                    .collect();
                handles
                    .into_iter()
                    .map(|(policy, handle)| (policy, handle.join().expect("the run ends")))
                    .collect()
            });
            println!("{site} load {load}");
            for (policy, report) in &reports {
                print!("{policy:<20}");
                for decade in &report.decades {
                    print!(
                        " | {:>4} {:>8.0} {:>8.0} {:>8.0}",
                        decade.count(),
                        decade.percentile(0.5),
                        decade.percentile(0.95),
                        decade.percentile(0.99)
                    );
                }
                println!(
                    " | slow {:.2} {:.2} {:.2} | in time {:.3} long {:.3} | good {:.2} | jain {:.3} | cache {:.3} | refused {:.3} | tries {:.2}",
                    report.slowdown(0.5),
                    report.slowdown(0.95),
                    report.slowdown(0.99),
                    report.in_time,
                    report.long_in_time,
                    report.goodput,
                    report.fairness,
                    report.cached,
                    report.refused,
                    report.attempts
                );
                println!("   {:?}", report.reasons);
            }
        }
    }
}
