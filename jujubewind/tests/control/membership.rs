//! Who is seen as there, leaving or dead, under crashes, cuts and a lagging list.

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
const AGENT: usize = ENTRIES + 7;

fn settled(rng_seed: u64) -> Fleet {
    let mut fleet = Fleet::new(ENTRIES, AGENTS, DOMAINS, rng_seed);
    fleet.run(30);
    fleet
}

fn name(number: usize) -> NodeId {
    seed(number, role(number), DOMAINS).node
}

fn role(number: usize) -> Role {
    if number < ENTRIES {
        Role::Entry
    } else {
        Role::Agent
    }
}

fn status(machine: &MembershipState, number: usize) -> Option<Status> {
    let member = machine.view().get(&name(number));
    member.map(|member| member.status)
}

fn of_domain(fleet: &Fleet, domain: usize) -> BTreeSet<usize> {
    (0..fleet.machines.len())
        .filter(|number| number % DOMAINS == domain)
        .collect()
}

fn knows_all(machine: &MembershipState) -> bool {
    machine.view().agents().count() == AGENTS && machine.view().entries().count() == ENTRIES
}

#[test]
fn all_entries_learn_of_all_members_from_a_few_seeds() {
    for rng_seed in SEEDS {
        let fleet = settled(rng_seed);

        let ignorant = fleet.entries_without(knows_all);

        assert!(ignorant.is_empty(), "seed {rng_seed}: {ignorant:?}");
    }
}

#[test]
fn an_agent_learns_the_entries_of_its_failure_domain() {
    for rng_seed in SEEDS {
        let fleet = settled(rng_seed);
        let agent = &fleet.machines[AGENT];

        let domain = &agent.me().domain;
        let siblings = agent.view().in_domain(domain);
        let entries = siblings.filter(|m| m.role == Role::Entry).count();

        assert_eq!(entries, ENTRIES / DOMAINS, "seed {rng_seed}");
    }
}

#[test]
fn a_crashed_agent_is_dead_everywhere_and_no_other_is_doubted() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);

        fleet.down.insert(AGENT);
        fleet.run(20);

        let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Dead));
        let doubting = fleet.entries_without(|m| m.view().living().count() == ENTRIES + AGENTS - 1);
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
        assert!(doubting.is_empty(), "seed {rng_seed}: {doubting:?}");
    }
}

#[test]
fn a_crash_of_an_agent_with_both_its_homes_is_noticed() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);
        let rack: Vec<usize> = (0..ENTRIES)
            .filter(|i| i % DOMAINS == AGENT % DOMAINS)
            .collect();

        fleet.down.insert(AGENT);
        fleet.down.extend(&rack[1..]);
        fleet.run(60);

        let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Dead));
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn a_frozen_agent_that_wakes_is_alive_again() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);

        fleet.down.insert(AGENT);
        fleet.run(30);
        fleet.down.clear();
        fleet.run(20);

        let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Alive));
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn a_frozen_entry_that_wakes_kills_nobody() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);

        fleet.down.insert(0);
        fleet.run(40);
        fleet.down.clear();
        fleet.run(20);

        let doubting = fleet.entries_without(knows_all);
        assert!(doubting.is_empty(), "seed {rng_seed}: {doubting:?}");
    }
}

#[test]
fn a_leave_notice_reaches_an_entry_that_cannot_hear_the_agent() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);
        for entry in 1..ENTRIES {
            fleet.cuts.insert((entry, AGENT));
        }
        let now = fleet.now;

        let calls = fleet.machines[AGENT].leave(now);
        fleet.post(AGENT, calls);
        fleet.run(6);

        let is_leaving =
            |m: &MembershipState| m.view().get(&name(AGENT)).is_some_and(|a| a.leaving);
        let unaware = fleet.entries_without(is_leaving);
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn the_list_marks_a_leaving_agent_through_a_single_entry_that_hears_it() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);
        let mut line = seed(AGENT, Role::Agent, DOMAINS);
        line.leaving = true;
        let now = fleet.now;

        let calls = fleet.machines[0].merge_vm_list(now, &[line]);
        fleet.post(0, calls);
        fleet.run(8);

        let is_leaving =
            |m: &MembershipState| m.view().get(&name(AGENT)).is_some_and(|a| a.leaving);
        let unaware = fleet.entries_without(is_leaving);
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
        assert!(fleet.machines[AGENT].is_leaving(), "seed {rng_seed}");
    }
}

