//! The embedded system: all components in one process.

mod common;

use common::block_on;
use jujube_emulator::embedded::Demo;
use jujube_emulator::embedded::EngineMemory;
use jujube_emulator::embedded::Summary;
use jujube_emulator::embedded::SystemOptions;
use jujube_emulator::load::LoadPlan;
use jujube_emulator::load::Report;
use jujubewind::types::Tokens;

fn demo() -> Demo {
    Demo {
        system: SystemOptions {
            engines: 2,
            speed: 50.0,
            port: 0,
        },
        plan: LoadPlan {
            count: 13,
            seed: 3,
            rate: 50.0,
            lengths: "1000:3,10000:1".parse().expect("a length mix"),
            max_tokens: 8,
        },
    }
}

fn summary(after: u64, executions: u64) -> Summary {
    Summary {
        report: Report::default(),
        answered: 2,
        calls: 2,
        executions,
        engines: vec![EngineMemory {
            before: Tokens(100),
            after: Tokens(after),
        }],
    }
}

#[test]
fn the_demo_serves_all_requests_and_frees_all_memory() {
    let summary = block_on(demo().run()).expect("the system runs");

    assert!(summary.is_success(), "{summary}");
    assert_eq!((summary.report.served(), summary.engines.len()), (13, 2));
}

#[test]
fn leaked_memory_and_repeated_calls_are_failures() {
    assert!(summary(100, 2).is_success());
    assert!(!summary(99, 2).is_success());
    assert!(!summary(100, 3).is_success());
}
