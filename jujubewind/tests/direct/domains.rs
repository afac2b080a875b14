//! Failure domains that get no requests: evacuated, or outside the regions of a request.

use std::collections::BTreeSet;
use std::rc::Rc;

use jujubewind::direct::Core;
use jujubewind::direct::FleetChange;
use jujubewind::direct::Job;
use jujubewind::direct::JobId;
use jujubewind::direct::Server;
use jujubewind::direct::Verdict;
use jujubewind::refusal::Reason;
use jujubewind::types::DomainId;

use crate::fixture::at;
use crate::fixture::core;
use crate::fixture::domain;
use crate::fixture::job;
use crate::fixture::server;

/// An entry of `zone-a` with four servers there and four in `zone-b`.
fn two_domains() -> Core {
    let mut core = core(4);
    for number in 4..8 {
        let domain = domain("zone-b");
        let other = Server {
            domain,
            ..server(number)
        };
        core.apply_fleet_change(at(0), FleetChange::Listed(other));
    }
    core
}

fn evacuate(core: &mut Core, millis: u64, domains: &[&str]) {
    let domains = domains.iter().map(|name| domain(name)).collect();
    core.apply_fleet_change(at(millis), FleetChange::Evacuations(domains));
}

fn used_domain(verdict: Option<Verdict>) -> Option<DomainId> {
    match verdict? {
        Verdict::Place(placement) => Some(placement.primary.domain.clone()),
        Verdict::Refuse(_) => None,
    }
}

#[test]
fn an_evacuated_domain_gets_no_requests_until_it_returns() {
    let mut core = two_domains();

    evacuate(&mut core, 0, &["zone-a"]);
    let during = used_domain(core.place_or_queue(at(0), job(1, 5_000)));
    core.withdraw(JobId(1));
    evacuate(&mut core, 5_000, &[]);
    let after = used_domain(core.place_or_queue(at(60_000), job(2, 5_000)));

    assert_eq!(during, Some(domain("zone-b")));
    assert_eq!(after, Some(domain("zone-a")));
}

/// Guards against requests that were queued before an evacuation and placed during it.
#[test]
fn a_queued_request_is_not_placed_in_a_domain_that_was_evacuated_since() {
    let mut core = core(1);
    let queued = (1..40).filter(|id| core.place_or_queue(at(0), job(*id, 100_000)).is_none());
    assert!(queued.count() > 0, "one engine holds all of them");

    evacuate(&mut core, 10, &["zone-a"]);
    (1..40).for_each(|id| core.mark_prefilled(JobId(id)));
    let verdicts = core.poll(at(20));

    assert!(!verdicts.is_empty());
    assert!(
        verdicts
            .iter()
            .all(|(_, verdict)| matches!(verdict, Verdict::Refuse(_)))
    );
}

#[test]
fn a_request_is_refused_at_once_if_all_domains_are_evacuated() {
    let mut core = two_domains();

    evacuate(&mut core, 0, &["zone-a", "zone-b"]);
    let verdict = core.place_or_queue(at(0), job(1, 5_000));

    assert!(
        matches!(verdict, Some(Verdict::Refuse(refusal)) if refusal.reason == Reason::NoBackend)
    );
}

#[test]
fn a_request_with_regions_runs_in_their_domains_only() {
    let mut core = two_domains();
    let within = |names: &[&str]| Job {
        domains: Some(Rc::new(
            names
                .iter()
                .map(|name| domain(name))
                .collect::<BTreeSet<_>>(),
        )),
        ..job(1, 5_000)
    };

    let other = used_domain(core.place_or_queue(at(0), within(&["zone-b"])));
    let none = core.place_or_queue(at(0), within(&[]));

    assert_eq!(other, Some(domain("zone-b")));
    assert!(matches!(none, Some(Verdict::Refuse(refusal)) if refusal.reason == Reason::NoBackend));
}
