//! Which members are seen as alive, leaving or dead, under crashes, cut links and a stale VM list.

use std::collections::BTreeSet;

use jujubewind::membership::MembershipState;
use jujubewind::membership::Role;
use jujubewind::membership::Status;
use jujubewind::types::Incarnation;
use jujubewind::types::NodeId;

use super::fleet::Fleet;
use super::fleet::member;
use super::fleet::seed;

const SEEDS: std::ops::Range<u64> = 0..4;
const ENTRIES: usize = 21;
const AGENTS: usize = 60;
const DOMAINS: usize = 3;
/// The agent that crashes, freezes or leaves in the tests.
const AGENT: usize = ENTRIES + 7;

fn converged_fleet(rng_seed: u64) -> Fleet {
    let mut fleet = Fleet::new(ENTRIES, AGENTS, DOMAINS, rng_seed);
    fleet.run(30);
    fleet
}

fn node_id(number: usize) -> NodeId {
    seed(number, role(number), DOMAINS).node
}

fn role(number: usize) -> Role {
    if number < ENTRIES {
        Role::Entry
    } else {
        Role::Agent
    }
}

fn status(process: &MembershipState, number: usize) -> Option<Status> {
    let member = process.view().get(&node_id(number));
    member.map(|member| member.status)
}

fn members_of_domain(fleet: &Fleet, domain: usize) -> BTreeSet<usize> {
    (0..fleet.processes.len())
        .filter(|number| number % DOMAINS == domain)
        .collect()
}

fn knows_all(process: &MembershipState) -> bool {
    process.view().agents().count() == AGENTS && process.view().entries().count() == ENTRIES
}

#[test]
fn all_entries_discover_all_members_through_a_few_contacts() {
    for rng_seed in SEEDS {
        let fleet = converged_fleet(rng_seed);

        let incomplete = fleet.entries_without(knows_all);

        assert!(incomplete.is_empty(), "seed {rng_seed}: {incomplete:?}");
    }
}

#[test]
fn an_agent_learns_the_entries_of_its_failure_domain() {
    for rng_seed in SEEDS {
        let fleet = converged_fleet(rng_seed);
        let agent = &fleet.processes[AGENT];

        let domain = &agent.me().domain;
        let siblings = agent.view().in_domain(domain);
        let entries = siblings.filter(|m| m.role == Role::Entry).count();

        assert_eq!(entries, ENTRIES / DOMAINS, "seed {rng_seed}");
    }
}

#[test]
fn a_crashed_agent_is_dead_everywhere_and_no_other_member_is() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);

        fleet.down.insert(AGENT);
        fleet.run(20);

        let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Dead));
        let mistaken = fleet.entries_without(|m| m.view().living().count() == ENTRIES + AGENTS - 1);
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
        assert!(mistaken.is_empty(), "seed {rng_seed}: {mistaken:?}");
    }
}

#[test]
fn a_crash_of_an_agent_with_most_entries_of_its_domain_is_detected() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);
        let domain_entries: Vec<usize> = (0..ENTRIES)
            .filter(|i| i % DOMAINS == AGENT % DOMAINS)
            .collect();

        fleet.down.insert(AGENT);
        fleet.down.extend(&domain_entries[1..]);
        fleet.run(60);

        let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Dead));
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn a_frozen_agent_is_alive_again_after_it_resumes() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);

        fleet.down.insert(AGENT);
        fleet.run(30);
        fleet.down.clear();
        fleet.run(20);

        let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Alive));
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn a_frozen_entry_declares_no_member_dead_after_it_resumes() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);

        fleet.down.insert(0);
        fleet.run(40);
        fleet.down.clear();
        fleet.run(20);

        let mistaken = fleet.entries_without(knows_all);
        assert!(mistaken.is_empty(), "seed {rng_seed}: {mistaken:?}");
    }
}

#[test]
fn a_leave_notice_reaches_entries_that_cannot_reach_the_agent() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);
        for entry in 1..ENTRIES {
            fleet.cuts.insert((entry, AGENT));
        }
        let now = fleet.now;

        let calls = fleet.processes[AGENT].leave(now);
        fleet.send(AGENT, calls);
        fleet.run(6);

        let is_leaving =
            |m: &MembershipState| m.view().get(&node_id(AGENT)).is_some_and(|a| a.leaving);
        let unaware = fleet.entries_without(is_leaving);
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn the_vm_list_marks_an_agent_as_leaving_through_a_single_entry() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);
        let mut record = seed(AGENT, Role::Agent, DOMAINS);
        record.leaving = true;
        let now = fleet.now;

        let calls = fleet.processes[0].merge_vm_list(now, &[record]);
        fleet.send(0, calls);
        fleet.run(8);

        let is_leaving =
            |m: &MembershipState| m.view().get(&node_id(AGENT)).is_some_and(|a| a.leaving);
        let unaware = fleet.entries_without(is_leaving);
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
        assert!(fleet.processes[AGENT].is_leaving(), "seed {rng_seed}");
    }
}

