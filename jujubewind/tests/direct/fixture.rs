//! Servers, engines, jobs and tables for the tests.

use std::rc::Rc;

use jujubewind::direct::Assignment;
use jujubewind::direct::BudgetLimits;
use jujubewind::direct::Candidate;
use jujubewind::direct::Core;
use jujubewind::direct::CoreSettings;
use jujubewind::direct::Engine;
use jujubewind::direct::FleetChange;
use jujubewind::direct::Job;
use jujubewind::direct::JobId;
use jujubewind::direct::Limits;
use jujubewind::direct::Row;
use jujubewind::direct::Server;
use jujubewind::direct::ServerLoad;
use jujubewind::direct::ServerState;
use jujubewind::direct::Service;
use jujubewind::direct::Table;
use jujubewind::scheduler::Work;
use jujubewind::types::DomainId;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::Revision;
use jujubewind::types::Tokens;

/// An engine that prefills 154 tokens in a millisecond and decodes 34 tokens in a pass.
pub fn engine() -> Engine {
    Engine {
        slots: 16,
        memory: Tokens(405_000),
        stride: 34,
        chunk: 2_048,
        step: 1_310_000,
        writer: 917,
        context: 2_130,
        token: 6_494,
        pairs: 162_000,
    }
}

pub fn server(number: usize) -> Server {
    Server {
        id: format!("s{number:02}").parse().expect("a name"),
        service: "llm".parse().expect("a name"),
        addr: ([127, 0, 0, 1], 9_000).into(),
        domain: domain("zone-a"),
        slots: 16,
        state: ServerState::Ready,
        started: Some(Incarnation(1)),
        cold_left: Millis::ZERO,
    }
}

pub fn domain(name: &str) -> DomainId {
    name.parse().expect("a name")
}

pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A prompt with a latency target of 300 ms if it is short and 4 s if it is long.
pub fn job(id: u64, prompt: u64) -> Job {
    let short = prompt < 25_000;
    Job {
        id: JobId(id),
        service: "llm".parse().expect("a name"),
        prompt: Tokens(prompt),
        output: Tokens(1_000),
        max_gap: Some(Millis(if short { 250 } else { 1_000 })),
        latency_target: Millis(if short { 300 } else { 4_000 }),
        client_timeout: Millis(if short { 2_000 } else { 15_000 }),
        deadline: at(if short { 10_000 } else { 15_000 }),
        priority: 1,
        domains: None,
        excluded: Vec::new(),
        arrived: MonoTime::ZERO,
    }
}

pub fn assignment(job: u64, read: u64, leads: bool) -> Assignment {
    Assignment {
        job: JobId(job),
        prefill: Work(read * 1_000),
        started: MonoTime::ZERO,
        prefill_due: at(read),
        memory: Tokens(if leads { 5_000 } else { 0 }),
        is_primary: leads,
        max_gap: leads.then_some(Millis(250)),
        value: 18_000,
    }
}

/// The load of a server with the given assignments.
pub fn load(assignments: &[Assignment]) -> ServerLoad {
    let mut ledger = jujubewind::direct::Ledger::default();
    let id = server(0).id;
    for assignment in assignments {
        ledger.assign(&id, assignment.clone());
    }
    ledger.load(MonoTime::ZERO, &id)
}

/// Servers with the given assignments.
pub fn candidates(assignments: &[Vec<Assignment>]) -> Vec<Candidate> {
    let candidate = |(number, assignments): (usize, &Vec<Assignment>)| Candidate {
        server: Rc::new(server(number)),
        load: load(assignments),
        strained: false,
        may_help: true,
        spread: Work::ZERO,
    };
    assignments.iter().enumerate().map(candidate).collect()
}

pub fn row(number: usize, read: u64, leads: u32) -> Row {
    Row {
        server: server(number).id,
        read: Work(read * 1_000),
        until: Millis(read),
        leads,
        memory: Tokens::ZERO,
        pause: Some(Millis(250)),
        value: 0,
    }
}

pub fn budget() -> BudgetLimits {
    BudgetLimits {
        share: 200,
        extra: 100,
        window: Millis(10_000),
    }
}

pub fn table(version: u64) -> Table {
    let mut table = Table::new(Revision(version), Limits::default());
    table.add_service(Service {
        name: "llm".parse().expect("a name"),
        connections: 264,
        cold: None,
        engine: Some(engine()),
    });
    table
}

/// The state of an entry with `servers` engines listed.
pub fn core(servers: usize) -> Core {
    core_of("entry-1", servers)
}

/// The state of the entry `node` with `servers` engines listed.
pub fn core_of(node: &str, servers: usize) -> Core {
    let settings = CoreSettings {
        node: node.parse().expect("a name"),
        domain: domain("zone-a"),
        budget: budget(),
    };
    let mut core = Core::new(settings, MonoTime::ZERO);
    core.configure(MonoTime::ZERO, Rc::new(table(1)));
    let servers = (0..servers).map(server).collect();
    core.apply_fleet_change(MonoTime::ZERO, FleetChange::Servers(servers));
    core
}