#[test]
fn a_list_without_a_member_does_not_kill_it_and_one_with_a_dead_member_does_not_revive_it() {
    let mut fleet = settled(1);
    fleet.down.insert(AGENT);
    fleet.run(20);
    let now = fleet.now;

    let calls = fleet.machines[0].merge_vm_list(now, &[seed(AGENT, Role::Agent, DOMAINS)]);
    fleet.post(0, calls);
    fleet.run(5);

    let machine = &fleet.machines[0];
    assert_eq!(status(machine, AGENT), Some(Status::Dead));
    assert_eq!(machine.view().living().count(), ENTRIES + AGENTS - 1);
}

#[test]
fn the_list_brings_in_an_agent_whose_settings_name_no_living_entry() {
    let mut fleet = settled(2);
    let stranger = ENTRIES + AGENTS;
    fleet.add(member(stranger, Role::Agent, DOMAINS), &[]);
    let list = [seed(stranger, Role::Agent, DOMAINS)];

    for entry in 0..ENTRIES {
        let now = fleet.now;
        let calls = fleet.machines[entry].merge_vm_list(now, &list);
        fleet.post(entry, calls);
    }
    fleet.run(20);

    let unaware = fleet.entries_without(|m| status(m, stranger) == Some(Status::Alive));
    assert!(unaware.is_empty(), "{unaware:?}");
}

#[test]
fn a_restart_under_the_same_name_takes_the_place_of_the_old_life() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);
        let mut reborn = member(AGENT, Role::Agent, DOMAINS);
        reborn.incarnation = Incarnation(2);
        reborn.addr = "10.9.9.9:7000".parse().expect("an address");
        let contacts = [seed(3, Role::Entry, DOMAINS).addr];

        fleet.down.insert(AGENT);
        fleet.add(reborn.clone(), &contacts);
        fleet.run(20);

        let unaware = fleet.entries_without(|m| {
            let known = m.view().get(&reborn.node);
            known.is_some_and(|k| k.addr == reborn.addr && k.status == Status::Alive)
        });
        assert!(unaware.is_empty(), "seed {rng_seed}: {unaware:?}");
    }
}

#[test]
fn a_cut_off_failure_domain_is_doubted_as_a_whole_and_back_after_the_cut() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);
        let cut = of_domain(&fleet, 1);
        let model = fleet.machines[AGENT].me().models[0].clone();
        let far = seed(1, Role::Entry, DOMAINS).domain;

        fleet.isolate(&cut);
        fleet.run(30);

        for number in (0..ENTRIES).filter(|number| !cut.contains(number)) {
            let view = fleet.machines[number].view();
            let trusted = view.candidates(&model).filter(|c| !c.suspect);
            let domains: BTreeSet<_> = trusted.map(|c| &c.member.domain).collect();
            assert!(!domains.is_empty(), "seed {rng_seed}: entry {number}");
            assert!(!domains.contains(&far), "seed {rng_seed}: entry {number}");
        }
        fleet.cuts.clear();
        fleet.run(15);
        let doubting = fleet.entries_without(|m| {
            knows_all(m) && m.view().living().all(|member| !m.view().is_suspect(member))
        });
        assert!(doubting.is_empty(), "seed {rng_seed}: {doubting:?}");
    }
}

#[test]
fn agents_whose_entries_are_all_gone_are_watched_by_another_failure_domain() {
    for rng_seed in SEEDS {
        let mut fleet = settled(rng_seed);
        let gone: Vec<usize> = (0..ENTRIES)
            .filter(|number| number % DOMAINS == 1)
            .collect();
        let model = fleet.machines[AGENT].me().models[0].clone();

        let serving = fleet.machines[0].view().candidates(&model).count();
        fleet.down.extend(gone);
        fleet.run(60);

        let lost = fleet.entries_without(|m| {
            let trusted = m.view().candidates(&model).filter(|c| !c.suspect);
            trusted.count() == serving
        });
        assert!(lost.is_empty(), "seed {rng_seed}: {lost:?}");
    }
}

#[test]
fn a_process_that_stops_in_order_is_dead_at_once_and_is_not_probed() {
    let mut fleet = settled(3);
    let now = fleet.now;

    let calls = fleet.machines[AGENT].stop(now);
    fleet.post(AGENT, calls);
    fleet.run(6);

    let unaware = fleet.entries_without(|m| status(m, AGENT) == Some(Status::Dead));
    assert!(unaware.is_empty(), "{unaware:?}");
}