#[test]
fn the_vm_list_neither_removes_unlisted_members_nor_revives_dead_ones() {
    let mut fleet = converged_fleet(1);
    fleet.down.insert(AGENT);
    fleet.run(20);
    let now = fleet.now;

    let calls = fleet.processes[0].merge_vm_list(now, &[seed(AGENT, Role::Agent, DOMAINS)]);
    fleet.send(0, calls);
    fleet.run(5);

    let process = &fleet.processes[0];
    assert_eq!(status(process, AGENT), Some(Status::Dead));
    assert_eq!(process.view().living().count(), ENTRIES + AGENTS - 1);
}

#[test]
fn the_vm_list_adds_an_agent_whose_settings_name_no_live_entry() {
    let mut fleet = converged_fleet(2);
    let newcomer = ENTRIES + AGENTS;
    fleet.add(member(newcomer, Role::Agent, DOMAINS), &[]);
    let list = [seed(newcomer, Role::Agent, DOMAINS)];

    for entry in 0..ENTRIES {
        let now = fleet.now;
        let calls = fleet.processes[entry].merge_vm_list(now, &list);
        fleet.send(entry, calls);
    }
    fleet.run(20);

    let unaware = fleet.entries_without(|m| status(m, newcomer) == Some(Status::Alive));
    assert!(unaware.is_empty(), "{unaware:?}");
}

#[test]
fn a_restarted_process_replaces_its_previous_incarnation() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);
        let mut restarted = member(AGENT, Role::Agent, DOMAINS);
        restarted.incarnation = Incarnation(2);
        restarted.addr = "10.9.9.9:7000".parse().expect("valid address");
        let contacts = [seed(3, Role::Entry, DOMAINS).addr];

        fleet.down.insert(AGENT);
        fleet.add(restarted.clone(), &contacts);
        fleet.run(20);

        let unaware = fleet.entries_without(|m| {
            let known = m.view().get(&restarted.node);
            known.is_some_and(|k| k.addr == restarted.addr && k.status == Status::Alive)
        });
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn a_partitioned_failure_domain_is_suspected_as_a_whole_until_the_cut_ends() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);
        let cut = members_of_domain(&fleet, 1);
        let model = fleet.processes[AGENT].me().models[0].clone();
        let cut_domain = seed(1, Role::Entry, DOMAINS).domain;

        fleet.isolate(&cut);
        fleet.run(30);

        for number in (0..ENTRIES).filter(|number| !cut.contains(number)) {
            let view = fleet.processes[number].view();
            let healthy = view.candidates(&model).filter(|c| !c.suspect);
            let domains: BTreeSet<_> = healthy.map(|c| &c.member.domain).collect();
            assert!(!domains.is_empty(), "seed {rng_seed}: entry {number}");
            assert!(
                !domains.contains(&cut_domain),
                "seed {rng_seed}: entry {number}"
            );
        }
        fleet.cuts.clear();
        fleet.run(15);
        let mistaken = fleet.entries_without(|m| {
            knows_all(m) && m.view().living().all(|member| !m.view().is_suspect(member))
        });
        assert!(mistaken.is_empty(), "seed {rng_seed}: {mistaken:?}");
    }
}

#[test]
fn agents_without_entries_in_their_failure_domain_are_monitored_by_another() {
    for rng_seed in SEEDS {
        let mut fleet = converged_fleet(rng_seed);
        let stopped: Vec<usize> = (0..ENTRIES)
            .filter(|number| number % DOMAINS == 1)
            .collect();
        let model = fleet.processes[AGENT].me().models[0].clone();

        let total = fleet.processes[0].view().candidates(&model).count();
        fleet.down.extend(stopped);
        fleet.run(60);

        let incomplete = fleet.entries_without(|m| {
            let healthy = m.view().candidates(&model).filter(|c| !c.suspect);
            healthy.count() == total
        });
        assert!(incomplete.is_empty(), "seed {rng_seed}: {incomplete:?}");
    }
}

#[test]
fn a_process_that_shuts_down_gracefully_is_dead_at_once() {
    let mut fleet = converged_fleet(3);
    let now = fleet.now;

    let calls = fleet.processes[AGENT].stop(now);
    fleet.send(AGENT, calls);
    fleet.run(6);

    let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Dead));
    assert!(unaware.is_empty(), "{unaware:?}");
}
