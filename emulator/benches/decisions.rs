//! The cost of one decision: a route at fleets of several sizes, a quote and a step of a schedule.

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

const FLEETS: [usize; 4] = [10, 100, 400, 1_300];
const QUEUES: [u64; 3] = [10, 100, 1_000];
const DOMAINS: usize = 7;

fn domain(number: usize) -> DomainId {
    format!("domain-{}", number % DOMAINS)
        .parse()
        .expect("a name")
}

fn model() -> ModelId {
    "large".parse().expect("a name")
}

fn member(number: usize) -> Candidate {
    Candidate {
        node: format!("agent-{number:04}").parse().expect("a name"),
        domain: domain(number),
        models: vec![model()],
        leaving: false,
        suspect: false,
    }
}

fn job(number: u64) -> Job {
    Job {
        attempt: AttemptId::from_number(u128::from(number)),
        org: format!("org-{}", number % 10).parse().expect("a name"),
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

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    let org: OrgId = "org-1".parse().expect("a name");
    let model = model();
    for size in FLEETS {
        let members: Vec<Candidate> = (0..size).map(member).collect();
        let router = Router::new(domain(0), routing::Settings::default());
        let request = Request {
            org: &org,
            model: &model,
            class: Class::Interactive,
            prompt: Tokens(20_000),
            parts: 1,
            blocks: &[1; 39],
        };
        let mut rng = StdRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| black_box(router.choose(&members, &request, &[], &mut rng)));
        });
    }
    group.finish();
}

fn quote(c: &mut Criterion) {
    let mut group = c.benchmark_group("quote");
    for queued in QUEUES {
        let scheduler = scheduler(queued);
        let job = job(5_000);
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            b.iter(|| black_box(scheduler.quote(MonoTime::ZERO, &job)));
        });
    }
    group.finish();
}

fn step(c: &mut Criterion) {
    let mut group = c.benchmark_group("schedule step");
    for queued in QUEUES {
        let mut scheduler = scheduler(queued);
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            b.iter(|| black_box(scheduler.poll(MonoTime::from_millis(1))));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    route(&mut criterion);
    quote(&mut criterion);
    step(&mut criterion);
    criterion.final_summary();
}
