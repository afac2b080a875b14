//! Measures the latency that an entry and an agent add to a request, by comparing requests sent
//! directly to the engine with requests sent through them.
//!
//! `cargo bench -p jujube-emulator --bench hop` prints a table and fails if a bound is violated.

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

/// The numbers of concurrent callers.
const CALLERS: [u64; 4] = [1, 4, 16, 64];
/// The requests of a round, divided among the callers, who send at least ten each.
const REQUESTS_PER_ROUND: u64 = 320;
/// The number of rounds; both paths alternate, so that both see the same machine load.
const ROUNDS: u64 = 5;
/// The number of requests that warm up connections and caches.
const WARM_UP_REQUESTS: u64 = 50;
/// The speed of the engine relative to real time; high, so that the overhead stands out.
const SPEED: f64 = 100.0;

fn main() -> ExitCode {
    let runtime = Runtime::new().expect("the runtime starts");
    let results = runtime.block_on(measure());
    Sample::print_header();
    let mut bounds = Bounds::default();
    for (callers, direct, proxied) in &results {
        direct.print(*callers, "direct");
        proxied.print(*callers, "entry+agent");
        direct.print_added(*callers, proxied);
        bounds.check(*callers, direct, proxied);
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
    let proxied = Path::proxied(system.entries[0]);
    run(&direct, 1, WARM_UP_REQUESTS, &mut Sample::default()).await;
    run(&proxied, 1, WARM_UP_REQUESTS, &mut Sample::default()).await;
    let mut results = Vec::new();
    for callers in CALLERS {
        let mut samples = (Sample::default(), Sample::default());
        for _ in 0..ROUNDS {
            let each = (REQUESTS_PER_ROUND / callers).max(10);
            run(&direct, callers, each, &mut samples.0).await;
            run(&proxied, callers, each, &mut samples.1).await;
        }
        results.push((callers, samples.0, samples.1));
    }
    results
}

/// Runs `callers` concurrent callers that send `each` requests one after another.
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
