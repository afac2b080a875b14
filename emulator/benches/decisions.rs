//! Micro-benchmarks of single decisions: routing in fleets of several sizes, a quote and a poll of
//! the scheduler.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use jujubewind::routing;
use jujubewind::routing::Candidate;
use jujubewind::routing::Request;
use jujubewind::routing::Router;
use jujubewind::scheduler::Cost;
use jujubewind::scheduler::Job;
use jujubewind::scheduler::Scheduler;
use jujubewind::scheduler::Settings;
use jujubewind::types::AttemptId;
use jujubewind::types::Class;
use jujubewind::types::DomainId;
use jujubewind::types::Millis;
use jujubewind::types::ModelId;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The sizes of the fleets.
const FLEET_SIZES: [usize; 4] = [10, 100, 400, 1_300];
/// The lengths of the queues.
const QUEUE_LENGTHS: [u64; 3] = [10, 100, 1_000];
/// The number of failure domains.
const DOMAINS: usize = 7;

fn domain(number: usize) -> DomainId {
    format!("domain-{}", number % DOMAINS)
        .parse()
        .expect("a valid name")
}

fn model() -> ModelId {
    "large".parse().expect("a valid name")
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        node: format!("agent-{number:04}").parse().expect("a valid name"),
        domain: domain(number),
        models: vec![model()],
        leaving: false,
        suspect: false,
    }
}

fn job(number: u64) -> Job {
    Job {
        attempt: AttemptId::from_number(u128::from(number)),
        org: format!("org-{}", number % 10)
            .parse()
            .expect("a valid name"),
        class: Class::Interactive,
        prompt: Tokens(1_000 + number * 37 % 30_000),
        cached: Tokens::ZERO,
        output: Tokens(256),
        parts: 1,
        remaining: Millis(10_000_000),
    }
}

fn scheduler(queued: u64) -> Scheduler {
    let settings = Settings {
        // Admits the longest queue, whose promised memory far exceeds the capacity.
        overcommit: 1_000,
        ..Settings::for_engine(Tokens(400_000), 64)
    };
    let mut scheduler = Scheduler::new(settings, Cost::new(36_000, 594, 8_000));
    for number in 0..queued {
        scheduler
            .admit(MonoTime::ZERO, job(number))
            .expect("admitted");
    }
    scheduler.poll(MonoTime::ZERO);
    scheduler
}

fn bench_route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    let org: OrgId = "org-1".parse().expect("a valid name");
    let model = model();
    for size in FLEET_SIZES {
        let members: Vec<Candidate> = (0..size).map(candidate).collect();
        let router = Router::new(domain(0), routing::Settings::default());
        let request = Request {
            org: &org,
            model: &model,
            class: Class::Interactive,
            prompt: Tokens(20_000),
            parts: 1,
            // One hash for each full block of the prompt.
            blocks: &[1; 39],
        };
        let mut rng = StdRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| black_box(router.choose(&members, &request, &[], &mut rng)));
        });
    }
    group.finish();
}

fn bench_quote(c: &mut Criterion) {
    let mut group = c.benchmark_group("quote");
    for queued in QUEUE_LENGTHS {
        let scheduler = scheduler(queued);
        let job = job(5_000);
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            b.iter(|| black_box(scheduler.quote(MonoTime::ZERO, &job)));
        });
    }
    group.finish();
}

fn bench_poll(c: &mut Criterion) {
    let mut group = c.benchmark_group("schedule step");
    for queued in QUEUE_LENGTHS {
        let mut scheduler = scheduler(queued);
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            b.iter(|| black_box(scheduler.poll(MonoTime::from_millis(1))));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_route(&mut criterion);
    bench_quote(&mut criterion);
    bench_poll(&mut criterion);
    criterion.final_summary();
}
