//! What entry and agent add to the time of a request: a caller that speaks to the engine itself
//! against one that goes through them, in one run.
//!
//! `cargo bench -p jujube-emulator --bench hop` prints the table and fails beyond the bounds.

mod bounds;
mod path;
mod sample;

use std::process::ExitCode;
use std::time::Instant;

use compio::runtime::Runtime;
use cyper::Client;
use futures::future::join_all;
use jujube_emulator::embedded::System;
use jujube_emulator::embedded::SystemOptions;

use crate::bounds::Bounds;
use crate::path::Path;
use crate::sample::Sample;

/// Callers at once.
const CALLERS: [u64; 4] = [1, 4, 16, 64];
/// Requests of each caller in a round, spread over fewer rounds where there are more callers.
const REQUESTS: u64 = 320;
/// Rounds, in which the two ways take turns so that both see the same machine.
const ROUNDS: u64 = 5;
/// Requests that warm connections and caches up.
const WARM_UP: u64 = 50;
/// How many times faster than real time the engine runs, so that the hop stands out.
const SPEED: f64 = 100.0;

fn main() -> ExitCode {
    let runtime = Runtime::new().expect("the runtime starts");
    let results = runtime.block_on(measure());
    Sample::print_header();
    let mut bounds = Bounds::default();
    for (callers, direct, through) in &results {
        direct.print(*callers, "direct");
        through.print(*callers, "entry+agent");
        direct.print_added(*callers, through);
        bounds.check(*callers, direct, through);
    }
    bounds.report()
}

async fn measure() -> Vec<(u64, Sample, Sample)> {
    let options = SystemOptions {
        engines: 1,
        speed: SPEED,
        port: 0,
    };
    let system = System::start(&options).await.expect("the system starts");
    let direct = Path::direct(system.engines[0].addr);
    let through = Path::through(system.entries[0]);
    run(&direct, 1, WARM_UP, &mut Sample::default()).await;
    run(&through, 1, WARM_UP, &mut Sample::default()).await;
    let mut results = Vec::new();
    for callers in CALLERS {
        let mut samples = (Sample::default(), Sample::default());
        for _ in 0..ROUNDS {
            let each = (REQUESTS / callers).max(10);
            run(&direct, callers, each, &mut samples.0).await;
            run(&through, callers, each, &mut samples.1).await;
        }
        results.push((callers, samples.0, samples.1));
    }
    results
}

/// Lets `callers` send `each` requests one after another.
async fn run(path: &Path, callers: u64, each: u64, sample: &mut Sample) {
    let client = Client::new().expect("a client");
    let start = Instant::now();
    let work = (0..callers).map(|_| async {
        let mut times = Vec::new();
        for _ in 0..each {
            times.push(path.request(&client).await);
        }
        times
    });
    let times = join_all(work).await;
    sample.add(start.elapsed(), times.into_iter().flatten());
}
